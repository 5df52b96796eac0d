"""Forwards the shards of another region in one message to a node there."""

from ..exceptions import PeerError
from ..limits.classes import REPORT
from ..peers.codec import Message, register
from ..records import Record
from .coverage import Gap, Outcome, merge_rows
from .messages import Search

# Part of the remaining time that is reserved for the network latency between regions.
LINK_LATENCY_MS = 30.0
MIN_DEADLINE_MS = 20.0


@register("region-ask")
class RegionAsk(Message):
    """Asks a node for some shards of one index version.

    ``search`` is the list of :meth:`Search.to_list`; ``deadline_ms`` is the remaining time.
    """

    __slots__ = ("search", "service", "version", "shards", "deadline_ms")


@register("region-answer")
class RegionAnswer(Message):
    """The outcomes of the shards, each as the list of :meth:`Outcome.to_list`.

    ``in_doubt`` is set if a server may have run the request.
    """

    __slots__ = ("outcomes", "in_doubt")


class RegionGroup(Record):
    """Shards whose replicas are all in other regions, with the region to forward them to."""

    __slots__ = ("region", "shards")


class Forwarder:
    """Decides which shards to forward to a node of another region, and forwards them.

    A query then crosses the slow link between regions once for all shards of a region, and servers
    get connections from nodes of their own region only.

    :param data_centre: name of this node's data centre.
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

    def region_groups(self, configuration, plan):
        """Group the shards of a plan by the region to forward them to.

        :returns: ``(region_groups, direct)``: a list of :class:`RegionGroup`, each for a region
            with a node that is ready, and the shards whose servers this node calls itself.
        """
        own_region = configuration.regions.get(self._data_centre)
        direct = []
        by_region = {}
        for shard in plan.shards:
            regions = _regions_of(configuration, plan.replicas.get(shard, ()))
            if (
                not regions
                or own_region in regions
                or not self._nodes_in(configuration, min(regions))
            ):
                direct.append(shard)
                continue
            by_region.setdefault(min(regions), []).append(shard)
        region_groups = [
            RegionGroup(region=region, shards=shards) for region, shards in by_region.items()
        ]
        return region_groups, direct

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
            deadline_ms=max(MIN_DEADLINE_MS, remaining_ms - LINK_LATENCY_MS),
        )
        self._metrics.incr("scatter.forwarded")
        address = self._random.choice(nodes).address
        return await self._peers.ask(address, ask, max(MIN_DEADLINE_MS, remaining_ms))

    def _nodes_in(self, configuration, region):
        found = []
        for name in self._membership.answering():
            member = self._membership.members[name]
            if member.ready and configuration.regions.get(member.data_centre) == region:
                found.append(member)
        return found


def pack_answer(search, outcomes, in_doubt):
    """Return the :class:`RegionAnswer`, limited to the best rows over all shards."""
    best = {id(row) for row in merge_rows(outcomes, search.rows)}
    packed = []
    for outcome in outcomes:
        rows = [row for row in outcome.rows if id(row) in best]
        packed.append([outcome.shard, rows, outcome.gap, outcome.detail])
    return RegionAnswer(outcomes=packed, in_doubt=in_doubt)


def unpack_outcomes(group, answer):
    """Return one :class:`Outcome` for each shard of the group.

    :raises PeerError: when the answer holds other shards.
    """
    outcomes = []
    for shard, rows, gap, detail in answer.outcomes:
        known_gap = None if gap is None else Gap(gap)
        outcomes.append(Outcome(shard=shard, rows=rows, gap=known_gap, detail=detail))
    if sorted(outcome.shard for outcome in outcomes) != sorted(group.shards):
        raise PeerError(f"{group.region}: answer holds other shards than asked")
    return outcomes


def unpack_search(ask):
    """Return the :class:`Search` of a :class:`RegionAsk`, limited to the remaining time."""
    search = Search.from_list(ask.search)
    search.service = ask.service
    search.deadline_ms = ask.deadline_ms
    search.limit_ms = ask.deadline_ms
    return search


def may_forward(search):
    """Return whether a request may be forwarded; reports may be slow and are never forwarded."""
    return search.request_class != REPORT


def _regions_of(configuration, servers):
    regions = set()
    for server in servers:
        if server.id not in configuration.draining:
            regions.add(configuration.regions.get(server.data_centre))
    return regions
