"""Divides the rates that servers name among the nodes."""

from collections import Counter

from .aggregators import MIN_AGGREGATORS

# Parts of a rate: all nodes of the server's data centre together, and all others together. Most
# calls come from the server's own data centre.
LOCAL_PART = 0.75
REMOTE_PART = 0.2
# The same for the data centre's nodes where a few of them, the aggregators, call the shards. In a
# partition each side may have its own aggregators.
COMMON_PART = 0.15
AGGREGATORS_PART = 0.5
# Lower counts of nodes are not trusted: other nodes may not be known yet.
MIN_NODES = 7
MIN_LOCAL_NODES = 2


class RateShares:
    """Computes this node's share of the rate of each server.

    The highest counts of nodes that were seen apply: nodes that are no longer seen may still send.

    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param aggregators: :class:`~auburnhollow.relay.aggregators.Aggregators`.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    """

    __slots__ = (
        "_aggregators",
        "_max_aggregators",
        "_max_by_data_centre",
        "_max_nodes",
        "_membership",
        "_present",
        "_registry",
        "_shards",
    )

    def __init__(self, membership, aggregators, registry):
        self._membership = membership
        self._aggregators = aggregators
        self._registry = registry
        self._max_aggregators = MIN_AGGREGATORS
        self._max_by_data_centre = Counter()
        self._max_nodes = MIN_NODES
        self._present = None
        self._shards = frozenset()

    def set_routes(self, table):
        """Learn from a :class:`~auburnhollow.routes.RouteTable` which services are shards."""
        self._shards = frozenset(shard for route in table.routes for shard in route.shards)

    def fraction(self, incarnation):
        """Return this node's share of the rate of a server, 0 to 1."""
        self._count_nodes()
        server = self._registry.find(incarnation)
        data_centre = self._membership.me.data_centre
        if server is None or server.data_centre != data_centre:
            return REMOTE_PART / self._max_nodes
        nodes = max(MIN_LOCAL_NODES, self._max_by_data_centre[data_centre])
        wanted = self._aggregators.count_local_aggregators()
        self._max_aggregators = max(self._max_aggregators, wanted)
        if server.service not in self._shards or self._max_aggregators >= nodes:
            return LOCAL_PART / nodes
        fraction = COMMON_PART / nodes
        if self._aggregators.is_aggregator():
            fraction += AGGREGATORS_PART / self._max_aggregators
        return fraction

    def _count_nodes(self):
        present = self._membership.present()
        if present is self._present:
            return
        self._present = present
        self._max_nodes = max(self._max_nodes, len(present))
        members = self._membership.members
        for data_centre, count in Counter(members[name].data_centre for name in present).items():
            known = self._max_by_data_centre[data_centre]
            self._max_by_data_centre[data_centre] = max(known, count)
