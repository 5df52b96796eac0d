"""A leaving backend server gets no new work after a few seconds."""

import asyncio

import pytest

from auburnhollow.backing import Instance
from auburnhollow.clock import ManualClock
from auburnhollow.drain import LeavingServers
from auburnhollow.events import Recorder
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, make_search, virtual_fleet

REACTION_MS = 3_000.0
SERVER = "s0-0"

# Reports in order of arrival, and whether the server is leaving after the last one.
CASES = [
    ([("mark_leaving", 5)], True),
    ([("mark_seen", 5), ("mark_leaving", None)], True),
    ([("mark_leaving", None), ("mark_seen", 5)], True),
    ([("mark_leaving", None), ("mark_seen", 5), ("mark_seen", 6)], False),
    ([("mark_leaving", 5), ("mark_seen", 5)], True),
    ([("mark_leaving", 5), ("mark_seen", 4)], True),
    ([("mark_leaving", 5), ("mark_seen", 6)], False),
    ([("mark_leaving", 5), ("mark_seen", 6), ("mark_leaving", 5)], False),
    ([("mark_leaving", 5), ("mark_seen", 6), ("mark_leaving", 6)], True),
    ([("mark_leaving", 5), ("mark_seen", 6), ("mark_seen", 5)], False),
    ([("mark_seen", 6), ("mark_leaving", 5)], False),
]


@pytest.mark.parametrize(("reports", "expected"), CASES)
def test_a_server_is_leaving_until_a_newer_incarnation_is_seen(reports, expected):
    leaving = LeavingServers(Recorder("test", ManualClock()))
    for method, incarnation in reports:
        getattr(leaving, method)(SERVER, incarnation)
    assert leaving.is_leaving(SERVER) is expected


def instance_entry(state, incarnation=1):
    return Instance(
        id=SERVER,
        role="server",
        address="10.0.0.1:80",
        data_centre="north",
        state=state,
        incarnation=incarnation,
    )


async def report_by_rejection(fleet):
    """Only a rejected request reports it; the instance list and the health endpoint do not."""
    fleet.instances.append(instance_entry("live"))
    fleet.servers[SERVER].default_step = "draining"
    await search_on_all_nodes(fleet)


async def report_by_instance_list(fleet):
    fleet.instances.append(instance_entry("leaving"))


async def report_by_configuration(fleet):
    await fleet.change({**fleet.document, "draining": [SERVER]}, base=1)


async def search_on_all_nodes(fleet):
    nodes = [entry.node for entry in fleet.nodes.values()]
    await asyncio.gather(*(node.coordinator.search(make_search()) for node in nodes * 3))


@pytest.mark.parametrize(
    "report", [report_by_rejection, report_by_instance_list, report_by_configuration]
)
def test_no_node_sends_work_to_a_leaving_server(report):
    async def run():
        async with virtual_fleet(make_document(shards=1), nodes=7) as fleet:
            await fleet.clock.sleep(3_000)
            await report(fleet)
            await fleet.clock.sleep(REACTION_MS)
            fleet.servers[SERVER].default_step = "answer"
            before = len(fleet.servers[SERVER].ran)
            for _ in range(20):
                await search_on_all_nodes(fleet)
                await fleet.clock.sleep(500)
            assert len(fleet.servers[SERVER].ran) == before

    run_virtually(run())


def test_all_nodes_accept_a_new_incarnation_with_the_same_id():
    async def run():
        async with virtual_fleet(make_document(shards=1), nodes=7) as fleet:
            await fleet.clock.sleep(3_000)
            await report_by_rejection(fleet)
            await fleet.clock.sleep(REACTION_MS)
            fleet.servers[SERVER].default_step = "answer"
            fleet.servers[SERVER].incarnation = 2
            fleet.instances[-1] = instance_entry("live", incarnation=2)
            await fleet.clock.sleep(REACTION_MS)
            leaving = [entry.node.components.leaving.servers for entry in fleet.nodes.values()]
            assert leaving == [[]] * 7

    run_virtually(run())


def test_a_new_node_learns_which_servers_are_leaving():
    async def run():
        async with virtual_fleet(make_document(shards=1), nodes=3) as fleet:
            await fleet.clock.sleep(2_000)
            await report_by_rejection(fleet)
            await fleet.clock.sleep(1_000)
            new_node = fleet.add("fresh")
            await new_node.node.start()
            await fleet.clock.sleep(1_000)
            assert new_node.node.components.leaving.servers == [SERVER]

    run_virtually(run())
