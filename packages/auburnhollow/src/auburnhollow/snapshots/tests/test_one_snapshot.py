"""All rows of an answer come from one snapshot."""

import asyncio
import copy

import pytest

from auburnhollow.exceptions import NotReady, Unavailable
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, make_search, virtual_fleet


def set_versions(fleet, shard, versions, replicas=(0, 1, 2)):
    for replica in replicas:
        fleet.servers[f"{shard}-{replica}"].versions = list(versions)


def set_all_versions(fleet, versions):
    for server in fleet.servers.values():
        server.versions = list(versions)


def one_shard_is_old(fleet):
    set_versions(fleet, "s0", [1])


def one_replica_is_old(fleet):
    set_versions(fleet, "s0", [1], replicas=(0,))


def two_replicas_are_old(fleet):
    set_versions(fleet, "s0", [1], replicas=(0, 2))


def one_shard_without_the_old_version(fleet):
    set_versions(fleet, "s1", [2])


def hedge_target_is_old(fleet):
    fleet.servers["s0-0"].default_step = "slow"
    set_versions(fleet, "s0", [1], replicas=(1, 2))


def two_shards_with_different_versions(fleet):
    set_versions(fleet, "s0", [1])
    set_versions(fleet, "s1", [2])


# Setup of the servers, version that the caller has seen, snapshot of the answer, gaps.
CASES = [
    (lambda fleet: None, 0, 2, set()),
    (one_shard_is_old, 0, 1, set()),
    (one_shard_is_old, 2, 2, {"s0"}),
    (one_replica_is_old, 0, 2, set()),
    (two_replicas_are_old, 0, 2, set()),
    (one_shard_without_the_old_version, 0, 2, set()),
    (hedge_target_is_old, 0, 2, set()),
    (two_shards_with_different_versions, 0, 1, {"s1"}),
    (two_shards_with_different_versions, 2, 2, {"s0"}),
]


@pytest.mark.parametrize(("arrange", "at_least", "snapshot", "gaps"), CASES)
def test_every_row_is_from_the_snapshot(arrange, at_least, snapshot, gaps):
    async def run():
        async with virtual_fleet(make_document(versions=(1, 2)), nodes=1) as fleet:
            set_all_versions(fleet, [1, 2])
            arrange(fleet)
            coordinator = fleet.nodes["n0"].node.coordinator
            answer = await coordinator.search(make_search(at_least=at_least))
        assert answer.snapshot == snapshot
        assert {row["version"] for row in answer.rows} == {snapshot}
        assert set(answer.coverage.gaps) == gaps
        assert all(
            outcome.gap.value == "lacks-version" for outcome in answer.coverage.gaps.values()
        )

    run_virtually(run())


def repartitioned(document):
    """Split s0 into s0a and s0b, and merge s1 and s2 into s12, as version 2."""
    changed = copy.deepcopy(document)
    names = ["s0a", "s0b", "s12", "s3"]
    shards = [{"name": name, "labels": {}} for name in names]
    changed["services"][0]["versions"].append({"version": 2, "shards": shards})
    held = {"s0": ["s0", "s0a", "s0b"], "s1": ["s1", "s12"], "s2": ["s2", "s12"], "s3": ["s3"]}
    for server in changed["servers"]:
        server["labels"]["shard"] = held[server["labels"]["shard"]]
    return changed


@pytest.mark.parametrize("held", [[1], [2], [1, 2]])
def test_a_repartition_during_a_query_does_not_change_its_version(held):
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            set_all_versions(fleet, [1])
            for server in fleet.servers.values():
                server.default_step = "slow"
            node = fleet.nodes["n0"].node
            asked = asyncio.create_task(node.coordinator.search(make_search()))
            await fleet.clock.sleep(20)
            await fleet.change(repartitioned(fleet.document), base=1)
            await fleet.clock.sleep(100)
            set_all_versions(fleet, held)
            during = await asked
            after = await node.coordinator.search(make_search())
        assert during.snapshot == 1
        assert during.coverage.to_map()["shards"] == ["s0", "s1", "s2", "s3"]
        assert {row["version"] for row in during.rows} == {1}
        if 2 in held:
            assert after.snapshot == 2
            assert after.coverage.to_map()["shards"] == ["s0a", "s0b", "s12", "s3"]
            # Servers of both old shards hold the merged shard's row; the answer has it once.
            assert len({row["id"] for row in after.rows}) == len(after.rows)
        else:
            assert after.snapshot == 1
        assert {row["version"] for row in after.rows} == {after.snapshot}

    run_virtually(run())


def test_a_caller_never_reads_an_older_snapshot_than_it_has_seen():
    async def run():
        async with virtual_fleet(make_document(versions=(1,)), nodes=1) as fleet:
            with pytest.raises(NotReady) as caught:
                await fleet.nodes["n0"].node.coordinator.search(make_search(at_least=2))
        assert caught.value.ran.value == "no"
        assert caught.value.retry_after_ms > 0

    run_virtually(run())


def test_without_a_server_with_the_version_the_request_is_refused_as_not_run():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            set_all_versions(fleet, [7])
            with pytest.raises(Unavailable) as caught:
                await fleet.nodes["n0"].node.coordinator.search(make_search())
        assert caught.value.ran.value == "no"
        assert not any(server.ran for server in fleet.servers.values())

    run_virtually(run())
