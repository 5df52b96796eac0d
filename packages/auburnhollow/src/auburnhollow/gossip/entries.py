"""One fact."""

from ..hashing import hash_of
from ..records import Record

NEVER = 0


class GossipEntry(Record):
    """What is known under ``kind`` and ``key``; the highest ``version`` holds.

    ``value`` is a list of what msgpack can hold; ``expires_ms`` is the wall time after which the
    fact is dropped, 0 for never.
    """

    __slots__ = ("kind", "key", "version", "value", "expires_ms")

    @property
    def place(self):
        """Kind and key."""
        return self.kind, self.key

    @property
    def hash(self):
        """A 64-bit hash of place and version."""
        return hash_of(self.kind, self.key, str(self.version))
