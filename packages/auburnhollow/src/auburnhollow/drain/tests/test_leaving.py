"""Promise: a leaving backend server gets no new work after a few seconds."""

import asyncio

import pytest

from auburnhollow.backing import Instance
from auburnhollow.clock import ManualClock
from auburnhollow.drain import LeavingServers
from auburnhollow.events import Recorder
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, make_search, virtual_fleet

FEW_SECONDS_MS = 3_000.0
SERVER = "s0-0"

# Signs in the order they come, and whether the server is leaving after the last.
SIGNS = [
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


@pytest.mark.parametrize(("signs", "expected"), SIGNS)
def test_signs_of_any_order(signs, expected):
    leaving = LeavingServers(Recorder("test", ManualClock()))
    for verb, incarnation in signs:
        getattr(leaving, verb)(SERVER, incarnation)
    assert leaving.is_leaving(SERVER) is expected


def listed(state, incarnation=1):
    return Instance(
        id=SERVER,
        role="server",
        address="10.0.0.1:80",
        data_centre="north",
        state=state,
        incarnation=incarnation,
    )


async def by_refusal(fleet):
    """The first refusal is the sign; the list and the health endpoint go on saying 'fine'."""
    fleet.instances.append(listed("live"))
    fleet.servers[SERVER].default_step = "draining"
    await ask_all(fleet)


async def by_list(fleet):
    fleet.instances.append(listed("leaving"))


async def by_configuration(fleet):
    await fleet.change({**fleet.document, "draining": [SERVER]}, base=1)


async def ask_all(fleet):
    nodes = [entry.node for entry in fleet.nodes.values()]
    await asyncio.gather(*(node.coordinator.search(make_search()) for node in nodes * 3))


@pytest.mark.parametrize("source", [by_refusal, by_list, by_configuration])
def test_no_new_work_after_a_few_seconds_on_any_node(source):
    async def run():
        async with virtual_fleet(make_document(shards=1), nodes=7) as fleet:
            await fleet.clock.sleep(3_000)
            await source(fleet)
            await fleet.clock.sleep(FEW_SECONDS_MS)
            fleet.servers[SERVER].default_step = "answer"
            before = len(fleet.servers[SERVER].ran)
            for _ in range(20):
                await ask_all(fleet)
                await fleet.clock.sleep(500)
            assert len(fleet.servers[SERVER].ran) == before

    run_virtually(run())


def test_a_new_incarnation_under_the_same_id_is_taken_by_all():
    async def run():
        async with virtual_fleet(make_document(shards=1), nodes=7) as fleet:
            await fleet.clock.sleep(3_000)
            await by_refusal(fleet)
            await fleet.clock.sleep(FEW_SECONDS_MS)
            fleet.servers[SERVER].default_step = "answer"
            fleet.servers[SERVER].incarnation = 2
            fleet.instances[-1] = listed("live", incarnation=2)
            await fleet.clock.sleep(FEW_SECONDS_MS)
            leaving = [entry.node.tier.leaving.servers for entry in fleet.nodes.values()]
            assert leaving == [[]] * 7

    run_virtually(run())


def test_a_fresh_node_learns_who_is_leaving():
    async def run():
        async with virtual_fleet(make_document(shards=1), nodes=3) as fleet:
            await fleet.clock.sleep(2_000)
            await by_refusal(fleet)
            await fleet.clock.sleep(1_000)
            fresh = fleet.add("fresh")
            await fresh.node.start()
            await fleet.clock.sleep(1_000)
            assert fresh.node.tier.leaving.servers == [SERVER]

    run_virtually(run())
