"""Repeated requests of one caller share one search; those of others never do."""

import asyncio

import pytest

from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_search, virtual_fleet

# The two requests, and how many calls the servers of each shard get for both.
PAIRS = [
    ({"caller": "a", "request_id": "r"}, {"caller": "a", "request_id": "r"}, 1),
    ({"caller": "a", "request_id": "r"}, {"caller": "b", "request_id": "r"}, 2),
    ({"caller": "a", "request_id": "r"}, {"caller": "a", "request_id": "s"}, 2),
    (
        {"caller": "a", "request_id": "r"},
        {"caller": "a", "request_id": "r", "query": {"text": "other"}},
        2,
    ),
]


@pytest.mark.parametrize(("first", "second", "calls"), PAIRS)
def test_only_the_same_request_of_the_same_caller_is_joined(first, second, calls):
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            coordinator = fleet.nodes["n0"].node.coordinator
            asks = [coordinator.search(make_search(**options)) for options in (first, second)]
            answers = await asyncio.gather(*asks)
            ran = [call for server in fleet.servers.values() for call in server.ran]
        assert len(ran) == 4 * calls
        assert [answer.request_id for answer in answers] == [
            first["request_id"],
            second["request_id"],
        ]

    run_virtually(run())


def test_a_request_is_cancelled_when_no_caller_waits_for_it():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            for server in fleet.servers.values():
                server.default_step = "hang"
            coordinator = fleet.nodes["n0"].node.coordinator
            search = make_search(deadline_ms=5_000.0)
            one = asyncio.create_task(coordinator.search(search))
            two = asyncio.create_task(coordinator.search(search))
            await fleet.clock.sleep(10)
            one.cancel()
            await fleet.clock.sleep(10)
            assert fleet.nodes["n0"].node.components.limiter.busy == 1
            two.cancel()
            await fleet.clock.sleep(10)
            assert fleet.nodes["n0"].node.components.limiter.busy == 0

    run_virtually(run())
