"""Base class of plain data classes."""


class Record:
    """A data class whose fields are its slots, for comparison, ``repr`` and serialization.

    Fields are serialized by position, so the order of the slots must not change.

    >>> class Point(Record):
    ...     __slots__ = ("x", "y")
    >>> Point(x=1, y=2)
    Point(x=1, y=2)
    """

    __slots__ = ()

    def __init__(self, **fields):
        for name in self.__slots__:
            setattr(self, name, fields.pop(name))
        if fields:
            raise TypeError(f"{type(self).__name__} has no field {sorted(fields)[0]}")

    def __eq__(self, other):
        if type(self) is not type(other):
            return NotImplemented
        return self.to_list() == other.to_list()

    __hash__ = None

    def __repr__(self):
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"

    def to_list(self):
        """Return the values of all fields, in the order of the slots."""
        return [getattr(self, name) for name in self.__slots__]

    def to_map(self):
        """Return a dictionary of all fields."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    def from_list(cls, values):
        """Build a record from the values of :meth:`to_list`.

        :raises ValueError: when the number of values is not the number of fields.
        """
        return cls(**dict(zip(cls.__slots__, values, strict=True)))
