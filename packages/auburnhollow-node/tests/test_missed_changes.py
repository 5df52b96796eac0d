"""Nodes that have missed a configuration, though their watches are on time."""

import pytest

from auburnhollow.follow import ConfigurationUpdate
from auburnhollow.routes import FrontLimits, RouteTable, Service
from auburnhollow_standins.fake_servers import make_route
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import ONCE, running_relays

APPLY_MS = 3_000.0
# The time within which an accepted configuration is in force, whatever has missed it.
SEEN_BY_NOBODY_MS = 5_000.0
LIMITS = FrontLimits(header_bytes=8_192, body_bytes=65_536, header_ms=5_000, idle_ms=30_000)


def make_update(version):
    route = make_route((ONCE,), name="stock", prefix="/stock/", objective_ms=300.0)
    table = RouteTable(version, [route], [Service(name=ONCE, connections=100)], LIMITS)
    return ConfigurationUpdate(table=table)


def versions_after_a_change(deaf, count=7, version=9, apply_ms=APPLY_MS):
    """Return the versions in force at all nodes, ``apply_ms`` after a change that some miss."""

    async def scenario():
        async with running_relays(count=count) as fleet:
            fleet.content.deaf.update(deaf)
            await fleet.clock.sleep(6_000.0)
            fleet.content.later.append(make_update(version))
            await fleet.clock.sleep(apply_ms)
            return {name: node.routes.version for name, node in fleet.nodes.items()}

    return run_virtually(scenario())


@pytest.mark.parametrize("deaf", [["node-0"], ["node-1", "node-2", "node-3", "node-5", "node-6"]])
def test_a_node_that_misses_a_configuration_fetches_it_from_others(deaf):
    assert set(versions_after_a_change(deaf).values()) == {9}


def test_nodes_behind_a_watcher_that_misses_a_configuration_fetch_it_from_others():
    names = [f"node-{number}" for number in range(16)]
    versions = versions_after_a_change(names[:13], count=16)
    assert set(versions.values()) == {9}


@pytest.mark.parametrize("count", [2, 7, 16])
def test_a_configuration_that_no_watch_delivers_is_taken_from_the_store(count):
    names = [f"node-{number}" for number in range(count)]
    versions = versions_after_a_change(names, count=count, apply_ms=SEEN_BY_NOBODY_MS)
    assert set(versions.values()) == {9}


def test_a_version_that_no_node_can_deliver_is_asked_for_a_few_times_only():
    async def scenario():
        async with running_relays() as fleet:
            gossip = fleet.nodes["node-1"].follower
            gossip.on_version(10**9, 1)
            await fleet.clock.sleep(2_000.0)
            before = fleet.network.messages_sent
            await fleet.clock.sleep(20_000.0)
            busy = fleet.network.messages_sent - before
            await fleet.clock.sleep(60_000.0)
            before = fleet.network.messages_sent
            await fleet.clock.sleep(20_000.0)
            return busy, fleet.network.messages_sent - before

    busy, calm = run_virtually(scenario())
    assert busy <= 1.1 * calm


def test_a_version_of_an_era_before_is_not_fetched():
    async def scenario():
        async with running_relays() as fleet:
            ahead = fleet.nodes["node-1"].follower
            ahead.apply_routes(make_update(9).table)
            for name, node in fleet.nodes.items():
                if name != "node-1":
                    node.follower.learn_servers([], 5 << 44)
            ahead.on_version(9, 4 << 44)
            await fleet.clock.sleep(APPLY_MS)
            return {node.routes.version for name, node in fleet.nodes.items() if name != "node-1"}

    assert run_virtually(scenario()) == {1}
