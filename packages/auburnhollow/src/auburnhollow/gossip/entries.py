"""The gossiped entry."""

from ..hashing import hash_of
from ..records import Record

NEVER = 0


class GossipEntry(Record):
    """A versioned value, identified by ``kind`` and ``key``; the highest ``version`` wins.

    ``value`` is a list that msgpack can encode. ``expires_ms`` is the wall-clock time in
    milliseconds after which the entry is dropped, 0 for never.
    """

    __slots__ = ("kind", "key", "version", "value", "expires_ms")

    @property
    def id(self):
        """The pair of kind and key that identifies the entry."""
        return self.kind, self.key

    @property
    def hash(self):
        """A 64-bit hash of kind, key and version."""
        return hash_of(self.kind, self.key, str(self.version))
