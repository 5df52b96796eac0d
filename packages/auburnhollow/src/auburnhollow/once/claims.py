"""The stored form of claims."""

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
    """The claim of one key.

    ``attempt`` names the attempt that may send the order, see :func:`attempt_name`; ``state`` is
    ``CLAIMED`` until the outcome is known; ``outcome`` holds the outcome as JSON bytes.
    """

    __slots__ = ("attempt", "body_hash", "state", "outcome")


class ClaimRecord:
    """All claims of one key range and one bucket of key issue times."""

    __slots__ = ("claims",)

    def __init__(self, claims=None):
        self.claims = claims or {}

    def to_bytes(self):
        """Return the stored form."""
        return msgpack.packb({key: claim.to_list() for key, claim in self.claims.items()})

    @classmethod
    def from_bytes(cls, data):
        """Build from the stored form; ``None`` means that the record does not exist."""
        if data is None:
            return cls()
        stored = msgpack.unpackb(data)
        return cls({key: Claim.from_list(values) for key, values in stored.items()})

    def copy(self):
        """Return a shallow copy; claims are never changed in place."""
        return ClaimRecord(dict(self.claims))


def attempt_name(node, incarnation, number):
    """Return the name of an attempt, which holds its node and the node's incarnation."""
    return f"{node}/{incarnation}/{number}"


def parse_attempt_name(attempt):
    """Return the node and the incarnation in the name of an attempt."""
    node, incarnation, _ = attempt.split("/")
    return node, incarnation
