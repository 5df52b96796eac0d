"""Shards of another region, asked in one message through a node there."""

from ..exceptions import PeerError
from ..limits.classes import REPORT
from ..peers.codec import Message, register
from ..records import Record
from .coverage import Gap, Outcome, merge_rows
from .messages import Search

LINK_MS = 30.0
LEAST_MS = 20.0


@register("region-ask")
class RegionAsk(Message):
    """Asks a node for some shards of one index version.

    ``search`` is the list of :meth:`Search.to_list`; ``deadline_ms`` is what remains.
    """

    __slots__ = ("search", "service", "version", "shards", "deadline_ms")


@register("region-answer")
class RegionAnswer(Message):
    """``outcomes`` are lists of :meth:`Outcome.to_list`; ``in_doubt``: a server may have acted."""

    __slots__ = ("outcomes", "in_doubt")


class Group(Record):
    """Shards that have replicas in another region only."""

    __slots__ = ("region", "shards")


class Forwarder:
    """Decides which shards go through a node of another region, and sends them there.

    A query then crosses the costly link once for all shards behind it, and servers see connections
    from the nodes of their own region only.

    :param data_centre: where this node runs.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    """

    __slots__ = ("_clock", "_data_centre", "_membership", "_metrics", "_peers", "_random")

    def __init__(self, data_centre, membership, peers, clock, random, metrics):
        self._data_centre = data_centre
        self._membership = membership
        self._peers = peers
        self._clock = clock
        self._random = random
        self._metrics = metrics

    def groups(self, configuration, plan):
        """Return a :class:`Group` for each region that a node stands in, and the other shards.

        :returns: ``(groups, direct)``; ``direct`` are shards that this node asks itself.
        """
        here = configuration.regions.get(self._data_centre)
        direct = []
        by_region = {}
        for shard in plan.shards:
            regions = _regions_of(configuration, plan.replicas.get(shard, ()))
            if not regions or here in regions or not self._nodes_in(configuration, min(regions)):
                direct.append(shard)
                continue
            by_region.setdefault(min(regions), []).append(shard)
        groups = [Group(region=region, shards=shards) for region, shards in by_region.items()]
        return groups, direct

    async def ask(self, configuration, search, plan, group, until_ms):
        """Return the :class:`RegionAnswer` of a node in the group's region.

        :raises PeerError: when no node there answers in time.
        """
        nodes = self._nodes_in(configuration, group.region)
        if not nodes:
            raise PeerError(f"no node in {group.region}")
        remaining_ms = until_ms - self._clock.now_ms()
        ask = RegionAsk(
            search=search.to_list(),
            service=plan.service.name,
            version=plan.snapshot.version,
            shards=group.shards,
            deadline_ms=max(LEAST_MS, remaining_ms - LINK_MS),
        )
        self._metrics.incr("scatter.forwarded")
        address = self._random.choice(nodes).address
        return await self._peers.ask(address, ask, max(LEAST_MS, remaining_ms))

    def _nodes_in(self, configuration, region):
        found = []
        for name in self._membership.answering():
            member = self._membership.members[name]
            if member.ready and configuration.regions.get(member.data_centre) == region:
                found.append(member)
        return found


def pack_answer(search, outcomes, in_doubt):
    """Return the :class:`RegionAnswer`, with the best rows over all shards only."""
    best = {id(row) for row in merge_rows(outcomes, search.rows)}
    packed = []
    for outcome in outcomes:
        rows = [row for row in outcome.rows if id(row) in best]
        packed.append([outcome.shard, rows, outcome.gap, outcome.detail])
    return RegionAnswer(outcomes=packed, in_doubt=in_doubt)


def unpack_outcomes(group, answer):
    """Return one :class:`Outcome` for each shard of the group.

    :raises PeerError: when the answer does not hold exactly these.
    """
    outcomes = []
    for shard, rows, gap, detail in answer.outcomes:
        known_gap = None if gap is None else Gap(gap)
        outcomes.append(Outcome(shard=shard, rows=rows, gap=known_gap, detail=detail))
    if sorted(outcome.shard for outcome in outcomes) != sorted(group.shards):
        raise PeerError(f"{group.region}: outcomes of other shards than asked")
    return outcomes


def unpack_search(ask):
    """Return the :class:`Search` of a :class:`RegionAsk`, with the time that remains."""
    search = Search.from_list(ask.search)
    search.service = ask.service
    search.deadline_ms = ask.deadline_ms
    search.limit_ms = ask.deadline_ms
    return search


def may_forward(search):
    """Return whether a request may go through another node; reports may be slow and go alone."""
    return search.request_class != REPORT


def _regions_of(configuration, servers):
    regions = set()
    for server in servers:
        if server.id not in configuration.draining:
            regions.add(configuration.regions.get(server.data_centre))
    return regions
