"""The gossiped entry."""

import logging

from ..decisions import log_decision
from ..hashing import hash_of
from ..records import Record

log = logging.getLogger("gossip")

NEVER = 0
# What reading a malformed entry, or a value of another build, may raise.
READ_ERRORS = (ArithmeticError, AttributeError, LookupError, RecursionError, TypeError, ValueError)


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


def read_entries(rows, sender):
    """Yield a :class:`GossipEntry` for each row that a peer has sent; malformed ones are left out.

    :param sender: address of the peer, for the log.
    """
    for row in rows:
        try:
            entry = GossipEntry.from_list(row)
            is_valid = isinstance(entry.kind, str) and isinstance(entry.key, str)
            if not is_valid or entry.version + entry.expires_ms < 0:
                raise ValueError("kind, key, version or expires_ms has another type")
        except READ_ERRORS as error:
            log_decision(log, "gossip entry left out", sender=sender, error=repr(error)[:80])
            continue
        yield entry
