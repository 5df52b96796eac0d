"""The arithmetic of docs/CAPACITY.md: what measured slopes give at the size two years out.

Run as ``python -m bench capacity``; it reads ``bench/results`` and prints the page's tables.
"""

from .results import load, slope_of, table

NODES = 1_600
REPLICAS = 7_300
QUERIES_PER_S = 310_000
FAN_OUT = 330
DATA_CENTRES = 15
CHANGES_PER_DAY = 910
RESTARTS_PER_DAY = 520 + 19
DAY_S = 86_400
CPU_LIMIT = 1.4
MEMORY_LIMIT_MB = 64
BYTES_LIMIT = 28 * 1024
FACT_BYTES = 70
FANOUT = 4
FACTS_A_RESTART = 3
BOTH_WAYS = 2
CONNECTIONS = 40


def control_rows():
    """Return control work of a node at the target size."""
    scale = load("scale")["rows"]
    at_size = scale[-1]
    large = [row for row in scale if row["nodes"] >= 200]
    _, slope_kb = slope_of([(row["nodes"], row["memory_kb"]) for row in large])
    bare_mb = load("real")["rows"][0]["rss_mb"]
    changes_per_s = CHANGES_PER_DAY / DAY_S
    calm_cpu = at_size["cpu_us_per_s"] / 1e4
    change_cpu = at_size["change_cpu_us"] * changes_per_s / 1e4
    document = load("documents")["rows"][-1]
    document_kb = document["stored_kb"]
    calm_bytes = at_size["bytes_per_s"] * BOTH_WAYS
    change_bytes = at_size["change_bytes"] * changes_per_s * BOTH_WAYS
    document_bytes = document_kb * 1024 * changes_per_s * BOTH_WAYS
    restart_bytes = RESTARTS_PER_DAY * FACTS_A_RESTART * FACT_BYTES * FANOUT * BOTH_WAYS / DAY_S
    return [
        _row("CPU in calm", calm_cpu, "% core", ""),
        _row("CPU for changes and their confirmations", change_cpu, "% core", ""),
        _row("CPU, all control", calm_cpu + change_cpu, "% core", CPU_LIMIT),
        _row("bytes in calm", calm_bytes, "B/s", ""),
        _row("bytes for changes and confirmations", change_bytes, "B/s", ""),
        _row("bytes for documents", document_bytes, "B/s", ""),
        _row("bytes for restarts", restart_bytes, "B/s", ""),
        _row(
            "bytes, all control",
            calm_bytes + change_bytes + document_bytes + restart_bytes,
            "B/s",
            BYTES_LIMIT,
        ),
        _row("memory of the table of facts", slope_kb * NODES / 1024, "MB", ""),
        _row("memory of a process without a fleet", bare_mb, "MB", ""),
        _row("memory of the configuration", document["memory_mb"], "MB", ""),
        _row(
            "memory, all control",
            slope_kb * NODES / 1024 + bare_mb + document["memory_mb"],
            "MB",
            MEMORY_LIMIT_MB,
        ),
        _row("time to take a configuration", document["take_ms"], "ms", ""),
        _row("a compressed configuration", document_kb, "KB", 1024),
        _row("a revision everywhere, 5 % loss", at_size["spread_max_ms"], "ms", 5_000),
        _row("waiting watches of the store", at_size["watching"], "calls", ""),
    ]


def query_rows():
    """Return work on queries at the target size, by today's figures."""
    calls = load("calls")
    per_call_us = min(row["us_per_call"] for row in calls["rows"] if row["way"] == "product")
    bare_us = calls["rows"][0]["us_per_call"]
    calls_per_s = QUERIES_PER_S * FAN_OUT
    per_node = calls_per_s / NODES
    per_replica = calls_per_s / REPLICAS
    cores = per_node * per_call_us / 1e6
    store_writes = max(row["writes_per_s"] for row in load("claims")["rows"])
    return [
        _row("replica calls a node", per_node, "1/s", ""),
        _row("replica calls a replica", per_replica, "1/s", ""),
        _row("CPU of a call, today", per_call_us, "us", ""),
        _row("CPU of a call, bare client", bare_us, "us", ""),
        _row("cores a node for calls, today", cores, "cores", 1),
        _row("calls that one core carries", 1e6 / per_call_us, "1/s", ""),
        _row("queries/s of 1,600 one-core nodes", NODES * 1e6 / per_call_us / FAN_OUT, "1/s", ""),
        _row("shards in one call to reach the target", cores, "shards", ""),
        _row("nodes that want a server, full mesh", NODES, "", CONNECTIONS),
        _row("nodes of one data centre", NODES / DATA_CENTRES, "", CONNECTIONS),
        _row("store writes for orders, 7 nodes", store_writes, "1/s", ""),
    ]


def _row(what, value, unit, limit):
    return {"what": what, "value": value, "unit": unit, "limit": limit}


def run():
    """Print the tables."""
    columns = ("what", "value", "unit", "limit")
    print("Control, one node of 1,600:")
    print(table(columns, control_rows()))
    print("\nQueries, one node of 1,600:")
    print(table(columns, query_rows()))
