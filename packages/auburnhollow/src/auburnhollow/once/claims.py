"""Claims as they are kept in the store."""

import msgpack

from ..records import Record

CLAIMED = 0
VOID = 1
DONE = 2
FAULT = 3
UNKNOWN = 4

STATE_NAMES = {
    CLAIMED: "claimed",
    VOID: "void",
    DONE: "done",
    FAULT: "fault",
    UNKNOWN: "unknown",
}


class Claim(Record):
    """One key's claim.

    ``attempt`` names the node, its start and the try that may send the order; ``state`` is
    ``CLAIMED`` until the outcome is known; ``outcome`` holds the outcome's JSON bytes.
    """

    __slots__ = ("attempt", "body_hash", "state", "outcome")


class ClaimRecord:
    """All claims of one key range and one bucket of issue time."""

    __slots__ = ("claims",)

    def __init__(self, claims=None):
        self.claims = claims or {}

    def to_bytes(self):
        """Return the stored form."""
        return msgpack.packb({key: claim.to_list() for key, claim in self.claims.items()})

    @classmethod
    def from_bytes(cls, data):
        """Build from the stored form; ``None`` stands for an absent record."""
        if data is None:
            return cls()
        stored = msgpack.unpackb(data)
        return cls({key: Claim.from_list(values) for key, values in stored.items()})

    def copy(self):
        """Return a copy; claims themselves are never changed in place."""
        return ClaimRecord(dict(self.claims))


def attempt_of(node, start, number):
    """Return the name of one try of one node."""
    return f"{node}/{start}/{number}"


def node_of(attempt):
    """Return the node and its start that an attempt names."""
    node, start, _ = attempt.split("/")
    return node, start
