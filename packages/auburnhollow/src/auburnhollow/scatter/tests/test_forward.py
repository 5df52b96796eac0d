"""Forwarding of shards to a node in another region."""

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
        is_north = server["labels"]["shard"] in ("s0", "s1")
        server["data_centre"] = "north" if is_north else "east"
    return document


async def search_from_n0(fleet, **changes):
    """Search through node n0 in ``north``; return the answer and the number of forwards."""
    await fleet.clock.sleep(3_000)
    node = fleet.nodes["n0"].node
    answer = await node.coordinator.search(make_search(**changes))
    return answer, node.metrics.counts.get("scatter.forwarded", 0)


def test_all_shards_of_another_region_are_forwarded_in_one_message():
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            answer, forwarded = await search_from_n0(fleet)
        assert answer.coverage.is_complete
        assert forwarded == 1
        assert {row["shard"] for row in answer.rows} == {"s0", "s1", "s2", "s3"}
        assert {row["version"] for row in answer.rows} == {1}

    run_virtually(run())


def test_only_the_best_rows_are_returned():
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            for server in fleet.servers.values():
                shard = server.id.partition("-")[0]
                server.rows = [
                    {"id": f"{shard}-{number}", "score": number, "shard": shard}
                    for number in range(50)
                ]
            answer, _ = await search_from_n0(fleet, rows=3)
        assert [row["score"] for row in answer.rows] == [49, 49, 49]

    run_virtually(run())


async def kill_the_remote_node(fleet):
    await fleet.kill("n2")


async def pause_the_remote_node(fleet):
    fleet.nodes["n2"].pausable.pause()


async def cut_the_link(fleet):
    others = [fleet.nodes[name].address for name in ("n0", "n1")]
    fleet.network.cut([fleet.nodes["n2"].address], others)


async def remove_the_service_at_the_remote_node(fleet):
    fleet.nodes["n2"].node.configuration_holder.configuration.services.clear()


@pytest.mark.parametrize("fault", [kill_the_remote_node, remove_the_service_at_the_remote_node])
def test_without_a_remote_node_the_servers_are_asked_directly(fault):
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            await fleet.clock.sleep(3_000)
            await fault(fleet)
            answer, _ = await search_from_n0(fleet)
        assert answer.coverage.is_complete

    run_virtually(run())


@pytest.mark.parametrize("fault", [pause_the_remote_node, cut_the_link])
def test_a_silent_remote_node_causes_reported_gaps_until_it_is_avoided(fault):
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


def test_a_gap_of_the_remote_node_is_reported_to_the_caller():
    async def run():
        async with virtual_fleet(document_of_regions(), nodes=3) as fleet:
            for replica in range(3):
                fleet.servers[f"s3-{replica}"].is_dead = True
            answer, _ = await search_from_n0(fleet)
        assert set(answer.coverage.gaps) == {"s3"}

    run_virtually(run())


def test_shards_with_a_replica_in_this_region_are_never_forwarded():
    async def run():
        async with virtual_fleet(nodes=3) as fleet:
            answer, forwarded = await search_from_n0(fleet)
        assert answer.coverage.is_complete
        assert forwarded == 0

    run_virtually(run())
