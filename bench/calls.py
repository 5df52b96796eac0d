"""CPU time of one replica call, compared with the bare HTTP client library.

Run as ``python -m bench calls``. Backend servers run in another process.
"""

import asyncio
import random
import time

import aiohttp
import orjson

from auburnhollow.backends import HttpBackendClient, ShardCall
from auburnhollow.clock import Clock
from auburnhollow.configuration import StoredConfiguration
from auburnhollow.identifiers import new_id
from auburnhollow_node.node import Node
from auburnhollow_node.settings import DEFAULTS, Settings
from auburnhollow_standins.fake_peers import FakePeers, Network
from auburnhollow_standins.fake_platform import FakeInstances, FakeStore, SharedStore
from auburnhollow_standins.virtual_fleet import make_document, make_search

from .results import fit_line, format_table, save_result
from .servers import running_servers

SHARD_COUNTS = (1, 10, 30, 100)
CALL_COUNT = 6_000
CONCURRENCY = 50
ROUNDS = 5
COLUMNS = ("way", "shards", "us_per_call", "us_per_query", "ratio")


def make_document_at(addresses):
    """Return a configuration document with one shard for each address."""
    document = make_document(shards=len(addresses), replicas=1, hedge_fraction=0)
    for server, address in zip(document["servers"], addresses, strict=True):
        server["address"] = address
    document["services"][0]["connections"] = 1_000
    return document


def new_node(document):
    """Return a node that calls servers over HTTP and has fakes for everything else."""
    clock = Clock()
    rng = random.Random(1)
    settings = Settings(
        **{
            **DEFAULTS,
            "id": "bench",
            "data_centre": "north",
            "host": "127.0.0.1",
            "port": 0,
            "peer_port": 0,
            "store": "http://store",
            "instances": "http://instances",
            "seed": 1,
            "admission_limit": 4_000,
        }
    )
    network = Network(rng)
    node = Node(
        settings,
        FakeStore(SharedStore(rng), clock),
        FakeInstances([]),
        HttpBackendClient("north"),
        lambda _metrics: FakePeers(network, "here", clock),
        clock,
    )
    stored = StoredConfiguration(
        number=1, change_id="bench", author="bench", note="", at_ms=0, document=document
    )
    node.membership.join(node.gossiper)
    node.configuration_holder.offer(stored.to_bytes(), "bench")
    return node


async def measure_bare_client(addresses, call_count):
    """Return the CPU seconds of ``call_count`` calls with the client library alone."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0, sock_read=2.0)

        async def send_call(address):
            call = _call()
            body = orjson.dumps(call.to_map())
            async with session.post(
                f"http://{address}/v1/shard", data=body, timeout=timeout
            ) as response:
                return orjson.loads(await response.read())

        async def send_calls(first):
            for number in range(first, call_count, CONCURRENCY):
                await send_call(addresses[number % len(addresses)])

        await send_calls(call_count - 200)
        started_cpu_s = time.process_time()
        await asyncio.gather(*(send_calls(first) for first in range(CONCURRENCY)))
        return time.process_time() - started_cpu_s


def _call():
    return ShardCall(
        request_id=new_id(),
        service="desk",
        shard="s0",
        version=1,
        deadline_ms=5_000.0,
        query={"text": "any"},
    )


async def measure_product(addresses, shards, call_count):
    """Return the CPU seconds of searches that make ``call_count`` calls, and their number."""
    node = new_node(make_document_at(addresses[:shards]))
    queries = max(1, call_count // shards)
    concurrency = max(1, CONCURRENCY // shards)

    async def run_searches(first):
        for _ in range(first, queries, concurrency):
            answer = await node.coordinator.search(make_search(deadline_ms=20_000.0))
            assert answer.coverage.is_complete

    await run_searches(queries - 2)
    started_cpu_s = time.process_time()
    await asyncio.gather(*(run_searches(first) for first in range(concurrency)))
    cpu_s = time.process_time() - started_cpu_s
    await node.components.backends.close()
    return cpu_s, queries


async def measure(shard_counts):
    """Return a row for the bare library and one for each number of shards."""
    rows = []
    async with running_servers(max(shard_counts), mean_ms=0.0) as addresses:
        best_bare = min([await measure_bare_client(addresses, CALL_COUNT) for _ in range(ROUNDS)])
        bare_us = best_bare / CALL_COUNT * 1e6
        rows.append({"way": "bare client", "shards": "", "us_per_call": bare_us, "ratio": 1.0})
        for shards in shard_counts:
            measurements = [
                await measure_product(addresses, shards, CALL_COUNT) for _ in range(ROUNDS)
            ]
            best_s, queries = min(measurements)
            us_per_query = best_s / queries * 1e6
            rows.append(
                {
                    "way": "product",
                    "shards": shards,
                    "us_per_call": us_per_query / shards,
                    "us_per_query": us_per_query,
                    "ratio": us_per_query / shards / bare_us,
                }
            )
    return rows


def run(shard_counts=SHARD_COUNTS):
    """Measure, print a table and save it."""
    rows = asyncio.run(measure(shard_counts))
    print(format_table(COLUMNS, rows))
    points = [(row["shards"], row["us_per_query"]) for row in rows if row["way"] == "product"]
    base, slope = fit_line(points)
    print(f"a query costs {base:.0f} us and {slope:.0f} us a shard")
    save_result("calls", {"rows": rows, "us_per_query": base, "us_per_shard": slope})
    return rows
