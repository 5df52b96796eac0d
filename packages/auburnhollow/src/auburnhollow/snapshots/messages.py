"""The snapshot that an answer reflects."""

from ..records import Record


class Snapshot(Record):
    """One index version of one service and the shards that it is cut into."""

    __slots__ = ("service", "version", "shards")
