"""The calculations of docs/CAPACITY.md: measured results extrapolated to the size in two years.

Run as ``python -m bench capacity``; it reads ``bench/results`` and prints the tables of the page.
"""

from .results import fit_line, format_table, load_result

NODES = 1_600
REPLICAS = 7_300
QUERIES_PER_S = 310_000
FAN_OUT = 330
DATA_CENTRES = 15
CHANGES_PER_DAY = 910
RESTARTS_PER_DAY = 520 + 19
DAY_S = 86_400
CPU_LIMIT_PERCENT = 1.4
MEMORY_LIMIT_MB = 64
BYTES_PER_S_LIMIT = 28 * 1024
GOSSIP_ENTRY_BYTES = 70
GOSSIP_FANOUT = 4
ENTRIES_PER_RESTART = 3
DIRECTIONS = 2
CONNECTIONS_PER_SERVER = 40


def control_rows():
    """Return the control-plane cost of a node at the target size."""
    scale = load_result("scale")["rows"]
    at_size = scale[-1]
    large = [row for row in scale if row["nodes"] >= 200]
    _, slope_kb = fit_line([(row["nodes"], row["memory_kb"]) for row in large])
    bare_mb = load_result("real")["rows"][0]["rss_mb"]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    idle_cpu = at_size["cpu_us_per_s"] / 1e4
    change_cpu = at_size["change_cpu_us"] * changes_per_s / 1e4
    document = load_result("documents")["rows"][-1]
    document_kb = document["stored_kb"]
    idle_bytes = at_size["bytes_per_s"] * DIRECTIONS
    change_bytes = at_size["change_bytes"] * changes_per_s * DIRECTIONS
    document_bytes = document_kb * 1024 * changes_per_s * DIRECTIONS
    restart_bytes = (
        RESTARTS_PER_DAY
        * ENTRIES_PER_RESTART
        * GOSSIP_ENTRY_BYTES
        * GOSSIP_FANOUT
        * DIRECTIONS
        / DAY_S
    )
    return [
        _row("CPU when idle", idle_cpu, "% core", ""),
        _row("CPU for changes and their confirmations", change_cpu, "% core", ""),
        _row("CPU, control plane total", idle_cpu + change_cpu, "% core", CPU_LIMIT_PERCENT),
        _row("bytes when idle", idle_bytes, "B/s", ""),
        _row("bytes for changes and confirmations", change_bytes, "B/s", ""),
        _row("bytes for documents", document_bytes, "B/s", ""),
        _row("bytes for restarts", restart_bytes, "B/s", ""),
        _row(
            "bytes, control plane total",
            idle_bytes + change_bytes + document_bytes + restart_bytes,
            "B/s",
            BYTES_PER_S_LIMIT,
        ),
        _row("memory of the gossip table", slope_kb * NODES / 1024, "MB", ""),
        _row("memory of a process without a fleet", bare_mb, "MB", ""),
        _row("memory of the configuration", document["memory_mb"], "MB", ""),
        _row(
            "memory, control plane total",
            slope_kb * NODES / 1024 + bare_mb + document["memory_mb"],
            "MB",
            MEMORY_LIMIT_MB,
        ),
        _row("time to apply a configuration", document["take_ms"], "ms", ""),
        _row("a compressed configuration", document_kb, "KB", 1024),
        _row("a revision on all nodes, 5 % loss", at_size["spread_max_ms"], "ms", 5_000),
        _row("waiting watches of the store", at_size["watching"], "calls", ""),
    ]


def query_rows():
    """Return the cost of queries at the target size, by today's measurements."""
    calls = load_result("calls")
    per_call_us = min(row["us_per_call"] for row in calls["rows"] if row["way"] == "product")
    bare_us = calls["rows"][0]["us_per_call"]
    calls_per_s = QUERIES_PER_S * FAN_OUT
    per_node = calls_per_s / NODES
    per_replica = calls_per_s / REPLICAS
    cores = per_node * per_call_us / 1e6
    store_writes = max(row["writes_per_s"] for row in load_result("claims")["rows"])
    return [
        _row("replica calls per node", per_node, "1/s", ""),
        _row("replica calls per replica", per_replica, "1/s", ""),
        _row("CPU of a call, today", per_call_us, "us", ""),
        _row("CPU of a call, bare client", bare_us, "us", ""),
        _row("cores per node for calls, today", cores, "cores", 1),
        _row("calls that one core carries", 1e6 / per_call_us, "1/s", ""),
        _row("queries/s of 1,600 one-core nodes", NODES * 1e6 / per_call_us / FAN_OUT, "1/s", ""),
        _row("shards in one call to reach the target", cores, "shards", ""),
        _row("nodes connected to a server, full mesh", NODES, "", CONNECTIONS_PER_SERVER),
        _row("nodes of one data centre", NODES / DATA_CENTRES, "", CONNECTIONS_PER_SERVER),
        _row("store writes for orders, 7 nodes", store_writes, "1/s", ""),
    ]


def _row(what, value, unit, limit):
    return {"what": what, "value": value, "unit": unit, "limit": limit}


def run():
    """Print the tables."""
    columns = ("what", "value", "unit", "limit")
    print("Control plane, one node of 1,600:")
    print(format_table(columns, control_rows()))
    print("\nQueries, one node of 1,600:")
    print(format_table(columns, query_rows()))
