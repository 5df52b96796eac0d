"""What operators say of routes and services."""

from ..records import Record


class Branch(Record):
    """A service of a route and its share of the requests, relative to the other branches."""

    __slots__ = ("service", "weight")


class Route(Record):
    """Where requests for one host and path prefix go.

    ``repeatable`` tells whether a request may run more than once; ``attempts`` bounds the backend
    servers that one request may run on, for each shard; ``time_limit_ms`` bounds the time that a
    caller is kept waiting; answers are wanted within ``objective_ms``; ``urgency`` is 0 for the
    most urgent requests. A route has either ``branches``, a tuple of :class:`Branch`, or
    ``shards``, a tuple of service names that are all asked; of their records the greatest
    ``most_records`` are returned if at least ``least_share`` of the shards have answered.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "repeatable",
        "attempts",
        "time_limit_ms",
        "objective_ms",
        "urgency",
        "branches",
        "shards",
        "most_records",
        "least_share",
    )


class Service(Record):
    """A group of equal backend servers; ``connections`` is what each accepts from all callers."""

    __slots__ = ("name", "connections")


class FrontLimits(Record):
    """What a caller may send, in bytes, and how long it may take or stay idle, in milliseconds."""

    __slots__ = ("header_bytes", "body_bytes", "header_ms", "idle_ms")
