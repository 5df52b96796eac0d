"""The arithmetic of docs/CAPACITY.md: what measured slopes give at the size two years out.

Run as ``python -m bench capacity``; it reads ``bench/results`` and prints the page's tables.
"""

from .results import load, slope_of, table

NODES = 1_600
REPLICAS = 7_300
QUERIES_PER_S = 310_000
FAN_OUT = 330
DATA_CENTRES = 15
REGIONS = 5
CHANGES_PER_DAY = 910
RESTARTS_PER_DAY = 520 + 19
DAY_S = 86_400
CPU_LIMIT = 1.4
MEMORY_LIMIT_MB = 64
BYTES_LIMIT = 28 * 1024
SERVER_JSON_BYTES = 140
COMPRESSED_PART = 0.12
FACT_BYTES = 70
FANOUT = 4
CONNECTIONS = 40
STORE_WRITES_PER_S = 160


def control_rows():
    """Return control work of a node at the target size."""
    scale = load("scale")["rows"]
    large = [row for row in scale if row["nodes"] >= 200]
    base_us, slope_us = slope_of([(row["nodes"], row["cpu_us_per_s"]) for row in large])
    _, slope_kb = slope_of([(row["nodes"], row["memory_kb"]) for row in large])
    real = load("real")["rows"]
    bare_mb = real[0]["rss_mb"]
    at_size = scale[-1]
    document_kb = REPLICAS * SERVER_JSON_BYTES * COMPRESSED_PART / 1024
    change_bytes = CHANGES_PER_DAY * document_kb * 1024 * 2 / DAY_S
    confirm_bytes = NODES * CHANGES_PER_DAY * FACT_BYTES * FANOUT * 2 / DAY_S
    restart_bytes = RESTARTS_PER_DAY * 2 * FACT_BYTES * FANOUT * 2 / DAY_S
    calm_bytes = at_size["bytes_per_s"] * 2
    return [
        _row("gossip, pings: CPU", (base_us + slope_us * NODES) / 1e4, "% core", CPU_LIMIT),
        _row("gossip, pings: bytes", calm_bytes, "B/s", BYTES_LIMIT),
        _row("configurations: bytes", change_bytes, "B/s", ""),
        _row("confirmations: bytes", confirm_bytes, "B/s", ""),
        _row("restarts: bytes", restart_bytes, "B/s", ""),
        _row(
            "all control: bytes",
            calm_bytes + change_bytes + confirm_bytes + restart_bytes,
            "B/s",
            BYTES_LIMIT,
        ),
        _row("table of facts: memory", slope_kb * NODES / 1024, "MB", ""),
        _row("process without a fleet: memory", bare_mb, "MB", ""),
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
        _row("store writes for orders, all nodes", STORE_WRITES_PER_S, "1/s", ""),
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
