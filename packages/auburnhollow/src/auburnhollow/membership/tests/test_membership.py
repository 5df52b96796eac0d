"""Membership and gossip under failures, in virtual time."""

import pytest

from auburnhollow.gossip import GossipEntry, GossipTable
from auburnhollow_standins.virtual import VirtualClock, run_virtually
from auburnhollow_standins.virtual_fleet import virtual_fleet


def views(fleet):
    """Return the set of distinct views of the live nodes."""
    return {entry.node.membership.present() for entry in fleet.nodes.values()}


def expected_view(fleet):
    return {tuple(sorted(fleet.nodes))}


async def wait_until_converged(fleet, limit_ms):
    """Wait until every live node sees exactly the live nodes.

    :returns: how long it took, in milliseconds.
    """
    started_ms = fleet.clock.now_ms()
    while views(fleet) != expected_view(fleet):
        await fleet.clock.sleep(50)
        assert fleet.clock.now_ms() - started_ms < limit_ms, views(fleet)
    return fleet.clock.now_ms() - started_ms


def test_the_fleet_converges_after_a_join_a_crash_and_a_replacement():
    async def run():
        async with virtual_fleet(nodes=7, loss=0.05) as fleet:
            await wait_until_converged(fleet, 10_000)
            await fleet.kill("n2")
            await wait_until_converged(fleet, 30_000)
            await fleet.add("new").node.start()
            await wait_until_converged(fleet, 10_000)

    run_virtually(run())


def test_a_leaving_node_is_removed_at_once():
    async def run():
        async with virtual_fleet(nodes=5) as fleet:
            await wait_until_converged(fleet, 10_000)
            fleet.nodes["n1"].node.membership.leave()
            await fleet.clock.sleep(1_000)
            await fleet.kill("n1")
            assert await wait_until_converged(fleet, 1_000) == 0

    run_virtually(run())


@pytest.mark.parametrize("seed", range(10))
def test_a_draining_node_notifies_its_peers_before_it_stops(seed):
    async def run():
        async with virtual_fleet(nodes=3, seed=seed) as fleet:
            await wait_until_converged(fleet, 10_000)
            await fleet.nodes["n1"].node.drain()
            await fleet.kill("n1")
            states = [entry.node.membership.members["n1"].state for entry in fleet.nodes.values()]
            assert states == ["left", "left"]

    run_virtually(run())


@pytest.mark.parametrize("pause_ms", [1_000, 8_000, 60_000])
def test_a_paused_node_returns_without_suspecting_others(pause_ms):
    async def run():
        async with virtual_fleet(nodes=5) as fleet:
            await wait_until_converged(fleet, 10_000)
            paused = fleet.nodes["n3"]
            paused.pausable.pause()
            await fleet.clock.sleep(pause_ms)
            others = [entry for name, entry in fleet.nodes.items() if name != "n3"]
            for entry in others:
                assert set(entry.node.membership.present()) >= set(fleet.nodes) - {"n3"}
            paused.pausable.resume()
            await wait_until_converged(fleet, 30_000)

    run_virtually(run())


def test_the_fleet_converges_after_a_partition_of_an_hour():
    async def run():
        async with virtual_fleet(nodes=6) as fleet:
            await wait_until_converged(fleet, 10_000)
            sides = [
                [fleet.nodes[f"n{number}"] for number in side] for side in ((0, 1, 2), (3, 4, 5))
            ]
            fleet.instances.clear()
            fleet.network.cut(
                [entry.address for entry in sides[0]], [entry.address for entry in sides[1]]
            )
            await fleet.clock.sleep(3_600_000)
            assert len(views(fleet)) == 2
            fleet.network.heal()
            await wait_until_converged(fleet, 30_000)

    run_virtually(run())


def test_the_fleet_converges_after_a_rolling_replacement_of_all_nodes():
    async def run():
        async with virtual_fleet(nodes=4) as fleet:
            for number in range(4):
                await fleet.clock.sleep(20_000)
                await fleet.kill(f"n{number}")
                await fleet.add(f"m{number}").node.start()
            await wait_until_converged(fleet, 30_000)
            assert fleet.revisions() == {1}

    run_virtually(run())


def test_the_fleet_converges_after_a_restart_of_all_nodes_with_the_same_ids():
    async def run():
        async with virtual_fleet(nodes=5) as fleet:
            await wait_until_converged(fleet, 10_000)
            for name in list(fleet.nodes):
                await fleet.kill(name)
            await fleet.clock.sleep(1_000)
            fleet.instances.clear()
            for number in range(5):
                await fleet.add(f"n{number}").node.start()
            await wait_until_converged(fleet, 30_000)

    run_virtually(run())


def test_a_new_node_knows_the_fleet_after_a_second():
    async def run():
        async with virtual_fleet(nodes=7) as fleet:
            await wait_until_converged(fleet, 10_000)
            fresh = fleet.add("fresh")
            await fresh.node.start()
            await fleet.clock.sleep(1_000)
            assert len(fresh.node.membership.present()) == 8
            assert fresh.node.is_ready

    run_virtually(run())


def make_entry(version, key="k", expires_ms=0):
    return GossipEntry(kind="x", key=key, version=version, value=[], expires_ms=expires_ms)


def test_the_table_accepts_only_higher_versions_and_the_digest_detects_differences():
    async def run():
        clock = VirtualClock()
        one, two = GossipTable(clock), GossipTable(clock)
        received = []
        one.on("x", received.append)
        assert one.put(make_entry(2))
        assert not one.put(make_entry(2))
        assert not one.put(make_entry(1))
        assert len(received) == 1
        assert one.digest != two.digest
        two.put(make_entry(1))
        two.put(make_entry(2))
        assert one.digest == two.digest
        assert one.buckets == two.buckets

    run_virtually(run())


def test_the_table_is_bounded_and_drops_expired_entries():
    async def run():
        clock = VirtualClock()
        table = GossipTable(clock, max_entries=10)
        for number in range(50):
            table.put(make_entry(1, key=str(number), expires_ms=clock.wall_ms() + 1_000))
        assert len(table) == 10
        assert not table.put(make_entry(1, key="old", expires_ms=clock.wall_ms() - 1))
        await clock.sleep(1_001)
        assert len(table.expire()) == 10
        assert len(table) == 0
        assert table.digest == 0

    run_virtually(run())
