"""A caller's request and its answer."""

from ..records import Record


class Search(Record):
    """A request that reads.

    ``kind`` is ``search`` or ``check``; ``service`` may be ``None`` when ``selector`` settles it;
    ``deadline_ms`` is when a partial answer is given up waiting for, ``limit_ms`` when a complete
    one is, both from the arrival of the request; ``at_least`` is the newest index version that
    the caller has seen; ``rows`` is how many rows are wanted.
    """

    __slots__ = (
        "caller",
        "request_id",
        "kind",
        "service",
        "selector",
        "query",
        "rows",
        "request_class",
        "coverage",
        "deadline_ms",
        "limit_ms",
        "at_least",
    )


class Answer(Record):
    """Rows of one snapshot with their coverage.

    ``snapshot`` is the index version; ``rows`` are the best over all shards, best first.
    """

    __slots__ = ("request_id", "service", "snapshot", "rows", "coverage")
