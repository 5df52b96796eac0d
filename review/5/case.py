"""A replica says in its answers that it leaves, while the store is down."""

import asyncio
import random

from standins.case import main
from standins.http import build, connect, read_message
from standins.nodes import make_nodes, start_all
from standins.replica import Replica
from standins.store import Store

HOST = "birou.example"
# platform_down lasts 4.5 s in the site file.
AWAY_S = 4.5
# drain_ms of the sheet.
DRAIN_S = 3.0
# "A little longer (at times many seconds)" after drain_ms.
SERVES_ON_S = 1.2
PER_S = 100.0
BEFORE_S = 6.0


def configuration():
    """Return a configuration as the operator writes it."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "orders",
                "host": HOST,
                "prefix": "/orders/",
                "kind": "non_idempotent",
                "timeout_ms": 4_000,
                "slo_ms": 1_000,
                "priority": 1,
                "service": "orders",
                "attempts": 2,
            }
        ],
        "services": [
            {"name": "orders", "health_path": "/health", "max_conns": 100, "protocol": "h1"}
        ],
        "limits": {
            "header_bytes": 16_384,
            "body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
    }


async def order(record, node, request_id):
    """Send one order on a connection of its own."""
    headers = [
        ("Host", HOST),
        ("X-Auburnhollow-Request-Id", request_id),
        ("X-Auburnhollow-Deadline", 4_000),
    ]
    writer = None
    try:
        reader, writer = await connect(node.front)
        record("sent", id=request_id, node=node.settings["id"])
        writer.write(build("POST /orders/jaw-7 HTTP/1.1", headers, request_id.encode()))
        answer = await asyncio.wait_for(read_message(reader), 5.0)
        record("answered", id=request_id, status=answer.status)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        record("no answer", id=request_id, error=repr(error))
    finally:
        if writer is not None:
            writer.close()


async def traffic(record, nodes, tasks):
    """Send requests at a steady rate until cancelled."""
    count = 0
    while True:
        count += 1
        work = order(record, nodes[count % len(nodes)], f"o-{count}")
        tasks.append(asyncio.create_task(work))
        await asyncio.sleep(1.0 / PER_S)


async def scenario(record, folder, is_troubled, nodes):
    """Play the case and return the broken rules."""
    rng = random.Random()
    store = Store()
    await store.start()
    replicas = []
    for number, zone in enumerate(("ploiesti-a", "cluj-a", "iasi-a")):
        replica = Replica(f"i-{number}", "orders", zone, record, slots=10, queue=30)
        replica.work_s = lambda _message: rng.uniform(0.05, 0.15)
        await replica.start()
        replicas.append(replica)
        store.put(f"servers/{replica.name}", replica.entry())
    store.put("op/config", configuration())
    nodes.extend(make_nodes(folder, store.address))
    await start_all(nodes)
    tasks = []
    sender = asyncio.create_task(traffic(record, nodes, tasks))
    await asyncio.sleep(BEFORE_S)
    leaving = replicas[0]
    if is_troubled:
        record("store away")
        store.go_down()
    leaving.extra_headers = [("Server-Leaving", "1")]
    record("leaving", replica=leaving.name)
    if not is_troubled:
        # The store takes the report that cannot be made while it is away.
        leaving.state = "draining"
        store.put(f"servers/{leaving.name}", leaving.entry())
    await asyncio.sleep(DRAIN_S + SERVES_ON_S)
    leaving.close()
    record("ended", replica=leaving.name)
    await asyncio.sleep(AWAY_S - DRAIN_S - SERVES_ON_S)
    if is_troubled:
        store.come_back()
        record("store back")
    store.delete(f"servers/{leaving.name}")
    await asyncio.sleep(4.0)
    sender.cancel()
    await asyncio.gather(*tasks)
    store.close()
    return judge(record)


def judge(record):
    """Return the broken rules, as texts."""
    leaving = next(event for event in record.events if event["what"] == "leaving")
    name = leaving["replica"]
    sent = {event["id"]: event for event in record.events if event["what"] == "sent"}
    answered = {event["id"]: event for event in record.events if event["what"] == "answered"}
    runs = [each for each in record.events if each["what"] == "run" and each["replica"] == name]
    # When each machine had first passed on an answer of the replica that said so.
    heard = {}
    for event in runs:
        answer = answered.get(event["id"])
        if event["at"] > leaving["at"] and answer is not None and answer["status"] == 200:
            node = sent[event["id"]]["node"]
            heard[node] = min(heard.get(node, answer["at"]), answer["at"])
    late, lost = {}, 0
    for event in runs:
        node = sent[event["id"]]["node"]
        if sent[event["id"]]["at"] > heard.get(node, float("inf")) + DRAIN_S:
            late.setdefault(node, []).append(sent[event["id"]]["at"] - heard[node])
            status = answered.get(event["id"], {}).get("status")
            lost += status is None or status >= 500
    print(f"orders lost as the replica ended: {lost}")
    return [
        f"DRAIN: {node} sent {len(times)} orders to {name} later than {DRAIN_S} s after it had"
        f" passed on Server-Leaving, the last after {max(times):.1f} s"
        for node, times in sorted(late.items())
    ] + [f"{lost} of these orders ended without their answer when the replica ended"] * (lost > 0)


main(__file__, scenario)
