"""Nodes that freeze in any role, while others wait for them."""

import asyncio
import random
from collections import Counter

import pytest

from auburnhollow.exceptions import QueryError, Ran
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import HANG, running_relays

COUNT = 24
# The time limits of the stand-in's routes, and the users' bound after that.
TIME_LIMITS_MS = {"/stock/": 1_000.0, "/search/": 1_500.0, "/orders/": 1_000.0}
LATE_MS = 500.0


def play(seed, share, cut=()):
    """Freeze nodes one after the other under load, so that each role is hit.

    Frozen nodes answer nothing to other nodes. Nodes in ``cut`` reach no server.

    :returns: a list of (path, milliseconds taken, result) of the requests at the other nodes, how
        often servers ran each request, and the sum of the nodes' metrics.
    """

    async def scenario():
        rng = random.Random(seed)
        async with running_relays(count=COUNT, seed=seed, work_ms=150.0) as fleet:
            fleet.world.cut(list(cut), HANG)
            ended = []
            tasks = []

            async def send(node, path, number):
                sent_ms = fleet.clock.now_ms()
                result = await fleet.send(node, path, number)
                ended.append((path, fleet.clock.now_ms() - sent_ms, result))

            number = 0
            for _ in range(6):
                frozen = set(rng.sample(list(fleet.nodes), int(COUNT * share)))
                others = [f"{name}:1" for name in fleet.nodes if name not in frozen]
                fleet.network.cut(others, [f"{name}:1" for name in frozen])
                for _ in range(30):
                    for path in TIME_LIMITS_MS:
                        number += 1
                        node = rng.choice([name for name in fleet.nodes if name not in frozen])
                        tasks.append(asyncio.create_task(send(node, path, number)))
                    await fleet.clock.sleep(rng.uniform(20.0, 100.0))
                fleet.network.heal()
                await fleet.clock.sleep(500.0)
            async with asyncio.timeout(60.0):
                await asyncio.gather(*tasks)
            counts = Counter()
            for node in fleet.nodes.values():
                counts.update(node.metrics.counts)
            return ended, Counter(run for _, run in fleet.world.ran), counts

    return run_virtually(scenario())


@pytest.mark.parametrize("cut", [(), ("node-0", "node-5", "node-9")], ids=["reached", "cut off"])
@pytest.mark.parametrize("share", [0.1, 0.4])
@pytest.mark.parametrize("seed", range(2))
def test_requests_end_in_time_whichever_nodes_freeze(seed, share, cut):
    ended, runs, counts = play(seed, share, cut)
    assert counts["relay.subqueries_lost"] > 0
    assert (counts["relay.delegated"] > 0) == bool(cut)
    late = [
        (path, took_ms, result)
        for path, took_ms, result in ended
        if took_ms > TIME_LIMITS_MS[path] + LATE_MS
    ]
    assert late == []
    failed = [result for _, _, result in ended if isinstance(result, QueryError)]
    refused = [each.request for each in failed if each.ran is Ran.NO]
    assert [request for request in refused if runs[request]] == []
    assert len(failed) < 0.5 * len(ended)
