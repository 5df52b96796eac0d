"""The store comes back from an older copy, and a change gets a revision given out again."""

import asyncio
import time

from standins.case import main
from standins.http import build, connect, read_message
from standins.nodes import make_nodes, start_all
from standins.replica import Replica
from standins.store import Store

HOST = "birou.example"
ZONES = ("ploiesti-a", "cluj-a", "iasi-a")
# The copy is this old, and the store is away for this long.
COPY_AGE_S = 3.0
AWAY_S = 1.5
# Bounds of the sheet, in seconds: config_apply_ms, skew_max_ms and stable_window_ms.
CONFIG_APPLY_S = 3.0
SKEW_MAX_S = 15.0
STABLE_S = 5.0
ASK_FOR_S = 30.0


def route(name, prefix, service):
    """Return a route to one service."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 1_500,
        "slo_ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 2,
    }


def configuration(version):
    """Version 5 adds a route; version 7 moves one to the other service and drops one."""
    routes = [route("stock", "/stock/", "portal" if version < 7 else "raport")]
    if version < 7:
        routes.append(route("old", "/old/", "portal"))
    if version >= 5:
        routes.append(route("added", "/added/", "portal"))
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 40, "protocol": "h1"}
            for name in ("portal", "raport")
        ],
        "limits": {
            "header_bytes": 16_384,
            "body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }


async def ask(address, path, request_id):
    """Send one request on a connection of its own; return the answer."""
    reader, writer = await connect(address)
    headers = [
        ("Host", HOST),
        ("X-Auburnhollow-Request-Id", request_id),
        ("X-Auburnhollow-Deadline", 1_500),
    ]
    writer.write(build(f"GET {path} HTTP/1.1", headers))
    try:
        return await asyncio.wait_for(read_message(reader), 2.5)
    finally:
        writer.close()


async def scenario(record, folder, is_troubled, nodes):
    """Play the case and return the broken rules."""
    store = Store()
    await store.start()
    replicas = []
    for service in ("portal", "raport"):
        for zone in (*ZONES, ZONES[0]):
            replica = Replica(f"i-{len(replicas)}", service, zone, record, slots=2, queue=8)
            await replica.start()
            replicas.append(replica)
            store.put(f"servers/{replica.name}", replica.entry())
    acknowledge(record, store, 3)
    nodes.extend(make_nodes(folder, store.address))
    await start_all(nodes)
    await asyncio.sleep(2.0)
    await ask_all(record, nodes, 3, "before")

    # The last seconds before the drill: a change of the configuration, and a replica that leaves.
    copied = store.copy()
    await asyncio.sleep(COPY_AGE_S - 1.5)
    acknowledge(record, store, 5)
    await asyncio.sleep(0.5)
    leaving = replicas[3]
    leaving.state = "draining"
    record(
        "draining",
        replica=leaving.name,
        revision=store.put(f"servers/{leaving.name}", leaving.entry()),
    )
    await asyncio.sleep(1.0)
    await ask_all(record, nodes, 5, "added")

    if is_troubled:
        record("store away", revision=store.revision)
        store.go_down()
        await asyncio.sleep(AWAY_S)
        store.restore(copied)
        record("store back", revision=store.revision, era=store.era)
        # What the operator wrote is written again, and the change that waited follows.
        acknowledge(record, store, 5)
    acknowledged_s = acknowledge(record, store, 7)
    if is_troubled:
        # The replica writes its state again with its next heartbeat.
        await asyncio.sleep(0.6)
        again = store.put(f"servers/{leaving.name}", leaving.entry())
        record("draining", replica=leaving.name, revision=again)
    await asyncio.sleep(max(0.0, acknowledged_s + 3.0 - time.monotonic()))
    leaving.close()
    record("gone", replica=leaving.name, revision=store.delete(f"servers/{leaving.name}"))

    # No disruption from here on: all machines are in touch, and the bound has long passed.
    wait_s = CONFIG_APPLY_S + SKEW_MAX_S + STABLE_S
    await asyncio.sleep(max(0.0, acknowledged_s + wait_s - time.monotonic()))
    record("judged from here")
    end_s = time.monotonic() + ASK_FOR_S
    number = 0
    while time.monotonic() < end_s:
        number += 1
        for path in ("stock", "old"):
            await ask_all(record, nodes, 7, f"{path}-{number}", f"/{path}/x")
        await asyncio.sleep(1.0)
    store.close()
    return judge(record)


def acknowledge(record, store, version):
    """Write a version of the configuration; return when the store has acknowledged it."""
    revision = store.put("op/config", configuration(version))
    record("configuration", version=version, revision=revision, era=store.era)
    return time.monotonic()


async def ask_all(record, nodes, version, name, path="/stock/x"):
    """Ask each node once."""
    for number, node in enumerate(nodes):
        request_id = f"{name}-{number}"
        record("sent", id=request_id, path=path, node=node.settings["id"], due=version)
        try:
            answer = await ask(node.front, path, request_id)
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            record("no answer", id=request_id, error=repr(error))
            continue
        record("answered", id=request_id, status=answer.status, body=answer.body.decode()[:60])


def judge(record):
    """Return the broken rules, as texts."""
    start = next(i for i, event in enumerate(record.events) if event["what"] == "judged from here")
    sent, services = {}, {f"i-{n}": ("portal", "raport")[n // 4] for n in range(8)}
    wrong = {}
    total = 0
    for event in record.events[start:]:
        if event["what"] == "sent":
            sent[event["id"]] = event
            total += 1
        if event["what"] != "run" or event["id"] not in sent:
            continue
        path = sent[event["id"]]["path"]
        node = sent[event["id"]]["node"]
        if path.startswith("/stock/") and services[event["replica"]] == "portal":
            wrong.setdefault(node, []).append("run by the old service")
        if path.startswith("/old/"):
            wrong.setdefault(node, []).append("run with a dropped route")
    print(f"{total} requests judged")
    broken = []
    for node, texts in sorted(wrong.items()):
        counts = {text: texts.count(text) for text in sorted(set(texts))}
        broken.append(f"CONFIG: {node} handles requests by version 5 after 7 was due: {counts}")
    return broken


main(__file__, scenario)
