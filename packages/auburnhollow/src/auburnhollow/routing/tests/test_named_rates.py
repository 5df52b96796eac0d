"""Servers of our own interface that name a rate."""

import asyncio

import pytest

from auburnhollow.exceptions import QueryError
from auburnhollow.limits import Notice
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, make_search, virtual_fleet

WINDOW_MS = 4_000.0
FACTOR = 1.5
SLACK = 5


async def search_for(fleet, seconds, interval_ms):
    """Search on random nodes at a steady rate and return how many searches failed."""
    failures = 0

    async def search(number):
        nonlocal failures
        node = fleet.random.choice(list(fleet.nodes.values())).node
        try:
            await node.coordinator.search(make_search(query={"text": f"query {number}"}))
        except QueryError:
            failures += 1

    tasks = []
    for number in range(int(seconds * 1_000 / interval_ms)):
        tasks.append(asyncio.create_task(search(number)))
        await fleet.clock.sleep(interval_ms)
    await asyncio.gather(*tasks)
    return failures


@pytest.mark.parametrize("rate_per_s", [1.0, 5.0])
@pytest.mark.parametrize("step", ["answer", "slow", "mismatch"])
def test_a_server_gets_no_more_than_the_rate_that_it_names(rate_per_s, step):
    async def run():
        async with virtual_fleet(make_document(shards=2), nodes=7, seed=3) as fleet:
            await fleet.clock.sleep(2_000)
            limited = list(fleet.servers.values())[0]
            limited.rate_per_s = rate_per_s
            limited.default_step = step
            await search_for(fleet, 2, 20.0)
            most = 0
            failures = 0
            for _ in range(3):
                before = len(limited.ran)
                failures += await search_for(fleet, WINDOW_MS / 1_000, 20.0)
                most = max(most, len(limited.ran) - before)
            return most, failures

    most, failures = run_virtually(run())
    assert most <= FACTOR * rate_per_s * WINDOW_MS / 1_000 + SLACK
    assert failures == 0


def test_a_search_is_answered_in_part_when_all_servers_of_a_shard_take_little():
    async def run():
        async with virtual_fleet(make_document(shards=2), nodes=3, seed=3) as fleet:
            await fleet.clock.sleep(2_000)
            for name, server in fleet.servers.items():
                server.rate_per_s = 0.2 if name.startswith("s0-") else None
            await search_for(fleet, 2, 20.0)
            answers = []
            for _ in range(10):
                started_ms = fleet.clock.now_ms()
                answer = await fleet.nodes["n0"].node.coordinator.search(make_search())
                answers.append((answer.coverage.is_complete, fleet.clock.now_ms() - started_ms))
            return answers

    answers = run_virtually(run())
    assert sum(is_complete for is_complete, _took_ms in answers) <= 3
    assert max(took_ms for _is_complete, took_ms in answers) < 400


def test_a_search_waits_for_a_busy_server_rather_than_for_a_distant_turn():
    async def run():
        document = make_document(shards=1, replicas=2)
        document["services"][0]["connections"] = 10
        async with virtual_fleet(document, nodes=1, seed=3) as fleet:
            await fleet.clock.sleep(2_000)
            limited, busy = fleet.servers.values()
            limited.rate_per_s = 0.1
            busy.latency_ms = 50.0
            node = fleet.nodes["n0"].node
            notice = Notice(rate_per_s=limited.rate_per_s)
            node.rates.hear((limited.id, 0), notice, fleet.clock.now_ms())
            coordinator = node.coordinator
            searches = []
            for number in range(40):
                search = make_search(query={"text": f"query {number}"})
                searches.append(asyncio.create_task(coordinator.search(search)))
                await fleet.clock.sleep(1)
            answers = await asyncio.gather(*searches, return_exceptions=True)
            return [getattr(answer, "coverage", answer) for answer in answers]

    answers = run_virtually(run())
    assert sum(getattr(answer, "is_complete", False) for answer in answers) >= 35
