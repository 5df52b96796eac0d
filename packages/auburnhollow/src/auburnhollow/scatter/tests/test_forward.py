"""Shards of another region, asked through a node there."""

import copy

import pytest

from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, make_search, virtual_fleet


def document_of_regions():
    """Return four shards: two with replicas in ``north`` only, two in ``east`` only."""
    document = copy.deepcopy(make_document(shards=4))
    document["data_centres"] = [
        {"name": "north", "region": "one"},
        {"name": "south", "region": "one"},
        {"name": "east", "region": "two"},
    ]
    for server in document["servers"]:
        near = server["labels"]["shard"] in ("s0", "s1")
        server["data_centre"] = "north" if near else "east"
    return document


async def asked(fleet, **changes):
    """Ask node n0, which stands in ``north``; return the answer and its messages."""
    await fleet.clock.sleep(3_000)
    node = fleet.nodes["n0"].node
    answer = await node.coordinator.search(make_search(**changes))
    return answer, node.metrics.counts.get("scatter.forwarded", 0)


def test_a_query_crosses_the_link_once_for_all_shards_behind_it():
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            answer, forwarded = await asked(fleet)
        assert answer.coverage.is_complete
        assert forwarded == 1
        assert {row["shard"] for row in answer.rows} == {"s0", "s1", "s2", "s3"}
        assert {row["version"] for row in answer.rows} == {1}

    run_virtually(run())


def test_only_the_best_rows_come_back():
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            for server in fleet.servers.values():
                shard = server.id.partition("-")[0]
                server.rows = [
                    {"id": f"{shard}-{number}", "score": number, "shard": shard}
                    for number in range(50)
                ]
            answer, _ = await asked(fleet, rows=3)
        assert [row["score"] for row in answer.rows] == [49, 49, 49]

    run_virtually(run())


async def no_node_there(fleet):
    await fleet.kill("n2")


async def the_node_there_is_paused(fleet):
    fleet.nodes["n2"].pausable.pause()


async def the_link_is_cut(fleet):
    others = [fleet.nodes[name].address for name in ("n0", "n1")]
    fleet.network.cut([fleet.nodes["n2"].address], others)


async def the_node_there_does_not_know_the_service(fleet):
    fleet.nodes["n2"].node.configuration_holder.configuration.services.clear()


@pytest.mark.parametrize("fault", [no_node_there, the_node_there_does_not_know_the_service])
def test_without_a_node_there_the_servers_are_asked_directly(fault):
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            await fleet.clock.sleep(3_000)
            await fault(fleet)
            answer, _ = await asked(fleet)
        assert answer.coverage.is_complete

    run_virtually(run())


@pytest.mark.parametrize("fault", [the_node_there_is_paused, the_link_is_cut])
def test_a_silent_node_there_leaves_stated_gaps_or_is_passed_by(fault):
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            await fleet.clock.sleep(3_000)
            await fault(fleet)
            node = fleet.nodes["n0"].node
            first = await node.coordinator.search(make_search())
            assert set(first.coverage.gaps) in (set(), {"s2", "s3"})
            await fleet.clock.sleep(10_000)
            later = await node.coordinator.search(make_search())
            assert later.coverage.is_complete

    run_virtually(run())


def test_a_gap_there_is_a_gap_here():
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            for replica in range(3):
                fleet.servers[f"s3-{replica}"].is_dead = True
            answer, _ = await asked(fleet)
        assert set(answer.coverage.gaps) == {"s3"}

    run_virtually(run())


def test_shards_with_a_replica_in_this_region_are_never_forwarded():
    async def run():
        async with virtual_fleet(nodes=3) as fleet:
            answer, forwarded = await asked(fleet)
        assert answer.coverage.is_complete
        assert forwarded == 0

    run_virtually(run())
