"""Asking for several shards through one node that is near them.

Each call to a server of another data centre carries headers and up to a kilobyte of records over a
costly link. One subquery to a node there carries the request once, and brings back the greatest
records of all its shards. Within a data centre, subqueries bring queries together at few nodes.
"""

import itertools
import logging
import math
from collections import Counter
from contextlib import aclosing

from ..clock import MS_PER_SECOND
from ..decisions import decide
from ..exceptions import PeerError, PeerRefused, PeerUnreachable
from ..hashing import hash_of, ranked
from ..peers.codec import Message, register
from ..routes import Route
from .messages import Request

log = logging.getLogger("relay")

# A node takes a subquery in a round trip, unless its share of a processor is used up for some
# tens of milliseconds; then there must still be time to ask servers directly.
TAKEN_SHARE = 0.35
# Membership needs some seconds to notice that a node has gone.
LEFT_ALONE_MS = 5_000.0
# A node that refuses is starting or stopping.
REFUSED_ALONE_MS = 1_000.0
# Fewer calls than this are not worth a detour.
LEAST_SHARDS = 3
# Servers close idle connections after some seconds: at this rate hardly one gets as old.
WARM_PER_S = 10.0
# One may go at any moment.
LEAST_AGGREGATORS = 2
RATE_OVER_MS = 10_000.0
# Nodes whose subqueries fail, and those that see other members, ask servers too.
CHANCE_ASKERS = 1.5
COUNT_EVERY_MS = 500.0


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


class Aggregators:
    """The nodes that take subqueries: some in each data centre.

    Where a node sees few queries, its connections to servers grow cold between them, and what it
    learns of a slow server is old by the next. So queries of a data centre come together at as few
    nodes as still see ``WARM_PER_S`` of them, and at all nodes where each sees as many.

    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = (
        "_answering",
        "_askers",
        "_clock",
        "_counted_ms",
        "_keys",
        "_left_alone",
        "_membership",
        "_peers",
        "_ranked",
        "_rate",
    )

    def __init__(self, peers, membership, clock):
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._left_alone = {}
        self._answering = None
        self._ranked = {}
        self._rate = Rate(clock)
        self._keys = itertools.count(1)
        self._askers = 1
        self._counted_ms = None

    def count_request(self):
        """Count a request that this node may send subqueries for."""
        self._rate.count()

    def node_in(self, data_centre):
        """Return the :class:`~auburnhollow.membership.Member` to ask there.

        ``None`` when there is none, or when this node itself is one of them.
        """
        members = self._in_rank(data_centre)
        me = self._membership.me.id
        wanted = self._wanted(len(members))
        if any(member.id == me for member in members[:wanted]):
            return None
        now_ms = self._clock.now_ms()
        alive = []
        for member in members:
            if member.id == me or self._left_alone.get(member.id, 0.0) > now_ms:
                continue
            alive.append(member)
            if len(alive) == wanted:
                break
        # Each asker keeps to its own choice, so that connections stay few.
        return max(alive, key=lambda member: hash_of(me, member.id), default=None)

    def askers(self):
        """Return how many nodes ask servers directly, as far as this one can tell."""
        now_ms = self._clock.now_ms()
        if self._counted_ms is None or now_ms - self._counted_ms > COUNT_EVERY_MS:
            self._counted_ms = now_ms
            self._askers = self._count_askers()
        return self._askers

    def is_asker(self):
        """Return whether this node is one of those that ask servers directly."""
        me = self._membership.me
        members = self._in_rank(me.data_centre)
        wanted = self._wanted(len(members))
        return any(member.id == me.id for member in members[:wanted])

    def new_key(self):
        """Return a key for a subquery of this node."""
        return f"{self._membership.me.id}/{next(self._keys)}"

    def leave_repeats(self, member, key):
        """Let the taker of a subquery repeat calls."""
        self._peers.tell(member.address, SubqueryRepeats(key=key))

    async def ask(self, member, message):
        """Send a :class:`SubqueryAsk` and yield the answers.

        :raises PeerError: as :meth:`~auburnhollow.peers.Peers.stream` does.
        """
        taken_ms = message.objective_ms * TAKEN_SHARE
        stream = self._peers.stream(member.address, message, taken_ms)
        try:
            async with aclosing(stream) as answers:
                async for answer in answers:
                    yield answer
        except PeerError as error:
            self.leave_alone(member, error)
            raise

    def leave_alone(self, member, error):
        """Ask other nodes for a while."""
        duration_ms = REFUSED_ALONE_MS if isinstance(error, PeerRefused) else LEFT_ALONE_MS
        self._left_alone[member.id] = self._clock.now_ms() + duration_ms
        decide(log, "node left alone", member=member.id, duration_ms=duration_ms, error=repr(error))

    def _count_askers(self):
        answering = self._membership.answering()
        members = self._membership.members
        counts = Counter(members[name].data_centre for name in answering)
        wanted = sum(min(count, self._wanted(count)) for count in counts.values())
        return min(len(answering), math.ceil(wanted * CHANCE_ASKERS))

    def _wanted(self, count):
        """Return how many of the ``count`` nodes of a data centre are to take subqueries."""
        warm = math.ceil(count * self._rate.per_s() / WARM_PER_S)
        return max(LEAST_AGGREGATORS, warm)

    def _in_rank(self, data_centre):
        """Return the members of a data centre, in the order that all nodes see."""
        answering = self._membership.answering()
        if answering is not self._answering:
            self._answering = answering
            self._ranked = {}
        found = self._ranked.get(data_centre)
        if found is None:
            members = self._membership.members
            there = [name for name in answering if members[name].data_centre == data_centre]
            found = [members[name] for name in ranked(data_centre, there)]
            self._ranked[data_centre] = found
        return found


class Rate:
    """How many requests a second this node has lately had.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_count", "_counted_ms")

    def __init__(self, clock):
        self._clock = clock
        self._count = 0.0
        self._counted_ms = clock.now_ms()

    def count(self):
        """Count a request."""
        self._fade()
        self._count += 1.0

    def per_s(self):
        """Return requests a second, over the last seconds."""
        self._fade()
        return self._count * MS_PER_SECOND / RATE_OVER_MS

    def _fade(self):
        now_ms = self._clock.now_ms()
        self._count *= math.exp((self._counted_ms - now_ms) / RATE_OVER_MS)
        self._counted_ms = now_ms


class Subquery:
    """Some legs of a request, asked through ``member``.

    A taker that is not heard of may still be at work. It then runs the request on one server of
    each shard at most, since it was not left the repeats; one more is the asker's. One that has
    taken the subquery and is silent may have used all attempts: only the end of the connection,
    which ends its work, lets the asker go on.

    :param owner: :class:`~auburnhollow.relay.fanout.FanOut`, which is told what comes of it.
    :param legs: list of :class:`~auburnhollow.relay.legs.Leg`.
    :param before: the :class:`Subquery` that was lost and that this one stands in for, or ``None``.
    :param is_repeat: whether servers may have run the request already.
    """

    __slots__ = ("_owner", "before", "is_repeat", "is_taken", "legs", "member", "task")

    def __init__(self, owner, member, legs, before=None, is_repeat=False):
        self._owner = owner
        self.before = before
        self.is_repeat = is_repeat
        self.member = member
        self.legs = legs
        self.is_taken = False
        self.task = None
        for leg in legs:
            leg.subquery = self

    async def run(self, aggregators, message):
        """Ask, and tell the owner of each answer and of the end."""
        error = None
        try:
            async with aclosing(aggregators.ask(self.member, message)) as answers:
                async for answer in answers:
                    if not self.is_taken:
                        self.is_taken = True
                        self._leave_repeats(aggregators, message)
                    self._take(answer)
        except PeerError as failure:
            error = failure
        finally:
            left = [leg for leg in self.legs if leg.subquery is self]
            for leg in left:
                leg.subquery = None
        if left:
            self._owner.take_lost_legs(self, left, error)

    def may_have_run(self, error):
        """Return whether servers may have run the request, given the error that ended it."""
        return self.is_taken or not isinstance(error, PeerUnreachable | PeerRefused)

    def _leave_repeats(self, aggregators, message):
        if not self.is_repeat:
            aggregators.leave_repeats(self.member, message.key)

    def _take(self, answer):
        if isinstance(answer, SubqueryRepeated):
            for place in answer.places:
                self.legs[place].run += 1
            return
        if not isinstance(answer, SubqueryAnswer):
            return
        body = answer.body
        for place, signature in answer.signatures:
            # The records of all these shards are merged already: one of them bears them.
            self._owner.take_part(self.legs[place], body, signature)
            body = b""
        for place, run, tried in answer.failed:
            self._owner.take_failed_part(self.legs[place], run + self.is_repeat, tried)


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
