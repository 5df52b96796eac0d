"""A caller's request and its answer."""

from ..records import Record


class Search(Record):
    """A read request.

    ``kind`` is ``search`` or ``check``; ``service`` may be ``None`` when ``selector`` determines
    it; ``deadline_ms`` is the time limit of a request that accepts a partial answer, ``limit_ms``
    of one that needs a complete answer, both counted from its arrival; ``at_least`` is the newest
    index version that the caller has seen; ``rows`` is the number of rows to return.
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
    """Rows of one snapshot, with their coverage.

    ``snapshot`` is the index version; ``rows`` are the best over all shards, best first.
    """

    __slots__ = ("request_id", "service", "snapshot", "rows", "coverage")
