"""Nodes that start while others hold an older configuration."""

import asyncio
import random

import pytest

from auburnhollow.exceptions import NotReady
from auburnhollow_standins.follow_fleet import FollowFleet
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import RelayFleet

from .test_sharing import make_table

IN_FORCE_MS = 5_000.0
# Seeds by number of nodes.
SEEDS = {7: 6, 30: 3, 122: 1}
FROZEN = "frozen"
CUT_OFF = "cut off from the store"
REFUSED = "refused by the store"
SUSPENDED_OFTEN = "cut off and suspended again and again"
MIXED = "of each kind"
KINDS = (FROZEN, CUT_OFF, REFUSED, SUSPENDED_OFTEN)
WATCHERS = "watchers"
SOME = "some"
ALL_BUT_A_FEW = "all but a few"
FOREVER_MS = 1e9
# The time for which a node may serve by a version that was replaced before the node was started.
OLD_AT_START_MS = 3_000.0


class Findings:
    """What a play has shown."""

    def __init__(self):
        self.late = []
        self.regressed = []
        self.longest_old_ms = 0.0
        self.longest_late_ms = 0.0

    def judge(self, fleet, run, reaches):
        """Judge one run of a node by the versions that were in force on it."""
        versions = [version for _, version, _ in run.in_force]
        if versions != sorted(versions):
            self.regressed.append(run.name)
        ended_ms = min(run.ended_ms, fleet.clock.now_ms())
        before_start = 0
        for version, acknowledged_ms in fleet.store.acknowledged_ms.items():
            if acknowledged_ms <= run.started_ms:
                before_start = version
            due_ms = max(acknowledged_ms, run.started_ms) + IN_FORCE_MS
            if not reaches or ended_ms < due_ms:
                continue
            late_ms = _in_force_ms(run, version, ended_ms) - due_ms + IN_FORCE_MS
            self.longest_late_ms = max(self.longest_late_ms, late_ms)
            if late_ms > IN_FORCE_MS:
                self.late.append((run.name, version, round(late_ms)))
        if not reaches or not versions or versions[0] >= before_start:
            return
        old_ms = _in_force_ms(run, before_start, ended_ms) - run.in_force[0][0]
        self.longest_old_ms = max(self.longest_old_ms, old_ms)


def _in_force_ms(run, version, ended_ms):
    """Return when a run had a version or a newer one, the end of the play if never."""
    for at_ms, in_force, _ in run.in_force:
        if in_force >= version:
            return at_ms
    return ended_ms


def play(count, seed, kind, starting):
    """Start nodes behind others that hold the version before; return the :class:`Findings`.

    :param kind: what keeps the others on the version before.
    :param starting: which nodes start.
    """

    async def run():
        rng = random.Random(f"{count}{seed}{kind}{starting}")
        fleet = FollowFleet(count, make_table(1), seed, data_centres=6 if count > 12 else 3)
        for name in fleet.members:
            fleet.start(name)
        await fleet.clock.sleep(8_000 + rng.uniform(0, 3_000))
        stale = set(_choose_stale(fleet, rng, starting))
        unreachable = set()
        suspending = []
        for name in sorted(stale):
            fault = rng.choice(KINDS) if kind == MIXED else kind
            if fault == FROZEN:
                fleet.freeze(name)
                continue
            unreachable.add(name)
            if fault == REFUSED:
                fleet.store.refused_until_ms[name] = FOREVER_MS
                continue
            fleet.store.silent_until_ms[name] = FOREVER_MS
            if fault == SUSPENDED_OFTEN:
                suspending.append(asyncio.create_task(_suspend_often(fleet, name, rng)))
        await fleet.clock.sleep(rng.choice([10.0, 900.0, 1_900.0, 6_000.0]))
        fleet.store.put(make_table(2))
        await fleet.clock.sleep(rng.choice([0.0, 20.0, 400.0, 6_000.0]))
        started = _choose_starting(fleet, rng, stale, starting)
        for name in started:
            fleet.kill(name)
        # Some calls of the starting nodes are refused before the store answers them.
        refused = rng.sample(started, rng.choice([0, len(started) // 3, len(started)]))
        await fleet.clock.sleep(rng.uniform(20.0, 300.0))
        thaw_ms = rng.choice([0.0, 30.0, 300.0, 1_500.0])
        if thaw_ms == 0.0:
            _thaw(fleet, stale - unreachable)
        for name in started:
            fleet.start(name, knows_ms=rng.choice([0.0, 0.0, rng.uniform(1.0, 600.0)]))
            if name in refused:
                now_ms = fleet.clock.now_ms()
                fleet.store.refused_until_ms[name] = now_ms + rng.choice([5.0, 50.0, 400.0])
        await fleet.clock.sleep(thaw_ms)
        _thaw(fleet, stale - unreachable)
        await fleet.clock.sleep(12_000)
        for task in suspending:
            task.cancel()
        findings = Findings()
        for each in fleet.runs:
            findings.judge(fleet, each, each.name not in unreachable and each.name not in stale)
        await fleet.stop()
        return findings

    return run_virtually(run())


def _choose_stale(fleet, rng, starting):
    """Return the nodes that will hold an older version, the watchers first."""
    names = list(fleet.members)
    if starting == WATCHERS:
        return fleet.watchers()[:-1] if len(names) > 12 else names[: len(names) // 2]
    few = rng.randint(1, max(1, len(names) // 8))
    watchers = fleet.watchers() if len(names) > 12 else names
    return rng.sample(watchers, min(few, len(watchers)))


def _choose_starting(fleet, rng, stale, starting):
    others = [name for name in fleet.members if name not in stale]
    if starting == ALL_BUT_A_FEW:
        return others
    return rng.sample(others, max(1, len(others) // 2))


async def _suspend_often(fleet, name, rng):
    """Let a node run for a short while between suspensions."""
    while True:
        fleet.freeze(name)
        await fleet.clock.sleep(rng.uniform(300.0, 1_500.0))
        fleet.thaw(name)
        await fleet.clock.sleep(rng.uniform(20.0, 300.0))


def _thaw(fleet, names):
    for name in names:
        if fleet.nodes[name].clock.is_frozen:
            fleet.thaw(name)


@pytest.mark.parametrize("starting", [WATCHERS, SOME, ALL_BUT_A_FEW])
@pytest.mark.parametrize("kind", [*KINDS, MIXED])
@pytest.mark.parametrize("count", SEEDS)
def test_nodes_that_start_behind_a_stale_source_have_the_newest_version_in_time(
    count, kind, starting
):
    for seed in range(SEEDS[count]):
        findings = play(count, seed, kind, starting)
        assert findings.late == [], seed
        assert findings.regressed == [], seed
        assert findings.longest_old_ms <= OLD_AT_START_MS, seed


def test_nodes_that_know_no_version_are_not_ready():
    async def scenario():
        fleet = RelayFleet(count=3)
        fleet.content.first = []
        await fleet.start()
        try:
            answer = await fleet.send("node-1", "/stock/", 1)
            return answer, {node.is_ready for node in fleet.nodes.values()}
        finally:
            await fleet.stop()

    answer, ready = run_virtually(scenario())
    assert isinstance(answer, NotReady)
    assert ready == {False}
