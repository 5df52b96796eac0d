"""Configurations and entries that all watches miss, beside another fault."""

import pytest

from auburnhollow.exceptions import PeerError, StoreUnavailable
from auburnhollow.follow import EvacuationUpdate, ServerRemoval, ServerUpdate
from auburnhollow.peers import Peers
from auburnhollow_standins.fake_servers import DATA_CENTRES, make_server
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import ONCE, SINGLE, ContentFeed, running_relays

from .test_missed_changes import make_update

LONG_MS = 20_000.0


class RefusedFeed(ContentFeed):
    """The feed of a node that the store turns away."""

    __slots__ = ()

    async def read(self):
        raise StoreUnavailable("refused")

    async def changes(self, revision, wait_ms):
        raise StoreUnavailable("refused")

    async def undelivered_configuration(self):
        raise StoreUnavailable("refused")


class SlowLink(Peers):
    """A link over which no answer to a question for state arrives in time until it is sound."""

    def __init__(self, peers, clock):
        self.peers = peers
        self.clock = clock
        self.is_sound = False

    async def ask(self, address, message, timeout_ms):
        if self.is_sound:
            return await self.peers.ask(address, message, timeout_ms)
        await self.clock.sleep(timeout_ms)
        raise PeerError(f"{address}: no answer")


def nodes_behind(count, trouble):
    """Return the nodes without a version that no watch delivers beside a trouble."""

    async def scenario():
        async with running_relays(count=count) as fleet:
            fleet.content.deaf.update(fleet.nodes)
            await fleet.clock.sleep(6_000.0)
            trouble(fleet)
            await fleet.clock.sleep(500.0)
            fleet.content.later.append(make_update(9))
            await fleet.clock.sleep(LONG_MS)
            return [name for name, node in fleet.nodes.items() if node.routes.version != 9]

    return run_virtually(scenario())


def comparing(fleet):
    return [
        node.follower._feed._store
        for node in fleet.nodes.values()
        if node.follower._feed._compares()
    ]


# The store may turn some nodes away and serve the others, for as long as it likes.
@pytest.mark.parametrize("count", [7, 16])
def test_a_missed_configuration_is_found_while_the_store_refuses_the_nodes_that_compare(count):
    def refuse(fleet):
        for store in comparing(fleet):
            store.__class__ = RefusedFeed

    assert nodes_behind(count, refuse) == []


@pytest.mark.parametrize("count", [7, 16])
def test_a_node_that_could_not_fetch_a_missed_configuration_fetches_it_later(count):
    async def scenario():
        async with running_relays(count=count) as fleet:
            fleet.content.deaf.update(fleet.nodes)
            await fleet.clock.sleep(6_000.0)
            names = [
                name for name, node in fleet.nodes.items() if not node.follower._feed._compares()
            ]
            name = names[0]
            node = fleet.nodes[name]
            slow = SlowLink(node.peers, fleet.clock)
            node._delegation.state_exchange._peers = slow
            fleet.content.later.append(make_update(9))
            await fleet.clock.sleep(8_000.0)
            slow.is_sound = True
            await fleet.clock.sleep(LONG_MS)
            return node.routes.version

    assert run_virtually(scenario()) == 9


MISSED = {
    "a server that starts": ServerUpdate(server=make_server("missed", ONCE, DATA_CENTRES[0])),
    "a server that is gone": ServerRemoval(id=f"{SINGLE}-0"),
    "an evacuation": EvacuationUpdate(data_centre=DATA_CENTRES[0], revision=2),
}


@pytest.mark.parametrize("missed", MISSED)
def test_an_entry_that_no_watch_delivers_is_known_in_the_end(missed):
    def state(node):
        servers = {server.id for server in node.registry.servers}
        return (
            "missed" in servers,
            f"{SINGLE}-0" in servers,
            DATA_CENTRES[0] in node.gate.evacuations,
        )

    async def scenario():
        async with running_relays(count=7) as fleet:
            before = state(fleet.nodes["node-1"])
            fleet.content.deaf.update(fleet.nodes)
            await fleet.clock.sleep(6_000.0)
            fleet.content.later.append(MISSED[missed])
            await fleet.clock.sleep(3 * LONG_MS)
            return [name for name, node in fleet.nodes.items() if state(node) == before]

    assert run_virtually(scenario()) == []
