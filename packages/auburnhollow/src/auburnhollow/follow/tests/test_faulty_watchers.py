"""A change reaches every node in touch in time, whichever watchers are faulty, and how."""

import random

import pytest

from auburnhollow.exceptions import StoreUnavailable
from auburnhollow.follow import ChangeServer, ConfigurationUpdate
from auburnhollow.follow.messages import Changes, ChangesAsk, pack_update
from auburnhollow_standins.virtual import run_virtually

from .test_sharing import Fleet, make_table

APPLY_MS = 3_000.0
HANGS = "hangs for other nodes"
CUT = "is cut off from the store"
REJECTED = "is rejected by the store"
FAULTS = (HANGS, CUT, REJECTED)
SIZES = ((13, 1), (30, 3), (65, 5))
CHANGE_GAPS_MS = (0.0, 350.0, 1_600.0, 4_000.0)


def break_node(fleet, name, fault):
    if fault == HANGS:
        fleet.peers.unresponsive.add(name)
    if fault == CUT:
        fleet.store.silent.add(name)
    if fault == REJECTED:
        fleet.store.rejected.add(name)


class OldChangeServer(ChangeServer):
    """A watcher of the build before, which waits for changes and knows of no confirmations."""

    __slots__ = ()

    async def answer(self, message):
        """Answer after a change, or after the whole wait."""
        change_log = self._follower.change_log
        until_ms = self._clock.now_ms() + message.wait_ms
        while change_log.revision <= message.revision and self._clock.now_ms() < until_ms:
            self._check_reach()
            await self._clock.sleep(20.0)
        self._check_reach()
        updates = [pack_update(update) for update in change_log.after(message.revision)]
        return Changes(revision=change_log.revision, updates=updates)

    def _check_reach(self):
        if not self._follower.is_reachable or not self._feed.is_direct:
            raise StoreUnavailable("this node does not reach the store itself")


def longest_delay(count, data_centres, seed, break_nodes, are_watchers_old=False):
    """Return the nodes that are behind at the end, and the longest delay of a change, in ms.

    Only nodes without a fault count.

    :param break_nodes: function that breaks nodes of a fleet and returns their names.
    """

    async def run():
        rng = random.Random(seed)
        fleet = Fleet(count, seed, data_centres)
        if are_watchers_old:
            for name, server in fleet.peers.servers.items():
                old = OldChangeServer(fleet.followers[name], fleet.feeds[name], fleet.clock)
                server.on(ChangesAsk, old.answer)
        fleet.start()
        await fleet.clock.sleep(8_000 + rng.uniform(0, 3_000))
        faulty = break_nodes(fleet, rng)
        await fleet.clock.sleep(rng.uniform(0, 1_700))
        changed_ms = {}
        delays = []

        def hear(table):
            delays.append(fleet.clock.now_ms() - changed_ms[table.version])

        for name, follower in fleet.followers.items():
            if name not in faulty:
                follower.on_routes = hear
        for version, gap_ms in enumerate(CHANGE_GAPS_MS, 9):
            await fleet.clock.sleep(gap_ms)
            changed_ms[version] = fleet.clock.now_ms()
            fleet.store.updates.append(ConfigurationUpdate(table=make_table(version)))
        await fleet.clock.sleep(12_000)
        behind = [name for name in fleet.behind(version) if name not in faulty]
        await fleet.stop()
        return behind, max(delays)

    return run_virtually(run())


@pytest.mark.parametrize("fault", [*FAULTS, None], ids=lambda fault: fault or "mixed faults")
@pytest.mark.parametrize("count, data_centres", SIZES)
@pytest.mark.parametrize("seed", range(2))
def test_a_change_is_in_force_in_time_when_all_watchers_are_faulty(
    count, data_centres, seed, fault
):
    def break_watchers(fleet, rng):
        faulty = fleet.watchers()
        for number, name in enumerate(faulty):
            break_node(fleet, name, fault or FAULTS[(number + seed) % len(FAULTS)])
        return faulty

    behind, delay_ms = longest_delay(count, data_centres, seed, break_watchers)
    assert behind == []
    assert delay_ms <= APPLY_MS


@pytest.mark.parametrize("seed", range(9))
def test_a_change_is_in_force_in_time_whichever_nodes_are_faulty(seed):
    """Each node has a random fault or none."""
    count, data_centres = SIZES[seed % len(SIZES)]

    def break_some(fleet, rng):
        faulty = rng.sample(list(fleet.followers), count // 3)
        faulty += [name for name in fleet.watchers() if rng.random() < 0.7]
        for name in faulty:
            break_node(fleet, name, rng.choice(FAULTS))
        return faulty

    behind, delay_ms = longest_delay(count, data_centres, seed, break_some)
    assert behind == []
    assert delay_ms <= APPLY_MS


@pytest.mark.parametrize("fault", FAULTS)
def test_a_change_is_in_force_in_time_behind_faulty_watchers_of_the_build_before(fault):
    def break_watchers(fleet, _rng):
        faulty = [name for name, feed in fleet.feeds.items() if feed._watchers() is None]
        for name in faulty:
            break_node(fleet, name, fault)
        return faulty

    behind, delay_ms = longest_delay(30, 3, 1, break_watchers, are_watchers_old=True)
    assert behind == []
    assert delay_ms <= APPLY_MS


@pytest.mark.parametrize("refused", ["silent", "rejected"])
def test_nodes_without_the_store_follow_the_watchers_again_after_an_outage(refused):
    async def run():
        fleet = Fleet(30, 1, 3)
        fleet.start()
        await fleet.clock.sleep(8_000)
        watchers = fleet.watchers()
        getattr(fleet.store, refused).update(fleet.followers)
        await fleet.clock.sleep(9_000)
        getattr(fleet.store, refused).difference_update(watchers)
        await fleet.clock.sleep(6_000)
        fleet.store.updates.append(ConfigurationUpdate(table=make_table(9)))
        await fleet.clock.sleep(APPLY_MS)
        behind = fleet.behind(9)
        await fleet.stop()
        return behind

    assert run_virtually(run()) == []
