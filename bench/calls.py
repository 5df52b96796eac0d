"""Processor time of one replica call: the product beside the bare client library.

Run as ``python -m bench calls``. Backend servers run in another process.
"""

import asyncio
import random
import time

import aiohttp
import orjson

from auburnhollow.backends import HttpBackendClient, ShardCall
from auburnhollow.clock import Clock
from auburnhollow.configuration import Stored
from auburnhollow.identifiers import new_id
from auburnhollow_node.node import Node
from auburnhollow_node.settings import DEFAULTS, Settings
from auburnhollow_standins.fake_peers import FakePeers, Network
from auburnhollow_standins.fake_platform import FakeInstances, FakeStore, SharedStore
from auburnhollow_standins.virtual_fleet import make_document, make_search

from .results import save, slope_of, table
from .servers import serving

SHARDS = (1, 10, 30, 100)
CALLS = 6_000
TOGETHER = 50
ROUNDS = 5
COLUMNS = ("way", "shards", "us_per_call", "us_per_query", "ratio")


def document_at(addresses):
    """Return a configuration with one shard an address."""
    document = make_document(shards=len(addresses), replicas=1, hedge_fraction=0)
    for server, address in zip(document["servers"], addresses, strict=True):
        server["address"] = address
    document["services"][0]["connections"] = 1_000
    return document


def new_node(document):
    """Return a node that calls real servers and has fakes for everything else."""
    clock = Clock()
    seeded = random.Random(1)
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
    network = Network(seeded)
    node = Node(
        settings,
        FakeStore(SharedStore(seeded), clock),
        FakeInstances([]),
        HttpBackendClient("north"),
        lambda _metrics: FakePeers(network, "here", clock),
        clock,
    )
    stored = Stored(
        number=1, change_id="bench", author="bench", note="", at_ms=0, document=document
    )
    node.membership.join(node.gossiper)
    node.keeper.offer(stored.to_bytes(), "bench")
    return node


async def bare(addresses, calls):
    """Return processor seconds for ``calls`` calls with the client library alone."""
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0, sock_read=2.0)

        async def one(address):
            call = _call()
            body = orjson.dumps(call.to_map())
            async with session.post(
                f"http://{address}/v1/shard", data=body, timeout=timeout
            ) as response:
                return orjson.loads(await response.read())

        async def many(place):
            for number in range(place, calls, TOGETHER):
                await one(addresses[number % len(addresses)])

        await many(calls - 200)
        started_s = time.process_time()
        await asyncio.gather(*(many(place) for place in range(TOGETHER)))
        return time.process_time() - started_s


def _call():
    return ShardCall(
        request_id=new_id(),
        service="desk",
        shard="s0",
        version=1,
        deadline_ms=5_000.0,
        query={"text": "any"},
    )


async def product(addresses, shards, calls):
    """Return processor seconds for searches that make ``calls`` calls."""
    node = new_node(document_at(addresses[:shards]))
    queries = max(1, calls // shards)
    together = max(1, TOGETHER // shards)

    async def many(place):
        for _ in range(place, queries, together):
            answer = await node.coordinator.search(make_search(deadline_ms=20_000.0))
            assert answer.coverage.is_complete

    await many(queries - 2)
    started_s = time.process_time()
    await asyncio.gather(*(many(place) for place in range(together)))
    spent_s = time.process_time() - started_s
    await node.tier.backends.close()
    return spent_s, queries


async def measure(shard_counts):
    """Return a row for the bare library and for each number of shards."""
    rows = []
    async with serving(max(shard_counts), mean_ms=0.0) as addresses:
        best_bare = min([await bare(addresses, CALLS) for _ in range(ROUNDS)])
        bare_us = best_bare / CALLS * 1e6
        rows.append({"way": "bare client", "shards": "", "us_per_call": bare_us, "ratio": 1.0})
        for shards in shard_counts:
            spent = [await product(addresses, shards, CALLS) for _ in range(ROUNDS)]
            best_s, queries = min(spent)
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


def run(shard_counts=SHARDS):
    """Measure, print a table and save it."""
    rows = asyncio.run(measure(shard_counts))
    print(table(COLUMNS, rows))
    points = [(row["shards"], row["us_per_query"]) for row in rows if row["way"] == "product"]
    base, slope = slope_of(points)
    print(f"a query costs {base:.0f} us and {slope:.0f} us a shard")
    save("calls", {"rows": rows, "us_per_query": base, "us_per_shard": slope})
    return rows
