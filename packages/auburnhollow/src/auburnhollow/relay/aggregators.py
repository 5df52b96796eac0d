"""Choosing the nodes that ask servers for others."""

import itertools
import logging
import math
from collections import Counter
from contextlib import aclosing

from ..clock import MS_PER_SECOND
from ..decisions import decide
from ..exceptions import PeerError, PeerRefused
from ..hashing import hash_of, ranked
from .subquery import SubqueryRepeats

log = logging.getLogger("relay")

# A node takes a subquery in a round trip, unless its share of a processor is used up for some
# tens of milliseconds; then there must still be time to ask servers directly.
TAKEN_SHARE = 0.35
# Membership needs some seconds to notice that a node has gone.
LEFT_ALONE_MS = 5_000.0
# A node that refuses is starting or stopping.
REFUSED_ALONE_MS = 1_000.0
# Servers close idle connections after some seconds: at this rate hardly one gets as old.
WARM_PER_S = 10.0
# One may go at any moment.
LEAST_AGGREGATORS = 2
RATE_OVER_MS = 10_000.0
# Nodes whose subqueries fail, and those that see other members, ask servers too.
CHANCE_ASKERS = 1.5
COUNT_EVERY_MS = 500.0


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

    def choose_aggregator(self, data_centre):
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

    def estimate_aggregators(self):
        """Return how many nodes ask servers directly, as far as this one can tell."""
        now_ms = self._clock.now_ms()
        if self._counted_ms is None or now_ms - self._counted_ms > COUNT_EVERY_MS:
            self._counted_ms = now_ms
            self._askers = self._count_askers()
        return self._askers

    def is_aggregator(self):
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
