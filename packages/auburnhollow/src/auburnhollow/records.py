"""Base class of plain data classes."""


class Record:
    """A data class whose fields are its slots, for comparison, ``repr`` and serialization.

    Fields are serialized by position, so the order of the slots must not change. A field that a
    newer build has added stands last and has a value in ``DEFAULTS``: builds that know it and
    builds that do not then read each other's records, as long as the field is not used.

    >>> class Point(Record):
    ...     __slots__ = ("x", "y", "label")
    ...     DEFAULTS = {"label": None}
    >>> Point(x=1, y=2)
    Point(x=1, y=2, label=None)
    >>> Point(x=1, y=2).to_short_list()
    [1, 2]
    """

    __slots__ = ()
    DEFAULTS = {}

    def __init__(self, **fields):
        for name in self.__slots__:
            if name in fields:
                setattr(self, name, fields.pop(name))
            else:
                setattr(self, name, self.DEFAULTS[name])
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

    def to_short_list(self):
        """Return the same values without those at the end that are defaults.

        Other builds get this list: one that does not know a new field can read it while the field
        is not used.
        """
        values = self.to_list()
        names = self.__slots__
        while values and names[len(values) - 1] in self.DEFAULTS:
            if values[-1] != self.DEFAULTS[names[len(values) - 1]]:
                break
            values.pop()
        return values

    def to_map(self):
        """Return a dictionary of all fields."""
        return {name: getattr(self, name) for name in self.__slots__}

    @classmethod
    def from_list(cls, values):
        """Build a record from the values of :meth:`to_list` or :meth:`to_short_list`.

        :raises ValueError: when there are more values than fields, or too few.
        """
        names = cls.__slots__
        if len(values) < len(names):
            missing = [name for name in names[len(values) :] if name not in cls.DEFAULTS]
            if missing:
                raise ValueError(f"{cls.__name__} needs a value for {missing[0]}")
            names = names[: len(values)]
        return cls(**dict(zip(names, values, strict=True)))


class Referable:
    """Base class of records that can be referenced weakly."""

    __slots__ = ("__weakref__",)
