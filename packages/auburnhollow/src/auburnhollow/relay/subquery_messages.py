"""Messages of subqueries, each of which queries several shards through a node near them.

That node is called the aggregator. Each call to a server of another data centre carries headers and
up to a kilobyte of records over an expensive link. One subquery to an aggregator there carries the
request once, and returns the greatest records of all its shards. Within a data centre, subqueries
concentrate the calls on few nodes.
"""

from ..peers.codec import Message, register
from ..routes import Route
from .messages import Request


@register("subquery")
class SubqueryAsk(Message):
    """A caller's request for some shards of a route, sent by a requesting node to an aggregator.

    ``key`` identifies the subquery, ``age_ms`` is how long the caller has waited. Until the
    requesting node sends :class:`SubqueryRepeats`, each shard may run the request on one server
    only. ``is_repeat`` is set if servers may have run it for another node already; each
    send then counts against the budget for repeats. ``account`` and ``homes`` are those of the
    request.
    """

    __slots__ = (
        "key",
        "id",
        "caller",
        "method",
        "host",
        "target",
        "headers",
        "body",
        "route",
        "shards",
        "attempts",
        "most_records",
        "objective_ms",
        "age_ms",
        "remaining_ms",
        "is_repeat",
        "account",
        "homes",
    )
    DEFAULTS = {"account": None, "homes": None}


@register("subquery-taken")
class SubqueryTaken(Message):
    """The aggregator has accepted the subquery."""

    __slots__ = ()

    @property
    def is_last(self):
        """Always false: an answer follows."""
        return False


@register("subquery-repeats")
class SubqueryRepeats(Message):
    """The requesting node delegates all repeats of a subquery to the aggregator."""

    __slots__ = ("key",)


@register("subquery-repeated")
class SubqueryRepeated(Message):
    """The aggregator is about to send the request to another server of each shard in ``indexes``.

    ``indexes`` are positions in the subquery's list of shards.
    """

    __slots__ = ("indexes",)

    @property
    def is_last(self):
        """Always false: an answer follows."""
        return False


@register("subquery-answer")
class SubqueryAnswer(Message):
    """The greatest records of the shards that have answered since the last message.

    ``signatures`` are pairs of a shard's index in the subquery and its signature. ``failed`` holds
    for each failed shard its index, the number of servers that may have run the request, and the
    ids of the servers that were tried.
    """

    __slots__ = ("body", "signatures", "failed", "is_end")

    @property
    def is_last(self):
        """Whether the results of all shards have been sent."""
        return self.is_end


def pack_subquery(key, request, route, subrequests, now_ms, is_repeat):
    """Return the :class:`SubqueryAsk` for some subrequests of a request."""
    return SubqueryAsk(
        key=key,
        id=request.id,
        caller=request.caller,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=[list(pair) for pair in request.headers],
        body=request.body,
        route=route.name,
        shards=[subrequest.service for subrequest in subrequests],
        attempts=route.attempts,
        most_records=route.most_records,
        objective_ms=route.objective_ms,
        age_ms=now_ms - request.received_ms,
        remaining_ms=request.limit_ms - now_ms,
        is_repeat=is_repeat,
        account=request.account,
        homes=None if request.homes is None else list(request.homes),
    )


def unpack_subquery(message, arrived_ms, one_way_ms):
    """Return the :class:`Request` and the :class:`~auburnhollow.routes.Route` of a subquery.

    :param one_way_ms: estimated one-way latency of the message, in milliseconds.
    """
    sent_ms = arrived_ms - one_way_ms
    request = Request(
        id=message.id,
        caller=message.caller,
        method=message.method,
        host=message.host,
        target=message.target,
        headers=[tuple(pair) for pair in message.headers],
        body=message.body,
        received_ms=sent_ms - message.age_ms,
        # The answer takes as long on its way back.
        limit_ms=sent_ms + message.remaining_ms - one_way_ms,
        account=message.account,
        homes=None if message.homes is None else tuple(message.homes),
    )
    route = Route(
        name=message.route,
        host=message.host,
        prefix="/",
        repeatable=True,
        attempts=message.attempts,
        time_limit_ms=message.remaining_ms,
        objective_ms=message.objective_ms,
        urgency=0,
        branches=(),
        shards=tuple(message.shards),
        most_records=message.most_records,
        least_share=0.0,
    )
    return request, route
