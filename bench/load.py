"""Open-loop load on real nodes and fake backend servers, with and without hedging.

Run as ``python -m bench load``. The load generator, the servers and the nodes share this machine,
so only the ratio between the two runs is meaningful.
"""

import asyncio
import copy
import random
import time

from hdrh.histogram import HdrHistogram

from auburnhollow.exceptions import QueryError
from auburnhollow.sessions import AsyncSession
from auburnhollow_standins.deployments import FRANCHISE
from auburnhollow_standins.fleet import running_fleet

from .results import format_table, save_result

NODES = 3
RATE = 30.0
DURATION_S = 12.0
WARM_UP_S = 3.0
STRAGGLER_CHANCE = 0.01
MEAN_MS = 5.0
MAX_LATENCY_US = 60_000_000
CONFIGURATION_DELAY_S = 1.0
COLUMNS = ("way", "requests", "p50_ms", "p99_ms", "coverage", "refused", "calls_ratio")


class LoadRun:
    """One run of the load.

    :param session: :class:`~auburnhollow.sessions.AsyncSession`.
    :param seed: seed of the arrival times, which are the same for both runs.
    """

    def __init__(self, session, seed):
        self._session = session
        self._arrivals = random.Random(seed)
        self._histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self._coverages = []
        self._refused = 0

    async def run(self, fleet, label):
        """Send the load and return a row of results."""
        started_s = time.monotonic()
        at_s = started_s
        calls = None
        tasks = []
        while at_s < started_s + WARM_UP_S + DURATION_S:
            at_s += self._arrivals.expovariate(RATE)
            await asyncio.sleep(max(0.0, at_s - time.monotonic()))
            is_measured = at_s > started_s + WARM_UP_S
            if is_measured and calls is None:
                calls = _calls(fleet)
            tasks.append(asyncio.create_task(self._send_search(at_s, is_measured)))
        await asyncio.gather(*tasks)
        asked = len(self._coverages) * FRANCHISE.service_specs[0].shards
        return {
            "way": label,
            "requests": len(self._coverages),
            "p50_ms": self._histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": self._histogram.get_value_at_percentile(99) / 1000,
            "coverage": sum(self._coverages) / len(self._coverages),
            "refused": self._refused,
            "calls_ratio": (_calls(fleet) - calls) / asked,
        }

    async def _send_search(self, at_s, is_measured):
        coverage_share = 0.0
        try:
            answer = await self._session.search("booking-desk", {"text": "crusher"}, at_least=0)
            coverage = answer.body["coverage"]
            coverage_share = coverage["answered"] / coverage["asked"]
        except QueryError:
            self._refused += 1
        if is_measured:
            latency_us = int((time.monotonic() - at_s) * 1e6)
            self._histogram.record_value(max(1, min(MAX_LATENCY_US, latency_us)))
            self._coverages.append(coverage_share)


def _calls(fleet):
    return sum(backend.counts["calls"] for backend in fleet.backends.values())


async def measure(seed):
    """Return a row with hedging and one without, measured on the same processes."""
    behaviour = {"straggler_chance": STRAGGLER_CHANCE, "mean_ms": MEAN_MS}
    async with running_fleet(
        FRANCHISE, nodes=NODES, behaviour=behaviour, settings={"linger_ms": 0}
    ) as fleet:
        rows = []
        async with AsyncSession([node.url for node in fleet.nodes], caller="bench") as session:
            rows.append(await LoadRun(session, seed).run(fleet, "hedges"))
            document = copy.deepcopy(fleet.document)
            document["services"][0]["policy"]["hedge_fraction"] = 0
            await fleet.repository.change(document, base=1, author="bench", note="no hedges")
            await asyncio.sleep(CONFIGURATION_DELAY_S)
            rows.append(await LoadRun(session, seed).run(fleet, "no hedges"))
    return rows


def run(seed=1):
    """Measure, print a table and save it."""
    rows = asyncio.run(measure(seed))
    print(format_table(COLUMNS, rows))
    save_result("load", {"seed": seed, "rate": RATE, "stragglers": STRAGGLER_CHANCE, "rows": rows})
    return rows
