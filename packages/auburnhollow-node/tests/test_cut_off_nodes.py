"""Nodes that are cut off from all backend servers, while callers and other nodes reach them."""

import asyncio
from collections import Counter

import pytest

from auburnhollow.exceptions import QueryError
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import CUTS, running_relays

MOST = ("node-0", "node-1", "node-2", "node-5")
ZONE = ("node-0", "node-3", "node-6")
CUT_MS = 8_000.0
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


def run_cut(cut, how, **options):
    """Return the served shares at cut nodes and at others, from ``NOTICE_MS`` after the cut."""

    async def scenario():
        async with running_relays(**options) as fleet:
            served = []
            await press(fleet, [], 3_000.0)
            fleet.world.cut(cut, how)
            cut_ms = fleet.clock.now_ms()
            await press(fleet, served, CUT_MS)
            return shares(served, cut, cut_ms + NOTICE_MS)

    return run_virtually(scenario())


@pytest.mark.parametrize("how", CUTS)
@pytest.mark.parametrize("cut", [MOST, ZONE], ids=["most", "zone"])
def test_callers_of_nodes_that_reach_no_server_are_served_by_others(cut, how):
    at_cut, at_others = run_cut(cut, how)
    assert at_others >= MIN_RATIO
    assert at_cut >= MIN_RATIO * at_others
