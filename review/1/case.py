"""Orders at replicas that are full at times; some of their answers come twice."""

import asyncio
import random

from standins.case import main
from standins.http import build, connect, read_message
from standins.nodes import make_nodes, start_all
from standins.replica import Replica
from standins.store import Store

HOST = "birou.example"
ZONES = ("ploiesti-a", "cluj-a", "iasi-a", "iasi-a")
# One-way delays of the sheet: 3.5 ms between zones, 12 ms between regions.
DELAY_S = 0.0035
# The doses of the site file: half of the servers, 0.04 of their answers, 5 s at a time.
SHARE = 0.5
X = 0.04
FOR_S = 5.0
PAUSE_S = 0.5
ROUNDS = 16
WARM_UP_S = 5.0
CLIENTS = 200
DEADLINE_MS = 4_000


def configuration(version):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
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


class Copies:
    """Second copies of answers, which arrive where the next answer is expected."""

    def __init__(self, record, rng):
        self.is_on = False
        self._record = record
        self._random = rng
        self._pending = {}

    def after_answer(self, replica, writer, data):
        """Keep a copy of some answers for later."""
        if self.is_on and self._random.random() < X:
            self._pending[writer] = data

    def before_request(self, replica, writer):
        """Write the copy that is kept for a connection, if any."""
        data = self._pending.pop(writer, None)
        if data is not None:
            self._record("copy", replica=replica.name, first=data[:40].decode())
            writer.write(data)


class Client:
    """Sends orders one after the other on a kept connection."""

    def __init__(self, name, address, record, rng):
        self._name = name
        self._address = address
        self._record = record
        self._random = rng

    async def run(self, until_s):
        """Send orders until a time of the event loop."""
        loop = asyncio.get_running_loop()
        number = 0
        connection = None
        while loop.time() < until_s:
            number += 1
            request_id = f"{self._name}-{number}"
            pause_s = self._random.uniform(0.02, 0.08)
            try:
                if connection is None:
                    connection = await connect(self._address)
                answer = await self._send(connection, request_id)
            except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
                self._record("no answer", id=request_id, error=repr(error))
                connection = None
                continue
            self._record("answered", id=request_id, status=answer.status)
            if answer.headers.get("connection") == "close":
                connection[1].close()
                connection = None
            if "retry-after" in answer.headers:
                pause_s = max(pause_s, float(answer.headers["retry-after"]))
            await asyncio.sleep(pause_s)
        if connection is not None:
            connection[1].close()

    async def _send(self, connection, request_id):
        headers = [
            ("Host", HOST),
            ("X-Auburnhollow-Request-Id", request_id),
            ("X-Auburnhollow-Deadline", DEADLINE_MS),
        ]
        self._record("sent", id=request_id)
        connection[1].write(build("POST /orders/jaw-7 HTTP/1.1", headers, request_id.encode()))
        return await asyncio.wait_for(read_message(connection[0]), DEADLINE_MS / 1000 + 1)


async def heartbeats(store, replicas):
    """Write the entries of all replicas, again and again."""
    while True:
        for replica in replicas:
            store.put(f"servers/{replica.name}", replica.entry())
        await asyncio.sleep(1.2)


async def scenario(record, folder, is_troubled, nodes):
    """Play the case and return the broken rules."""
    rng = random.Random()
    store = Store()
    await store.start()
    replicas = []
    copies = Copies(record, rng)
    for number, zone in enumerate(ZONES):
        replica = Replica(f"i-{number}", "orders", zone, record, slots=2, queue=1, delay_s=DELAY_S)
        replica.work_s = lambda _message: rng.uniform(0.01, 0.05)
        await replica.start()
        replicas.append(replica)
    faulty = replicas[: int(len(replicas) * SHARE)]
    for replica in faulty:
        replica.on_answer = copies.after_answer
        replica.before_request = copies.before_request
    store.put("op/config", configuration(3))
    beating = asyncio.create_task(heartbeats(store, replicas))
    await asyncio.sleep(0)
    nodes.extend(make_nodes(folder, store.address))
    await start_all(nodes)
    loop = asyncio.get_running_loop()
    until_s = loop.time() + WARM_UP_S + ROUNDS * (FOR_S + PAUSE_S)
    clients = []
    for number in range(CLIENTS):
        node = nodes[number % len(nodes)]
        client = Client(f"c{number}", node.front, record, rng)
        clients.append(asyncio.create_task(client.run(until_s)))
    await asyncio.sleep(WARM_UP_S)
    for _ in range(ROUNDS):
        copies.is_on = is_troubled
        record("extra copies" if is_troubled else "no copies", replicas=[r.name for r in faulty])
        await asyncio.sleep(FOR_S)
        copies.is_on = False
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*clients)
    await asyncio.sleep(1.0)
    beating.cancel()
    return judge(record)


def judge(record):
    """Return the broken rules, as texts."""
    runs, answers = {}, {}
    counts = {}
    for event in record.events:
        counts[event["what"]] = counts.get(event["what"], 0) + 1
        if event["what"] == "run":
            runs.setdefault(event["id"], []).append(event)
        if event["what"] == "answered":
            answers[event["id"]] = event
    record("counts", **counts)
    print(counts)
    broken = []
    for request_id, events in runs.items():
        if len(events) > 1:
            places = [(event["at"], event["replica"]) for event in events]
            broken.append(f"TWICE: {request_id} ran {len(events)} times: {places}")
        answer = answers.get(request_id)
        if answer is not None and answer["status"] in (408, 421, 429, 503):
            broken.append(f"REFUSED: {request_id} was answered {answer['status']} and ran")
    return broken


main(__file__, scenario)
