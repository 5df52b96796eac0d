"""An accepted configuration is soon in force on all nodes and never reverts."""

import asyncio

import pytest

from auburnhollow.configuration import StoredConfiguration
from auburnhollow.configuration.records import CURRENT_KEY
from auburnhollow.exceptions import (
    ConfigurationError,
    ConflictError,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from auburnhollow_standins.fake_platform import FakeStore
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import virtual_fleet

IN_FORCE_MS = 5_000.0
NODES = 7


class RevisionLog:
    """Records each change of each node's revision."""

    def __init__(self, fleet):
        self.revisions = {}
        for name, entry in fleet.nodes.items():
            self.add_node(name, entry.node)

    def add_node(self, name, node):
        revisions = self.revisions.setdefault(name, [node.configuration_holder.number])
        node.configuration_holder.on_change(lambda stored: revisions.append(stored.number))

    def assert_never_reverted(self):
        for revisions in self.revisions.values():
            assert revisions == sorted(revisions)


async def store_outage_after_the_write(fleet):
    await fleet.clock.sleep(20)
    fleet.shared_store.is_down = True
    fleet.shared_store.end_watches()


async def slow_store(fleet):
    fleet.shared_store.delay_ms = 400.0


async def kill_watchers(fleet):
    for name in [name for name, entry in fleet.nodes.items() if is_watcher(entry)]:
        await fleet.kill(name)


async def pause_watchers(fleet):
    for entry in fleet.nodes.values():
        if is_watcher(entry):
            entry.pausable.pause()


async def one_node_without_store_and_half_its_peers(fleet):
    entry = fleet.nodes["n3"]
    entry.store.is_cut = True
    others = [fleet.nodes[name].address for name in ("n0", "n1", "n2")]
    fleet.network.cut([entry.address], others)


async def one_node_without_peers(fleet):
    entry = fleet.nodes["n3"]
    others = [other.address for other in fleet.nodes.values() if other is not entry]
    fleet.network.cut([entry.address], others)


async def message_loss(fleet):
    fleet.network.loss = 0.05


async def message_loss_slow_store_and_a_dead_watcher(fleet):
    fleet.network.loss = 0.05
    fleet.shared_store.delay_ms = 300.0
    await fleet.kill(next(name for name, entry in fleet.nodes.items() if is_watcher(entry)))


async def no_fault(_fleet):
    return


def is_watcher(entry):
    return entry.node.configuration_sync.is_watcher


FAULTS = [
    no_fault,
    store_outage_after_the_write,
    slow_store,
    kill_watchers,
    one_node_without_store_and_half_its_peers,
    message_loss,
    message_loss_slow_store_and_a_dead_watcher,
]


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("seed", range(3))
def test_a_change_is_in_force_on_all_nodes_in_time(fault, seed):
    async def run():
        async with virtual_fleet(nodes=NODES, seed=seed) as fleet:
            await fleet.clock.sleep(3_000)
            revision_log = RevisionLog(fleet)
            accepted = asyncio.create_task(fleet.change(fleet.document, base=1))
            await fault(fleet)
            await accepted
            started_ms = fleet.clock.now_ms()
            while fleet.revisions() != {2}:
                await fleet.clock.sleep(10)
                assert fleet.clock.now_ms() - started_ms < IN_FORCE_MS
            revision_log.assert_never_reverted()

    run_virtually(run())


@pytest.mark.parametrize("fault", [one_node_without_peers, pause_watchers])
def test_an_unreachable_node_catches_up_when_it_is_reachable_again(fault):
    async def run():
        async with virtual_fleet(nodes=NODES) as fleet:
            await fleet.clock.sleep(3_000)
            revision_log = RevisionLog(fleet)
            await fault(fleet)
            await fleet.change(fleet.document, base=1)
            await fleet.clock.sleep(20_000)
            fleet.network.heal()
            for entry in fleet.nodes.values():
                entry.pausable.resume()
            await fleet.clock.sleep(IN_FORCE_MS)
            assert fleet.revisions() == {2}
            revision_log.assert_never_reverted()

    run_virtually(run())


def test_a_fresh_node_starts_from_its_peers_while_the_store_is_down():
    async def run():
        async with virtual_fleet(nodes=3) as fleet:
            await fleet.change(fleet.document, base=1)
            await fleet.clock.sleep(2_000)
            fleet.shared_store.is_down = True
            fleet.shared_store.end_watches()
            fresh = fleet.add("fresh")
            await fresh.node.start()
            await fleet.clock.sleep(1_000)
            assert fresh.revision == 2
            assert fresh.node.configuration_holder.source == "peer"
            assert fresh.node.is_ready

    run_virtually(run())


def test_a_fresh_node_with_neither_store_nor_peers_is_not_ready():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            await fleet.kill("n0")
            fleet.shared_store.is_down = True
            fresh = fleet.add("fresh")
            await fresh.node.start()
            await fleet.clock.sleep(5_000)
            assert not fresh.node.is_ready
            fleet.shared_store.is_down = False
            await fleet.clock.sleep(IN_FORCE_MS)
            assert fresh.node.is_ready

    run_virtually(run())


def test_an_old_revision_is_never_accepted():
    async def run():
        async with virtual_fleet(nodes=2) as fleet:
            old = fleet.shared_store.entries[CURRENT_KEY].value
            await fleet.change(fleet.document, base=1)
            await fleet.clock.sleep(IN_FORCE_MS)
            node = fleet.nodes["n0"].node
            assert not node.configuration_holder.offer(old, "peer")
            fleet.shared_store.revision += 1
            fleet.shared_store.put(CURRENT_KEY, old)
            await fleet.clock.sleep(IN_FORCE_MS)
            assert fleet.revisions() == {2}

    run_virtually(run())


@pytest.mark.parametrize("data", [b"", b"garbage", b"x\x9c\x03\x00\x00\x00\x00\x01"])
def test_invalid_data_is_rejected(data):
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            configuration_holder = fleet.nodes["n0"].node.configuration_holder
            assert not configuration_holder.offer(data, "peer")
            broken = StoredConfiguration(
                number=9, change_id="x", author="", note="", at_ms=0, document={}
            )
            assert not configuration_holder.offer(broken.to_bytes(), "peer")
            assert configuration_holder.number == 1

    run_virtually(run())


def test_one_of_several_concurrent_changes_wins_and_the_others_conflict():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            changes = [fleet.change(fleet.document, base=1) for _ in range(5)]
            results = await asyncio.gather(*changes, return_exceptions=True)
            lost = [result for result in results if isinstance(result, ConflictError)]
            assert len(lost) == 4
            assert all(error.current.number == 2 for error in lost)

    run_virtually(run())


@pytest.mark.parametrize("seed", range(30))
def test_a_lost_answer_is_resolved_by_the_change_id(seed):
    async def run():
        async with virtual_fleet(nodes=1, seed=seed) as fleet:
            fleet.shared_store.lose_answer_chance = 0.5
            fleet.shared_store.lose_call_chance = 0.3
            stored = None
            while stored is None:
                try:
                    stored = await fleet.repository.change(
                        fleet.document, base=1, author="a", note="n", change_id="mine"
                    )
                except (StoreOutcomeUnknown, StoreUnavailable):
                    continue
            fleet.shared_store.lose_answer_chance = fleet.shared_store.lose_call_chance = 0.0
            await fleet.change(fleet.document, base=2)
            again = await fleet.repository.change(
                fleet.document, base=1, author="a", note="n", change_id="mine"
            )
            history = await fleet.repository.history()
        assert again.number == stored.number == 2
        assert [entry.number for entry in history] == [3, 2, 1]

    run_virtually(run())


def test_an_invalid_document_is_not_written():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            broken = {**fleet.document, "draining": ["nobody"], "extra": 1}
            with pytest.raises(ConfigurationError) as caught:
                await fleet.change(broken, base=1)
            assert [finding.place for finding in caught.value.findings] == ["extra"]
            assert (await fleet.repository.current()).number == 1

    run_virtually(run())


def test_a_store_that_ends_each_watch_at_once_is_not_flooded():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            watch = FakeStore.watch

            async def ends_at_once(store, key, revision):
                await store._enter("watches")
                return
                yield

            FakeStore.watch = ends_at_once
            fleet.shared_store.end_watches()
            try:
                before = fleet.shared_store.counts["reads"]
                await fleet.clock.sleep(10_000)
                assert 10 < fleet.shared_store.counts["reads"] - before < 100
                await fleet.change(fleet.document, base=1)
                await fleet.clock.sleep(IN_FORCE_MS)
                assert fleet.revisions() == {2}
            finally:
                FakeStore.watch = watch

    run_virtually(run())


def test_few_nodes_watch_the_store():
    async def run():
        counts = {}
        for nodes in (7, 30):
            async with virtual_fleet(nodes=nodes) as fleet:
                await fleet.clock.sleep(10_000)
                watching = sum(len(queues) for queues in fleet.shared_store.watchers.values())
                before = dict(fleet.shared_store.counts)
                await fleet.clock.sleep(10_000)
                after = fleet.shared_store.counts
                counts[nodes] = (watching, after["reads"] - before["reads"])
        assert counts[7] == counts[30] == (3, 0)

    run_virtually(run())
