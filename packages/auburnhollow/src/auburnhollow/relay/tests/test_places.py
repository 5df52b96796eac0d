"""Homes and evacuations on the ways through other nodes: subqueries and delegated requests."""

import asyncio
import random

import pytest

from auburnhollow.exceptions import QueryError, Ran
from auburnhollow.relay.delegation import Delegation
from auburnhollow_standins.fake_servers import RelayBed, make_request, make_route
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import SINGLE, running_relays

from .test_delegation import AnsweringPeers, FakeReachGossip
from .test_subquery import FAR, NEAR, SHARDS, run_scenario


@pytest.mark.parametrize(
    ("homes", "delegated"), [(None, 1), (("north",), 1), (("east",), 0), ((), 0)]
)
def test_only_a_helper_in_a_home_gets_the_body(homes, delegated):
    async def scenario():
        bed = RelayBed({"s0": ("cluj",)})
        peers = AnsweringPeers()
        delegation = Delegation(
            bed.dispatcher, FakeReachGossip(), peers, bed.clock, random.Random(1)
        )
        bed.dispatcher.set_stranded(True)
        request = make_request(bed.clock, homes=homes)
        try:
            await delegation.dispatch(request, make_route(("s0",)), None)
        except QueryError as error:
            return error.ran, peers.messages
        return None, peers.messages

    ran, messages = run_virtually(scenario())
    assert len(messages) == delegated
    assert ran is (None if delegated else Ran.NO)


async def gather(fleet, homes, **fields):
    request = make_request(fleet.clock, homes=homes)
    try:
        return await fleet.me.dispatcher.gather(request, make_route(SHARDS, **fields))
    except QueryError as error:
        return error


def test_an_aggregator_outside_the_homes_gets_no_body():
    async def scenario(fleet):
        answer = await gather(fleet, ("north",), least_share=0.0)
        return answer, fleet.other.servers.asked(), fleet.me.servers.asked()

    answer, elsewhere, here = run_scenario(scenario)
    assert elsewhere == []
    assert sorted(here) == ["n0-0", "n1-0"]
    assert answer.missing == len(FAR)


def test_an_aggregator_keeps_to_the_homes_of_the_request():
    async def scenario(fleet):
        answer = await gather(fleet, ("east",))
        return answer, fleet.other.servers.asked(), fleet.me.servers.asked()

    answer, elsewhere, here = run_scenario(scenario)
    assert answer.missing == 0
    assert len(elsewhere) == len(SHARDS)
    assert not {f"{shard}-0" for shard in NEAR} & {*elsewhere, *here}


def test_a_subquery_under_way_keeps_to_an_evacuation():
    async def scenario(fleet):
        task = asyncio.get_running_loop().create_task(gather(fleet, None, least_share=0.3))
        await fleet.clock.sleep(2.0)
        for bed in (fleet.me, fleet.other):
            bed.gate.evacuations.apply("iasi", revision=5, is_active=True, source="store")
        answer = await task
        return answer, fleet.other.servers.asked()

    answer, elsewhere = run_scenario(scenario)
    assert answer.missing == len(FAR)
    assert elsewhere == []


def test_a_node_that_reaches_no_server_delegates_during_an_evacuation():
    async def scenario():
        async with running_relays() as fleet:
            fleet.world.cut(["node-0"], "refuse")
            for node in fleet.nodes.values():
                node.gate.evacuations.apply("cluj", revision=5, is_active=True, source="store")
            asked = []
            for number in range(20):
                answer = await fleet.send("node-0", f"/{SINGLE}/", number)
                asked.append(getattr(answer, "status", None))
                await fleet.clock.sleep(100.0)
            servers = {one.id: one for one in fleet.nodes["node-0"].registry.servers}
            return asked, {servers[name].data_centre for name, _ in fleet.world.ran}

    asked, data_centres = run_virtually(scenario())
    assert asked[-5:] == [200] * 5
    assert "cluj" not in data_centres


def test_nodes_without_the_store_hear_of_evacuations_and_their_ends_within_a_second():
    async def scenario():
        async with running_relays() as fleet:
            first, *others = fleet.nodes.values()
            found = []
            for revision, is_active in ((5, True), (9, False)):
                first.gate.evacuations.apply("cluj", revision, is_active, "store")
                await fleet.clock.sleep(1_000.0)
                found.append({"cluj" in node.gate.evacuations for node in others})
            # A node that is behind brings nothing back.
            others[0].gate.evacuations.apply("cluj", 5, True, "peer")
            await fleet.add("late", "iasi")
            await fleet.clock.sleep(3_000.0)
            found.append({"cluj" in node.gate.evacuations for node in fleet.nodes.values()})
            found.append(fleet.nodes["late"].gate.evacuations.find("cluj").revision)
            return found

    assert run_virtually(scenario()) == [{True}, {False}, {False}, 9]
