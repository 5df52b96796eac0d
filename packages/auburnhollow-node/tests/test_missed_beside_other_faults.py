"""Configurations that all watches miss, beside another fault."""

import pytest

from auburnhollow.exceptions import PeerError, StoreUnavailable
from auburnhollow.follow.sharing import COMPARING_NODES
from auburnhollow.peers import Peers
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import ContentFeed, running_relays

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


class NotComparingFeed(ContentFeed):
    """The feed of a node that compares nothing."""

    __slots__ = ()

    async def undelivered_configuration(self):
        return None


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
    """Return the feeds of three nodes, or of those that watch the store for the others."""
    feeds = [node.follower._feed for node in fleet.nodes.values()]
    if feeds[0]._fleet_has_watchers():
        return [feed._store for feed in feeds if feed._watchers() is None]
    return [feed._store for feed in feeds[:COMPARING_NODES]]


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
            watching = comparing(fleet)
            node = next(
                node for node in fleet.nodes.values() if node.follower._feed._store not in watching
            )
            node.follower._feed._store.__class__ = NotComparingFeed
            slow = SlowLink(node.peers, fleet.clock)
            node._delegation.state_exchange._peers = slow
            fleet.content.later.append(make_update(9))
            await fleet.clock.sleep(8_000.0)
            slow.is_sound = True
            await fleet.clock.sleep(LONG_MS)
            return node.routes.version

    assert run_virtually(scenario()) == 9
