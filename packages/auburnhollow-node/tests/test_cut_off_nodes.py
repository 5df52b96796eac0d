"""Nodes that are cut off from all backend servers, while callers and other nodes reach them."""

import asyncio
from collections import Counter

import pytest

from auburnhollow.exceptions import ProtocolError, QueryError, Ran
from auburnhollow.relay.delegation_messages import DelegatedRequest
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import CUTS, HANG, running_relays

MOST = ("node-0", "node-1", "node-2", "node-5")
ZONE = ("node-0", "node-3", "node-6")
CUT_MS = 8_000.0
# Of the routes of the stand-in.
ATTEMPTS = 2
# The users' target: nodes that are cut off serve nearly as often as the others, from one second
# after the cut.
NOTICE_MS = 1_000.0
MIN_RATIO = 0.95


async def press(fleet, served, for_ms, paths=("/search/", "/stock/"), interval_ms=120.0):
    """Send requests to all nodes; ``served`` gets (time, node, result) of each."""
    tasks = []

    async def send(node, path, number):
        sent_ms = fleet.clock.now_ms()
        result = await fleet.send(node, path, number)
        served.append((sent_ms, node, result))

    until_ms = fleet.clock.now_ms() + for_ms
    number = 0
    while fleet.clock.now_ms() < until_ms:
        for node in fleet.nodes:
            number += 1
            path = paths[number % len(paths)]
            tasks.append(asyncio.create_task(send(node, path, number)))
            await fleet.clock.sleep(interval_ms / len(fleet.nodes))
    await asyncio.gather(*tasks)


def shares(served, cut, since_ms):
    """Return the served shares of first tries at the nodes of ``cut`` and at the others."""
    sent = Counter()
    good = Counter()
    for sent_ms, node, result in served:
        if sent_ms < since_ms:
            continue
        sent[node in cut] += 1
        good[node in cut] += not isinstance(result, QueryError)
    return good[True] / sent[True], good[False] / sent[False]


def count_runs(fleet):
    """Return how often servers ran each request, by its id."""
    return Counter(request for _server, request in fleet.world.ran)


def run_cut(cut, how, interval_ms=120.0, **options):
    """Return the served shares at cut nodes and at others, from ``NOTICE_MS`` after the cut."""

    async def scenario():
        async with running_relays(**options) as fleet:
            served = []
            await press(fleet, [], 3_000.0, interval_ms=interval_ms)
            fleet.world.cut(cut, how)
            cut_ms = fleet.clock.now_ms()
            await press(fleet, served, CUT_MS, interval_ms=interval_ms)
            return shares(served, cut, cut_ms + NOTICE_MS)

    return run_virtually(scenario())


@pytest.mark.parametrize("how", CUTS)
@pytest.mark.parametrize("cut", [MOST, ZONE], ids=["most", "zone"])
def test_callers_of_nodes_that_reach_no_server_are_served_by_others(cut, how):
    at_cut, at_others = run_cut(cut, how)
    assert at_others >= MIN_RATIO
    assert at_cut >= MIN_RATIO * at_others


@pytest.mark.parametrize("how", CUTS)
def test_requests_that_may_run_once_run_at_most_once_and_not_run_is_true(how):
    async def scenario():
        async with running_relays() as fleet:
            served = []
            pressing = asyncio.create_task(press(fleet, served, 8_000.0, ["/orders/"], 60.0))
            for _ in range(2):
                await fleet.clock.sleep(1_500)
                fleet.world.cut(MOST, how)
                await fleet.clock.sleep(2_000)
                fleet.world.heal()
            await pressing
            return served, count_runs(fleet)

    served, runs = run_virtually(scenario())
    assert max(runs.values()) == 1
    refused = [result.request for _, _, result in served if getattr(result, "ran", None) is Ran.NO]
    assert [name for name in refused if runs[name]] == []
    assert sum(not isinstance(result, QueryError) for _, _, result in served) > 0.9 * len(served)


@pytest.mark.parametrize("how", CUTS)
@pytest.mark.parametrize("cut", [MOST, ZONE], ids=["most", "zone"])
def test_a_request_runs_on_no_more_servers_of_a_shard_than_its_attempts(cut, how):
    async def scenario():
        async with running_relays(work_ms=60.0) as fleet:
            pressing = asyncio.create_task(press(fleet, [], 5_000.0, interval_ms=80.0))
            for _ in range(2):
                await fleet.clock.sleep(1_300)
                fleet.world.cut(cut, how)
                await fleet.clock.sleep(1_200)
                fleet.world.heal()
            await pressing
            return fleet.world

    world = run_virtually(scenario())
    runs = Counter()
    for server, request in set(world.ran) - set(world.lost):
        runs[request, server.rpartition("-")[0]] += 1
    assert max(runs.values()) <= ATTEMPTS


@pytest.mark.parametrize("how", CUTS)
def test_a_request_runs_on_no_more_servers_than_its_attempts_and_one_for_each_cut(how):
    async def scenario():
        async with running_relays() as fleet:
            pressing = asyncio.create_task(press(fleet, [], 6_000.0, ["/stock/"], 60.0))
            await fleet.clock.sleep(2_000)
            fleet.world.cut(ZONE, how)
            await pressing
            return count_runs(fleet)

    assert max(run_virtually(scenario()).values()) <= 3


@pytest.mark.parametrize("how", CUTS)
def test_no_request_is_suspected_because_of_a_nodes_own_links(how):
    async def scenario():
        async with running_relays() as fleet:
            pressing = asyncio.create_task(press(fleet, [], 8_000.0, interval_ms=60.0))
            await fleet.clock.sleep(2_000)
            for _ in range(3):
                fleet.world.cut(MOST, how)
                await fleet.clock.sleep(1_000)
                fleet.world.heal()
                await fleet.clock.sleep(1_000)
            await pressing
            return [len(node.quarantine._suspects) for node in fleet.nodes.values()]

    assert set(run_virtually(scenario())) == {0}


def test_a_node_that_starts_while_it_is_cut_off_serves_its_callers():
    async def scenario():
        async with running_relays(count=6) as fleet:
            fleet.world.cut(["late"], HANG)
            await fleet.add("late", "iasi")
            await fleet.clock.sleep(3_000)
            served = []
            await press(fleet, [], 2_000.0)
            await press(fleet, served, 4_000.0)
            return shares(served, ["late"], 0.0)

    at_cut, at_others = run_virtually(scenario())
    assert at_others >= MIN_RATIO
    assert at_cut >= MIN_RATIO * at_others


def test_a_node_cut_off_from_one_data_centre_alone_answers_its_callers_itself():
    async def scenario():
        async with running_relays() as fleet:
            await press(fleet, [], 2_000.0)
            fleet.world.cut_data_centres["node-0"] = {"iasi"}
            served = []
            await press(fleet, served, 6_000.0)
            node = fleet.nodes["node-0"]
            return shares(served, ["node-0"], 0.0), node.metrics.counts.get("relay.delegated", 0)

    (at_cut, at_others), delegated = run_virtually(scenario())
    assert at_others >= MIN_RATIO
    assert at_cut >= MIN_RATIO * at_others
    assert delegated == 0


def test_nodes_of_a_build_that_does_not_know_delegation_are_not_asked():
    async def scenario():
        async with running_relays() as fleet:
            old = ["node-3", "node-4", "node-6"]
            asked = []
            for name in old:
                fleet.nodes[name].fleet.table._listeners.pop("reach")
                fleet.network.streams[f"{name}:1"] = refuse_delegated(
                    fleet.network.streams[f"{name}:1"], name, asked
                )
            await press(fleet, [], 2_000.0)
            fleet.world.cut(["node-0", "node-1"], HANG)
            served = []
            cut_ms = fleet.clock.now_ms()
            await press(fleet, served, CUT_MS)
            return shares(served, ["node-0", "node-1"], cut_ms + NOTICE_MS), asked

    (at_cut, at_others), asked = run_virtually(scenario())
    assert asked == []
    assert at_cut >= MIN_RATIO * at_others


def refuse_delegated(answers, name, asked):
    """Return the stream handler of a node that can't read a delegated request."""

    async def answer(message):
        if isinstance(message, DelegatedRequest):
            asked.append(name)
            raise ProtocolError("invalid message")
        async for each in answers(message):
            yield each

    return answer


def test_callers_are_refused_at_once_if_no_node_reaches_a_server():
    async def scenario():
        async with running_relays() as fleet:
            await press(fleet, [], 2_000.0)
            fleet.world.cut(list(fleet.nodes), HANG)
            await press(fleet, [], 3_000.0)
            started_ms = fleet.clock.now_ms()
            result = await fleet.send("node-0", "/stock/", 1)
            return result, fleet.clock.now_ms() - started_ms

    result, took_ms = run_virtually(scenario())
    assert isinstance(result, QueryError)
    assert took_ms <= 1_500.0


@pytest.mark.parametrize("seed", range(3))
def test_a_hundred_nodes_of_which_most_are_cut_off_serve_their_callers(seed):
    cut = [f"node-{number}" for number in range(100) if (number * 7 + seed) % 10 < 6]
    how = CUTS[seed % len(CUTS)]
    at_cut, at_others = run_cut(cut, how, count=100, seed=seed + 1, interval_ms=1_500.0)
    assert at_others >= MIN_RATIO
    assert at_cut >= MIN_RATIO * at_others
