"""The snapshot that an answer is read from."""

from ..records import Record


class Snapshot(Record):
    """One index version of one service and its shards."""

    __slots__ = ("service", "version", "shards")
