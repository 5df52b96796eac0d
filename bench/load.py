"""Open-loop load on real nodes and stand-in backend servers, with and without hedges.

Run as ``python -m bench load``. Load, stand-ins and nodes share this machine, so the figures are
good for the ratio between the two ways only.
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

from .results import save, table

NODES = 3
RATE = 30.0
SECONDS = 12.0
WARM_S = 3.0
STRAGGLERS = 0.01
MEAN_MS = 5.0
HIGHEST_US = 60_000_000
IN_FORCE_S = 1.0
COLUMNS = ("way", "requests", "p50_ms", "p99_ms", "coverage", "refused", "calls_ratio")


class Load:
    """One stretch of load.

    :param seed: fixes the arrivals, the same for each way.
    """

    def __init__(self, session, seed):
        self._session = session
        self._arrivals = random.Random(seed)
        self._histogram = HdrHistogram(1, HIGHEST_US, 3)
        self._covered = []
        self._refused = 0

    async def run(self, fleet, way):
        """Send the load and return a row of figures."""
        started_s = time.monotonic()
        at_s = started_s
        calls = None
        tasks = []
        while at_s < started_s + WARM_S + SECONDS:
            at_s += self._arrivals.expovariate(RATE)
            await asyncio.sleep(max(0.0, at_s - time.monotonic()))
            counted = at_s > started_s + WARM_S
            if counted and calls is None:
                calls = _calls(fleet)
            tasks.append(asyncio.create_task(self._one(at_s, counted)))
        await asyncio.gather(*tasks)
        asked = len(self._covered) * FRANCHISE.service_specs[0].shards
        return {
            "way": way,
            "requests": len(self._covered),
            "p50_ms": self._histogram.get_value_at_percentile(50) / 1000,
            "p99_ms": self._histogram.get_value_at_percentile(99) / 1000,
            "coverage": sum(self._covered) / len(self._covered),
            "refused": self._refused,
            "calls_ratio": (_calls(fleet) - calls) / asked,
        }

    async def _one(self, at_s, counted):
        covered = 0.0
        try:
            answer = await self._session.search("booking-desk", {"text": "crusher"}, at_least=0)
            coverage = answer.body["coverage"]
            covered = coverage["answered"] / coverage["asked"]
        except QueryError:
            self._refused += 1
        if counted:
            latency_us = int((time.monotonic() - at_s) * 1e6)
            self._histogram.record_value(max(1, min(HIGHEST_US, latency_us)))
            self._covered.append(covered)


def _calls(fleet):
    return sum(backend.counts["calls"] for backend in fleet.backends.values())


async def measure(seed):
    """Return a row with hedges and one without, in one run over the same processes."""
    behaviour = {"straggler_chance": STRAGGLERS, "mean_ms": MEAN_MS}
    async with running_fleet(
        FRANCHISE, nodes=NODES, behaviour=behaviour, settings={"linger_ms": 0}
    ) as fleet:
        rows = []
        async with AsyncSession([node.url for node in fleet.nodes], caller="bench") as session:
            rows.append(await Load(session, seed).run(fleet, "hedges"))
            document = copy.deepcopy(fleet.document)
            document["services"][0]["policy"]["hedge_fraction"] = 0
            await fleet.repository.change(document, base=1, author="bench", note="no hedges")
            await asyncio.sleep(IN_FORCE_S)
            rows.append(await Load(session, seed).run(fleet, "no hedges"))
    return rows


def run(seed=1):
    """Measure, print a table and save it."""
    rows = asyncio.run(measure(seed))
    print(table(COLUMNS, rows))
    save("load", {"seed": seed, "rate": RATE, "stragglers": STRAGGLERS, "rows": rows})
    return rows
