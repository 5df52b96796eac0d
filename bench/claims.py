"""Store writes for claims of orders and the latency they add, by rate, in virtual time.

Run as ``python -m bench claims``.
"""

import asyncio
import logging
import random

from hdrh.histogram import HdrHistogram

from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, virtual_fleet

from .results import format_table, save_result

RATES = (10, 100, 1_000, 4_000)
NODES = 7
DURATION_S = 5.0
SERVER_LATENCY_MS = 2.0
STORE_LATENCY_MS = 2.0
MAX_LATENCY_US = 60_000_000
COLUMNS = (
    "rate",
    "orders",
    "writes_per_s",
    "reads_per_s",
    "claims_per_write",
    "added_p50_ms",
    "added_p99_ms",
    "ran_twice",
)


async def measure(rate, seed=1):
    """Return the results for one rate.

    :param rate: orders per second over the whole fleet.
    """
    rng = random.Random(seed)
    histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
    settings = {"admission_limit": 4_000}
    async with virtual_fleet(
        make_document(shards=10), nodes=NODES, seed=seed, settings=settings
    ) as fleet:
        fleet.shared_store.delay_ms = STORE_LATENCY_MS
        for entry in fleet.document["services"]:
            entry["connections"] = 10_000
        await fleet.change(fleet.document, base=1)
        await fleet.clock.sleep(5_000)
        before = dict(fleet.shared_store.counts)
        nodes = [entry.node for entry in fleet.nodes.values()]

        async def send_order():
            started_ms = fleet.clock.now_ms()
            order = fleet.make_order(fleet.new_key(), deadline_ms=20_000.0)
            await rng.choice(nodes).orders.run(order)
            added_ms = fleet.clock.now_ms() - started_ms - SERVER_LATENCY_MS
            histogram.record_value(max(1, int(added_ms * 1000)))

        tasks = []
        end_ms = fleet.clock.now_ms() + DURATION_S * 1000
        while fleet.clock.now_ms() < end_ms:
            tasks.append(asyncio.create_task(send_order()))
            await fleet.clock.sleep(rng.expovariate(rate) * 1000)
        await asyncio.gather(*tasks)
        await asyncio.gather(*(node.orders.flush() for node in nodes))
        writes = fleet.shared_store.counts["writes"] - before["writes"]
        reads = fleet.shared_store.counts["reads"] - before["reads"]
        ran = fleet.ran_orders()
    return {
        "rate": rate,
        "orders": len(tasks),
        "writes_per_s": writes / DURATION_S,
        "reads_per_s": reads / DURATION_S,
        "claims_per_write": len(tasks) / writes,
        "added_p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "added_p99_ms": histogram.get_value_at_percentile(99) / 1000,
        "ran_twice": len(ran) - len({order["key"] for order in ran}),
    }


def run(rates=RATES):
    """Measure all rates, print a table and save it."""
    logging.disable(logging.CRITICAL)
    rows = [run_virtually(measure(rate)) for rate in rates]
    print(format_table(COLUMNS, rows))
    save_result("claims", {"nodes": NODES, "store_ms": STORE_LATENCY_MS, "seed": 1, "rows": rows})
    return rows
