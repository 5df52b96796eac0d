"""Chooses the aggregators: the nodes that call servers on behalf of other nodes."""

import itertools
import logging
import math
from collections import Counter
from contextlib import aclosing

from ..clock import MS_PER_SECOND
from ..decisions import log_decision
from ..exceptions import PeerError, PeerRefused
from ..hashing import hash_of, ranked
from .subquery_messages import SubqueryRepeats

log = logging.getLogger("relay")

# An aggregator accepts a subquery within a round trip, unless it has used up its CPU quota for some
# tens of milliseconds; the timeout must leave time to call servers directly.
TAKEN_TIMEOUT_SHARE = 0.35
# Membership takes some seconds to detect that a node is gone.
AVOID_UNRESPONSIVE_MS = 5_000.0
# A node that refuses subqueries is starting or stopping.
AVOID_REFUSING_MS = 1_000.0
# Servers close idle connections after some seconds; at this rate few connections idle that long.
WARM_REQUESTS_PER_S = 10.0
# More than one, since a node may stop at any moment.
MIN_AGGREGATORS = 2
RATE_DECAY_MS = 10_000.0
# Nodes whose subqueries fail, and nodes with a different view of membership, call servers too.
ESTIMATE_MARGIN = 1.5
ESTIMATE_INTERVAL_MS = 500.0


class Aggregators:
    """The nodes that accept subqueries: some in each data centre.

    On a node with few requests, connections to servers are closed as idle between requests, and
    what it has learned of a slow server is stale by the next one. So the requests of a data centre
    are concentrated on so few nodes that each handles at least ``WARM_REQUESTS_PER_S``, or on all
    nodes if each of them has that many.

    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param clock: :class:`~auburnhollow.clock.Clock`.

    ``without_cut_off`` is a function that returns those of the given members that reach servers.
    """

    __slots__ = (
        "_answering",
        "_avoid_until_ms",
        "_clock",
        "_estimate",
        "_estimated_ms",
        "_keys",
        "_membership",
        "_peers",
        "_ranked",
        "_rate",
        "without_cut_off",
    )

    def __init__(self, peers, membership, clock):
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._avoid_until_ms = {}
        self._answering = None
        self._ranked = {}
        self._rate = Rate(clock)
        self._keys = itertools.count(1)
        self._estimate = 1
        self._estimated_ms = None
        self.without_cut_off = lambda members: members

    def count_request(self):
        """Count a request that may use subqueries."""
        self._rate.count()

    def choose_aggregator(self, data_centre):
        """Return the :class:`~auburnhollow.membership.Member` to send subqueries to.

        ``None`` if there is none, or if this node itself is an aggregator of the data centre.
        """
        members = self.without_cut_off(self._members_by_rank(data_centre))
        me = self._membership.me.id
        wanted = self._wanted_aggregators(len(members))
        if any(member.id == me for member in members[:wanted]):
            return None
        now_ms = self._clock.now_ms()
        candidates = []
        for member in members:
            if member.id == me or self._avoid_until_ms.get(member.id, 0.0) > now_ms:
                continue
            candidates.append(member)
            if len(candidates) == wanted:
                break
        # Each node always prefers the same aggregator, which keeps connections between nodes few.
        return max(candidates, key=lambda member: hash_of(me, member.id), default=None)

    def estimate_aggregators(self):
        """Return an estimate of how many nodes call servers directly."""
        now_ms = self._clock.now_ms()
        if self._estimated_ms is None or now_ms - self._estimated_ms > ESTIMATE_INTERVAL_MS:
            self._estimated_ms = now_ms
            self._estimate = self._estimate_aggregators()
        return self._estimate

    def is_aggregator(self):
        """Return whether this node is an aggregator, which calls servers directly."""
        me = self._membership.me
        members = self._members_by_rank(me.data_centre)
        wanted = self._wanted_aggregators(len(members))
        return any(member.id == me.id for member in members[:wanted])

    def count_local_aggregators(self):
        """Return how many nodes of this node's data centre are aggregators."""
        members = self._members_by_rank(self._membership.me.data_centre)
        return min(len(members), self._wanted_aggregators(len(members)))

    def new_key(self):
        """Return a unique key for a subquery of this node."""
        return f"{self._membership.me.id}/{next(self._keys)}"

    def delegate_repeats(self, member, key):
        """Allow the aggregator ``member`` to send retries and hedges for a subquery."""
        self._peers.send(member.address, SubqueryRepeats(key=key))

    async def ask(self, member, message):
        """Send a :class:`~auburnhollow.relay.subquery_messages.SubqueryAsk` and yield the answers.

        :raises PeerError: as :meth:`~auburnhollow.peers.Peers.stream` does.
        """
        taken_timeout_ms = message.objective_ms * TAKEN_TIMEOUT_SHARE
        stream = self._peers.stream(member.address, message, taken_timeout_ms)
        try:
            async with aclosing(stream) as answers:
                async for answer in answers:
                    yield answer
        except PeerError as error:
            self.avoid(member, error)
            raise

    def avoid(self, member, error):
        """Send no subqueries to ``member`` for a while, after ``error``."""
        duration_ms = AVOID_REFUSING_MS if isinstance(error, PeerRefused) else AVOID_UNRESPONSIVE_MS
        self._avoid_until_ms[member.id] = self._clock.now_ms() + duration_ms
        log_decision(
            log, "node left alone", member=member.id, duration_ms=duration_ms, error=repr(error)
        )

    def _estimate_aggregators(self):
        answering = self._membership.answering()
        members = self._membership.members
        counts = Counter(members[name].data_centre for name in answering)
        wanted = sum(min(count, self._wanted_aggregators(count)) for count in counts.values())
        return min(len(answering), math.ceil(wanted * ESTIMATE_MARGIN))

    def _wanted_aggregators(self, count):
        """Return how many of the ``count`` nodes of a data centre should be aggregators."""
        warm = math.ceil(count * self._rate.per_s() / WARM_REQUESTS_PER_S)
        return max(MIN_AGGREGATORS, warm)

    def _members_by_rank(self, data_centre):
        """Return the members of a data centre, in an order on which all nodes agree."""
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
    """Measures this node's recent request rate with exponential decay.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_count", "_counted_ms")

    def __init__(self, clock):
        self._clock = clock
        self._count = 0.0
        self._counted_ms = clock.now_ms()

    def count(self):
        """Count a request."""
        self._decay()
        self._count += 1.0

    def per_s(self):
        """Return the recent rate in requests per second."""
        self._decay()
        return self._count * MS_PER_SECOND / RATE_DECAY_MS

    def _decay(self):
        now_ms = self._clock.now_ms()
        self._count *= math.exp((self._counted_ms - now_ms) / RATE_DECAY_MS)
        self._counted_ms = now_ms
