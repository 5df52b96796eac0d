"""Control-plane cost of real node processes by fleet size, idle and on a configuration change.

Run as ``python -m bench real --sizes 3,7,20,60``.
"""

import asyncio
import os
from pathlib import Path

import orjson

from auburnhollow.exceptions import AuburnhollowError
from auburnhollow_standins.deployments import FRANCHISE
from auburnhollow_standins.fleet import running_fleet

from .results import fit_line, format_table, save_result

SIZES = (3, 7, 20, 60)
MEASUREMENT_S = 15.0
CONVERGENCE_ATTEMPTS = 600
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
COLUMNS = (
    "nodes",
    "cpu_percent",
    "rss_mb",
    "sent_bytes_per_s",
    "received_bytes_per_s",
    "messages_per_s",
    "store_calls_per_s",
    "watching",
    "in_force_p50_ms",
    "in_force_max_ms",
)


class NotConverged(AuburnhollowError):
    """The fleet did not reach the expected state in time."""


class ResourceUsage:
    """CPU time, memory and metric counts of one node process."""

    __slots__ = ("counts", "cpu_s", "rss_kb")

    def __init__(self, cpu_s, rss_kb, counts):
        self.cpu_s = cpu_s
        self.rss_kb = rss_kb
        self.counts = counts


async def read_node(fleet, node):
    """Return the :class:`ResourceUsage` of one node."""
    folder = Path("/proc") / str(node.process.pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    pages = int((folder / "statm").read_text().split()[1])
    status = await read_status(fleet, node)
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return ResourceUsage(cpu_s, pages * PAGE_KB, status["counts"])


async def read_status(fleet, node):
    """Return the operators' status of a node."""
    async with fleet.session.get(node.url + "/operator/status") as response:
        return orjson.loads(await response.read())


async def wait_until_converged(fleet):
    """Wait until every node knows all others.

    :raises NotConverged: if that does not happen in time.
    """
    for _ in range(CONVERGENCE_ATTEMPTS):
        counts = set()
        for node in fleet.nodes:
            members = (await read_status(fleet, node))["members"]
            counts.add(sum(1 for member in members if member["state"] == "alive"))
        if counts == {len(fleet.nodes)}:
            return
        await asyncio.sleep(0.25)
    raise NotConverged(f"{len(fleet.nodes)} nodes do not know each other: members {counts}")


async def in_force_times(fleet):
    """Change the configuration and return after how many milliseconds each node applied it."""
    stored = await fleet.repository.change(fleet.document, base=1, author="bench", note="spread")
    times = {}
    for _ in range(CONVERGENCE_ATTEMPTS):
        for node in fleet.nodes:
            async with fleet.session.get(node.url + "/operator/events") as response:
                events = orjson.loads(await response.read())["events"]
            for event in events:
                details = event["details"]
                if event["kind"] == "configuration-in-force" and details["revision"] == 2:
                    times[node.id] = event["at_ms"] - stored.at_ms
        if len(times) == len(fleet.nodes):
            return sorted(times.values())
        await asyncio.sleep(0.25)
    raise NotConverged(f"only {len(times)} of {len(fleet.nodes)} nodes have the revision")


async def measure(nodes):
    """Return the results for a fleet of ``nodes`` nodes."""
    async with running_fleet(FRANCHISE, nodes=nodes, settings={"linger_ms": 0}) as fleet:
        await wait_until_converged(fleet)
        await asyncio.sleep(3.0)
        store_before = dict(fleet.store.counts)
        before = [await read_node(fleet, node) for node in fleet.nodes]
        await asyncio.sleep(MEASUREMENT_S)
        after = [await read_node(fleet, node) for node in fleet.nodes]
        store_after = dict(fleet.store.counts)
        in_force = await in_force_times(fleet)
        watching = (await read_store_counts(fleet))["watching"]
    calls = sum(store_after[name] - store_before[name] for name in ("reads", "writes", "watches"))
    return {
        "nodes": nodes,
        "cpu_percent": 100 * _mean(before, after, lambda usage: usage.cpu_s) / MEASUREMENT_S,
        "rss_mb": sum(usage.rss_kb for usage in after) / nodes / 1024,
        "sent_bytes_per_s": _rate(before, after, "peers.sent_bytes"),
        "received_bytes_per_s": _rate(before, after, "peers.received_bytes"),
        "messages_per_s": _rate(before, after, "peers.received"),
        "store_calls_per_s": calls / MEASUREMENT_S,
        "watching": watching,
        "in_force_p50_ms": in_force[len(in_force) // 2],
        "in_force_max_ms": in_force[-1],
    }


async def read_store_counts(fleet):
    """Return the numbers of calls that the store has received."""
    async with fleet.session.get(fleet.store_url + "/standin/counts") as response:
        return orjson.loads(await response.read())


def _mean(before, after, value):
    pairs = zip(before, after, strict=True)
    return sum(value(later) - value(earlier) for earlier, later in pairs) / len(before)


def _rate(before, after, name):
    return _mean(before, after, lambda usage: usage.counts.get(name, 0)) / MEASUREMENT_S


def run(sizes=SIZES):
    """Measure all sizes, print a table and save it."""
    rows = [asyncio.run(measure(size)) for size in sizes]
    print(format_table(COLUMNS, rows))
    slopes = {}
    for name in ("cpu_percent", "rss_mb", "sent_bytes_per_s", "messages_per_s"):
        base, slope = fit_line([(row["nodes"], row[name]) for row in rows])
        slopes[name] = {"base": base, "per_node": slope}
    save_result("real", {"rows": rows, "slopes": slopes})
    return rows
