"""Requests that other nodes have accepted for one that reaches no server, and then fall silent."""

import asyncio
from collections import Counter

import pytest

from auburnhollow.exceptions import QueryError, Ran
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import HANG, running_relays

CUT = "node-0"
WORK_MS = 400.0
# The time limits of the stand-in's routes, and the users' bound after that.
TIME_LIMITS_MS = {"/stock/": 1_000.0, "/search/": 1_500.0, "/orders/": 1_000.0}
LATE_MS = 500.0


def press_silent(path, silent_after_ms, heal_after_ms=None):
    """Send requests to a node that reaches no server, whose helpers then fall silent.

    :param heal_after_ms: when the helpers answer again, ``None`` for never.
    :returns: pairs of the time that a request took and its result, and the runs of each request.
    """

    async def scenario():
        async with running_relays(work_ms=WORK_MS) as fleet:
            fleet.world.cut([CUT], HANG)
            for number in range(5):
                await fleet.send(CUT, path, number)

            async def send(number):
                sent_ms = fleet.clock.now_ms()
                result = await fleet.send(CUT, path, number)
                return fleet.clock.now_ms() - sent_ms, result

            tasks = [asyncio.create_task(send(100 + number)) for number in range(20)]
            await fleet.clock.sleep(silent_after_ms)
            others = [f"{name}:1" for name in fleet.nodes if name != CUT]
            fleet.network.cut([f"{CUT}:1"], others)
            if heal_after_ms is not None:
                await fleet.clock.sleep(heal_after_ms)
                fleet.network.heal()
            async with asyncio.timeout(60.0):
                return await asyncio.gather(*tasks), Counter(run for _, run in fleet.world.ran)

    return run_virtually(scenario())


# Guards against requests that wait for a frozen helper beyond their time limit.
@pytest.mark.parametrize("path", list(TIME_LIMITS_MS))
@pytest.mark.parametrize("silent_after_ms", [0.0, 100.0])
def test_a_request_ends_in_time_at_the_node_that_took_it(path, silent_after_ms):
    ended, _ = press_silent(path, silent_after_ms)
    assert max(took_ms for took_ms, _ in ended) <= TIME_LIMITS_MS[path] + LATE_MS


@pytest.mark.parametrize("heal_after_ms", [None, 700.0])
def test_an_order_lost_at_a_silent_helper_is_not_called_not_run(heal_after_ms):
    ended, runs = press_silent("/orders/", 100.0, heal_after_ms)
    failed = [result for _, result in ended if isinstance(result, QueryError)]
    assert failed
    assert not [each for each in failed if each.ran is Ran.NO and runs[each.request]]
    assert max(runs.values()) == 1
