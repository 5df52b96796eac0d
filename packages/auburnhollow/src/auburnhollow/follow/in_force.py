"""What a node knows of the configuration that it has in force, for logs and metrics.

Tells a node that has missed a version, or that follows the store too late, from one that is right.
"""

from .positions import named_era, revision_of

STORE = "store"


class InForce:
    """The version in force, since when, through whom, and the newest version that others told of.

    :param clock: :class:`~auburnhollow.clock.Clock`.

    ``position`` is that of the newest answer from the store, or from a node asked instead, and
    ``None`` before the first.

    >>> in_force.hear(9, era=1)
    >>> in_force.begin(9, through=None)
    40.0
    """

    __slots__ = ("_began_ms", "_clock", "_heard", "_heard_ms", "_through", "_version", "position")

    def __init__(self, clock):
        self._clock = clock
        self._began_ms = None
        self._heard = None
        self._heard_ms = None
        self._through = None
        self._version = None
        self.position = None

    @property
    def heard_version(self):
        """The newest version that other nodes told of, or ``None``."""
        return None if self._heard is None else self._heard[1]

    @property
    def age_ms(self):
        """Milliseconds since the version came in force; ``None`` without one."""
        return None if self._began_ms is None else self._clock.now_ms() - self._began_ms

    @property
    def era(self):
        """The era followed, as the store names it; ``None`` if it names none."""
        return None if self.position is None else named_era(self.position)

    @property
    def revision(self):
        """The store revision followed, or ``None``."""
        return None if self.position is None else revision_of(self.position)

    def hear(self, version, era):
        """Note that another node has told of a version, and when, if it is the newest."""
        if self._heard is None or (era, version) > self._heard:
            self._heard = (era, version)
            self._heard_ms = self._clock.now_ms()

    def begin(self, version, through):
        """Note that a version is in force from now on.

        :param through: peer address of the node that it came through, ``None`` for the store.
        :returns: for how many milliseconds this node had known from others that there is this
            version, ``None`` if it had not.
        """
        self._version = version
        self._through = through or STORE
        self._began_ms = self._clock.now_ms()
        if self.heard_version != version:
            return None
        return self._began_ms - self._heard_ms

    def to_map(self, store_age_ms):
        """Return all of this as fields of a log line.

        :param store_age_ms: how long ago the store confirmed the local state, or ``None``.
        """
        return {
            "version": self._version,
            "heard_version": self.heard_version,
            "era": self.era,
            "revision": self.revision,
            "in_force_ms": rounded(self.age_ms),
            "through": self._through,
            "store_age_ms": rounded(store_age_ms),
        }


def rounded(duration_ms):
    """Return a duration in whole milliseconds, ``None`` for ``None``."""
    return None if duration_ms is None else round(duration_ms)
