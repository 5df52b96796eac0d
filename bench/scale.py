"""Control-plane cost of one node by size of the fleet, in one process and in virtual time.

Run as ``python -m bench scale --sizes 7,60,200,800,1600``.
"""

import logging
import resource
import time

from auburnhollow.membership.members import entry_of
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import VirtualFleet

from .results import format_table, save_result

SIZES = (7, 60, 200, 800, 1600)
IDLE_S = 20
CONFIRMATION_S = 10
LOSS = 0.05
PROPAGATION_TIMEOUT_S = 30
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


async def start_converged_fleet(nodes, seed):
    """Return a running fleet whose nodes already know each other and the configuration."""
    fleet = VirtualFleet(nodes=0, seed=seed, loss=LOSS)
    await fleet.repository.change(fleet.document, base=0, author="bench", note="first")
    for number in range(nodes):
        fleet.add(f"n{number}")
    gossip_entries = []
    for entry in fleet.nodes.values():
        node = entry.node
        node.membership.join(node.gossiper)
        await node.configuration_holder.read_store(node.store)
        gossip_entries.append(entry_of(node.membership.me, fleet.clock.wall_ms()))
    for entry in fleet.nodes.values():
        for gossip_entry in gossip_entries:
            entry.node.table.put(gossip_entry)
        entry.node.gossiper._pending.clear()
        entry.node.gossiper._due_ms = None
    for entry in fleet.nodes.values():
        node = entry.node
        for coroutine in (
            node.gossiper.run(),
            node.membership.run(),
            node.configuration_sync.run(),
            node.leaving_gossip.run(),
        ):
            node._start_task(coroutine)
    return fleet


async def measure(nodes, seed):
    """Return the results for a fleet of ``nodes`` nodes."""
    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    fleet = await start_converged_fleet(nodes, seed)
    await fleet.clock.sleep(5_000)
    fleet.network.bytes_sent = 0
    fleet.network.messages_sent = 0
    reads = fleet.shared_store.counts["reads"]
    started_s = time.process_time()
    await fleet.clock.sleep(IDLE_S * 1000)
    cpu_s = time.process_time() - started_s
    idle_bytes = fleet.network.bytes_sent
    idle_messages = fleet.network.messages_sent
    reads = fleet.shared_store.counts["reads"] - reads
    change_bytes = fleet.network.bytes_sent
    started_s = time.process_time()
    propagation_ms = await measure_propagation_ms(fleet)
    await fleet.clock.sleep(CONFIRMATION_S * 1000 - min(CONFIRMATION_S * 1000, propagation_ms[-1]))
    change_cpu_s = time.process_time() - started_s - cpu_s * CONFIRMATION_S / IDLE_S
    change_bytes = fleet.network.bytes_sent - change_bytes - idle_bytes * CONFIRMATION_S / IDLE_S
    memory_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kb
    watching = sum(len(queues) for queues in fleet.shared_store.watchers.values())
    await fleet.stop()
    node_seconds = nodes * IDLE_S
    return {
        "nodes": nodes,
        "cpu_us_per_s": cpu_s * 1e6 / node_seconds,
        "bytes_per_s": idle_bytes / node_seconds,
        "messages_per_s": idle_messages / node_seconds,
        "memory_kb": memory_kb / nodes,
        "spread_p50_ms": propagation_ms[len(propagation_ms) // 2],
        "spread_p99_ms": propagation_ms[int(len(propagation_ms) * 0.99)],
        "spread_max_ms": propagation_ms[-1],
        "change_cpu_us": change_cpu_s * 1e6 / nodes,
        "change_bytes": change_bytes / nodes,
        "store_reads": reads / IDLE_S,
        "watching": watching,
    }


async def measure_propagation_ms(fleet):
    """Change the configuration and return after how many milliseconds each node applied it.

    The time is infinite for nodes that did not apply it before the timeout.
    """
    arrived = []
    accepted_ms = None

    def record_arrival(_stored):
        arrived.append(fleet.clock.now_ms())

    for entry in fleet.nodes.values():
        entry.node.configuration_holder.on_change(record_arrival)
    await fleet.change(fleet.document, base=1)
    accepted_ms = fleet.clock.now_ms()
    timeout_at_ms = accepted_ms + PROPAGATION_TIMEOUT_S * 1000
    while len(arrived) < len(fleet.nodes) and fleet.clock.now_ms() < timeout_at_ms:
        await fleet.clock.sleep(50)
    missing = len(fleet.nodes) - len(arrived)
    times = sorted(round(at_ms - accepted_ms, 1) for at_ms in arrived)
    return times + [float("inf")] * missing


def run(sizes=SIZES, seed=1, name="scale"):
    """Measure all sizes, print a table and save it."""
    logging.disable(logging.CRITICAL)
    rows = [run_virtually(measure(size, seed)) for size in sizes]
    print(format_table(COLUMNS, rows))
    save_result(name, {"seed": seed, "loss": LOSS, "rows": rows})
    return rows
