"""Control work of one node as the fleet grows: in one process, in virtual time.

Run as ``python -m bench scale --sizes 7,60,200,800,1600``.
"""

import logging
import resource
import time

from auburnhollow.membership.members import entry_of
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import VirtualFleet

from .results import save, table

SIZES = (7, 60, 200, 800, 1600)
CALM_S = 20
CONFIRM_S = 10
LOSS = 0.05
SPREAD_LIMIT_S = 30
COLUMNS = (
    "nodes",
    "cpu_us_per_s",
    "bytes_per_s",
    "messages_per_s",
    "memory_kb",
    "spread_p50_ms",
    "spread_p99_ms",
    "spread_max_ms",
    "change_cpu_us",
    "change_bytes",
    "store_reads",
    "watching",
)


async def grown_fleet(nodes, seed):
    """Return a fleet in which every node knows all others already."""
    fleet = VirtualFleet(nodes=0, seed=seed, loss=LOSS)
    await fleet.repository.change(fleet.document, base=0, author="bench", note="first")
    for number in range(nodes):
        fleet.add(f"n{number}")
    facts = []
    for entry in fleet.nodes.values():
        node = entry.node
        node.membership.join(node.gossiper)
        await node.keeper.read_store(node.store)
        facts.append(entry_of(node.membership.me, fleet.clock.wall_ms()))
    for entry in fleet.nodes.values():
        for fact in facts:
            entry.node.table.put(fact)
        entry.node.gossiper._pending.clear()
        entry.node.gossiper._due_ms = None
    for entry in fleet.nodes.values():
        node = entry.node
        for coroutine in (
            node.gossiper.run(),
            node.membership.run(),
            node.configurations.run(),
            node.servers.run(),
        ):
            node._start_task(coroutine)
    return fleet


async def measure(nodes, seed):
    """Return the figures of one size."""
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet = await grown_fleet(nodes, seed)
    await fleet.clock.sleep(5_000)
    fleet.network.bytes_sent = 0
    fleet.network.messages_sent = 0
    reads = fleet.shared_store.counts["reads"]
    started_s = time.process_time()
    await fleet.clock.sleep(CALM_S * 1000)
    cpu_s = time.process_time() - started_s
    calm_bytes = fleet.network.bytes_sent
    calm_messages = fleet.network.messages_sent
    reads = fleet.shared_store.counts["reads"] - reads
    change_bytes = fleet.network.bytes_sent
    started_s = time.process_time()
    spread = await spread_times(fleet)
    await fleet.clock.sleep(CONFIRM_S * 1000 - min(CONFIRM_S * 1000, spread[-1]))
    change_cpu_s = time.process_time() - started_s - cpu_s * CONFIRM_S / CALM_S
    change_bytes = fleet.network.bytes_sent - change_bytes - calm_bytes * CONFIRM_S / CALM_S
    memory_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    watching = sum(len(queues) for queues in fleet.shared_store.watchers.values())
    await fleet.stop()
    node_seconds = nodes * CALM_S
    return {
        "nodes": nodes,
        "cpu_us_per_s": cpu_s * 1e6 / node_seconds,
        "bytes_per_s": calm_bytes / node_seconds,
        "messages_per_s": calm_messages / node_seconds,
        "memory_kb": memory_kb / nodes,
        "spread_p50_ms": spread[len(spread) // 2],
        "spread_p99_ms": spread[int(len(spread) * 0.99)],
        "spread_max_ms": spread[-1],
        "change_cpu_us": change_cpu_s * 1e6 / nodes,
        "change_bytes": change_bytes / nodes,
        "store_reads": reads / CALM_S,
        "watching": watching,
    }


async def spread_times(fleet):
    """Change the configuration; return when each node had it, in ms after the acceptance."""
    arrived = []
    accepted_ms = None

    def note(_stored):
        arrived.append(fleet.clock.now_ms())

    for entry in fleet.nodes.values():
        entry.node.keeper.on_change(note)
    await fleet.change(fleet.document, base=1)
    accepted_ms = fleet.clock.now_ms()
    give_up_ms = accepted_ms + SPREAD_LIMIT_S * 1000
    while len(arrived) < len(fleet.nodes) and fleet.clock.now_ms() < give_up_ms:
        await fleet.clock.sleep(50)
    missing = len(fleet.nodes) - len(arrived)
    times = sorted(round(at_ms - accepted_ms, 1) for at_ms in arrived)
    return times + [float("inf")] * missing


def run(sizes=SIZES, seed=1, name="scale"):
    """Measure all sizes, print a table and save it."""
    logging.disable(logging.CRITICAL)
    rows = [run_virtually(measure(size, seed)) for size in sizes]
    print(table(COLUMNS, rows))
    save(name, {"seed": seed, "loss": LOSS, "rows": rows})
    return rows
