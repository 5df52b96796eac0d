"""How nodes divide the rates that servers name."""

import pytest

from auburnhollow.hashing import ranked
from auburnhollow.relay.rate_shares import RateShares
from auburnhollow.routes import FrontLimits, RouteTable
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.fake_servers import make_route, make_server
from auburnhollow_standins.virtual import VirtualClock

DATA_CENTRES = ("cluj", "iasi", "ploiesti")
LIMITS = FrontLimits(header_bytes=1, body_bytes=1, header_ms=1, idle_ms=1)
# More than this of a rate breaks the users' rule.
ALLOWED = 1.5


class FakeMember:
    """A node in a data centre."""

    def __init__(self, name, data_centre):
        self.id = name
        self.data_centre = data_centre


class FakeMembership:
    """A node's view: the nodes whose ids are in ``seen``."""

    def __init__(self, me, members):
        self.me = me
        self.members = members
        self.seen = tuple(members)

    def present(self):
        """Return the ids of the nodes seen."""
        return self.seen


class FakeAggregators:
    """The first ``wanted`` nodes by rank of those that a node sees in its data centre."""

    def __init__(self, membership, wanted):
        self._membership = membership
        self._wanted = wanted

    def _local(self):
        membership = self._membership
        data_centre = membership.me.data_centre
        names = [
            name for name in membership.seen if membership.members[name].data_centre == data_centre
        ]
        return ranked(data_centre, names)[: self._wanted]

    def count_local_aggregators(self):
        """Return their number."""
        return len(self._local())

    def is_aggregator(self):
        """Return whether the node is one of them."""
        return self._membership.me.id in self._local()


def make_fleet(nodes, wanted):
    registry = ServerRegistry(VirtualClock())
    servers = []
    for service in ("shard", "single"):
        for data_centre in DATA_CENTRES:
            server = make_server(f"{service}-{data_centre}", service, data_centre)
            registry.put(server)
            servers.append(server)
    members = {}
    for number in range(nodes):
        name = f"n{number}"
        members[name] = FakeMember(name, DATA_CENTRES[number % len(DATA_CENTRES)])
    table = RouteTable(1, [make_route(("shard", "other"))], [], LIMITS)
    fleet = []
    for member in members.values():
        membership = FakeMembership(member, members)
        shares = RateShares(membership, FakeAggregators(membership, wanted), registry)
        shares.set_routes(table)
        fleet.append((membership, shares))
    return fleet, servers


def sums(fleet, servers):
    """Return the sum of all nodes' shares of each server."""
    return [
        sum(shares.fraction(server.incarnation) for _membership, shares in fleet)
        for server in servers
    ]


@pytest.mark.parametrize("nodes", [3, 7, 65, 100])
@pytest.mark.parametrize("wanted", [2, 100])
def test_the_shares_of_all_nodes_add_up_to_no_more_than_the_rate(nodes, wanted):
    fleet, servers = make_fleet(nodes, wanted)
    assert max(sums(fleet, servers)) <= 1.0
    assert nodes < 7 or min(sums(fleet, servers)) >= 0.75


@pytest.mark.parametrize("nodes", [7, 65, 100])
@pytest.mark.parametrize("wanted", [2, 100])
def test_a_partition_does_not_raise_the_sum_over_the_users_bound(nodes, wanted):
    fleet, servers = make_fleet(nodes, wanted)
    sums(fleet, servers)
    for number, (membership, _shares) in enumerate(fleet):
        membership.seen = tuple(f"n{each}" for each in range(number % 2, nodes, 2))
    assert max(sums(fleet, servers)) <= ALLOWED


def test_a_node_that_knows_no_other_takes_no_more_than_half():
    fleet, servers = make_fleet(7, 2)
    for number, (membership, _shares) in enumerate(fleet):
        membership.seen = (f"n{number}",)
    assert max(sums(fleet[:1], servers)) <= 0.5
