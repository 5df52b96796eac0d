"""Hedges of searches whose servers pause, where the next server is in another region."""

import asyncio
import random

import pytest

from auburnhollow.placement import hedge_at_ms
from auburnhollow_standins.fake_servers import DATA_CENTRES, RelayBed, make_request, make_route
from auburnhollow_standins.virtual import run_virtually

SEEDS = range(5)
SHARDS = tuple(f"s{number}" for number in range(36))
OBJECTIVE_MS = 138.0
# Time that the answer is given to reach the caller.
WAY_BACK_MS = 15.0


def test_a_hedge_waits_for_a_late_call_where_the_objective_leaves_time():
    assert hedge_at_ms(0.0, 60.0, 435.0, (1.0, 25.0), 28.0) == 60.0


def test_no_hedge_is_sent_while_most_calls_are_still_on_their_way():
    assert hedge_at_ms(100.0, 160.0, 110.0, (1.0, 25.0), 20.0) == 100.0 + 1.0 + 1.3 * 20.0


def search_beside_pauses(seed, budget=1.0):
    """Search 36 shards, of whose near servers three pause; return the missing parts and the calls.

    The other servers of each shard are in other regions, and answer after 65 ms.
    """

    async def scenario():
        bed = RelayBed(
            dict.fromkeys(SHARDS, DATA_CENTRES),
            seed=seed,
            work_ms=28.0,
            retry_ratio=budget,
            short_objectives=True,
        )
        bed.allow_repeats(*SHARDS)
        route = make_route(SHARDS, objective_ms=OBJECTIVE_MS, least_share=0.85)
        rng = random.Random(seed)
        for number in range(30):
            for shard in SHARDS:
                bed.servers.behaviour[f"{shard}-0"] = 28.0 * rng.lognormvariate(0, 0.35)
            await bed.dispatcher.gather(make_request(bed.clock, f"w-{number}"), route)
        for shard in SHARDS:
            del bed.servers.behaviour[f"{shard}-0"]
            for number in (1, 2):
                bed.servers.behaviour[f"{shard}-{number}"] = 75.0
        for shard in random.Random(seed).sample(SHARDS, 3):
            bed.servers.behaviour[f"{shard}-0"] = 300.0
        del bed.servers.calls[:]
        started_ms = bed.clock.now_ms()
        merged = await bed.dispatcher.gather(make_request(bed.clock, "paused"), route)
        took_ms = bed.clock.now_ms() - started_ms
        await asyncio.sleep(1)
        return merged.missing, took_ms, len(bed.servers.calls)

    return run_virtually(scenario())


@pytest.mark.parametrize("seed", SEEDS)
def test_parts_of_paused_servers_arrive_from_another_region_before_the_objective(seed):
    missing, took_ms, calls = search_beside_pauses(seed)
    assert missing == 0
    assert took_ms <= OBJECTIVE_MS - WAY_BACK_MS
    # The oracle hedges just the three paused calls.
    assert calls == len(SHARDS) + 3


def test_early_hedges_leave_the_last_of_the_budget_to_late_calls():
    missing, took_ms, calls = search_beside_pauses(seed=1, budget=0.04)
    assert missing == 3
    assert took_ms <= OBJECTIVE_MS - WAY_BACK_MS + 1.0
    assert calls <= len(SHARDS) + 3
