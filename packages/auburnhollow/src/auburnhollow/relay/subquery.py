"""Asking for several shards through one node that is near them.

Each call to a server of another data centre carries headers and up to a kilobyte of records over a
costly link. One subquery to a node there carries the request once, and brings back the greatest
records of all its shards. Within a data centre, subqueries bring queries together at few nodes.
"""

from ..peers.codec import Message, register
from ..routes import Route
from .messages import Request


@register("subquery")
class SubqueryAsk(Message):
    """A caller's request for some shards of a route.

    ``key`` is the asker's own for this subquery, ``age_ms`` how long the caller has waited. Until
    the asker sends :class:`SubqueryRepeats`, each shard may run the request on one server only.
    ``is_repeat`` tells that servers may have run it for another node: then each send is taken from
    the budget of repeats.
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
    )


@register("subquery-taken")
class SubqueryTaken(Message):
    """The subquery is being worked on."""

    __slots__ = ()

    @property
    def is_last(self):
        """An answer follows."""
        return False


@register("subquery-repeats")
class SubqueryRepeats(Message):
    """The asker leaves all repeats of a subquery to its taker."""

    __slots__ = ("key",)


@register("subquery-repeated")
class SubqueryRepeated(Message):
    """The shards at ``places`` are asked of one more server."""

    __slots__ = ("places",)

    @property
    def is_last(self):
        """An answer follows."""
        return False


@register("subquery-answer")
class SubqueryAnswer(Message):
    """The greatest records of the shards that have answered since the last message.

    ``signatures`` are pairs of a shard's place in the question and its signature; ``failed`` has
    the place, the number of servers that may have run the request, and the ids of those tried.
    """

    __slots__ = ("body", "signatures", "failed", "is_end")

    @property
    def is_last(self):
        """Whether all shards are told."""
        return self.is_end


def subquery_of(key, request, route, legs, now_ms, is_repeat):
    """Return the :class:`SubqueryAsk` for some legs of a request."""
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
        shards=[leg.service for leg in legs],
        attempts=route.attempts,
        most_records=route.most_records,
        objective_ms=route.objective_ms,
        age_ms=now_ms - request.received_ms,
        remaining_ms=request.limit_ms - now_ms,
        is_repeat=is_repeat,
    )


def request_in(message, arrived_ms, way_ms):
    """Return the :class:`Request` and the :class:`~auburnhollow.routes.Route` of a subquery.

    :param way_ms: how long the message took, as far as is known.
    """
    sent_ms = arrived_ms - way_ms
    request = Request(
        id=message.id,
        caller=message.caller,
        method=message.method,
        host=message.host,
        target=message.target,
        headers=[tuple(pair) for pair in message.headers],
        body=message.body,
        received_ms=sent_ms - message.age_ms,
        # The answer has the same way back.
        limit_ms=sent_ms + message.remaining_ms - way_ms,
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
