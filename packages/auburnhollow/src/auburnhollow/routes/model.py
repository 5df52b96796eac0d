"""Routes and services, as configured by operators."""

from ..records import Record


class Branch(Record):
    """A service of a route, with its weight relative to the other branches."""

    __slots__ = ("service", "weight")


class Route(Record):
    """Where requests for a host and path prefix go.

    ``repeatable`` tells whether a request may run more than once. ``attempts`` is the maximum
    number of backend servers that may run one request, for each shard. ``time_limit_ms`` is the
    longest time that a caller waits, ``objective_ms`` the target for the answer time. ``urgency``
    is 0 for the most urgent requests.

    A route has either ``branches``, a tuple of :class:`Branch`, or ``shards``, a tuple of service
    names that are all queried. The greatest ``most_records`` records of the shards are returned if
    at least ``least_share`` of the shards have answered, 0 to 1.

    ``homes`` are the regions whose servers may get the requests, empty for any. Requests of a
    route that ``is_public`` need no key.
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
        "homes",
        "is_public",
    )
    DEFAULTS = {"homes": (), "is_public": False}


class Service(Record):
    """A group of equivalent backend servers.

    ``connections`` is the total number of connections that each server accepts. For
    ``warm_up_ms`` milliseconds after its start a server is cold, and takes at most
    ``cold_rate_per_s`` requests per second from all nodes together, ``None`` for any number.
    """

    __slots__ = ("name", "connections", "warm_up_ms", "cold_rate_per_s")
    DEFAULTS = {"warm_up_ms": 0.0, "cold_rate_per_s": None}


class FrontLimits(Record):
    """Limits on callers: sizes in bytes, time to send headers and idle time in milliseconds."""

    __slots__ = ("header_bytes", "body_bytes", "header_ms", "idle_ms")
