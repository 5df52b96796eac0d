"""Nodes as processes under kills, freezes, disconnects, malformed input and shutdown."""

import asyncio
import signal
import socket

import aiohttp
import orjson
import pytest

from auburnhollow.exceptions import QueryError, Ran
from auburnhollow.sessions import AsyncSession, new_key
from auburnhollow_standins.deployments import CO_OPERATIVE, FRANCHISE
from auburnhollow_standins.fleet import running_fleet

QUICK = {"linger_ms": 300}


async def status_of(fleet, node):
    async with fleet.session.get(node.url + "/operator/status") as response:
        return orjson.loads(await response.read())


async def wait_until(check, tries=200):
    """Poll until ``check`` holds; the time limit is far above any expected duration."""
    for _ in range(tries):
        if await check():
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the condition did not hold in time")


def test_a_graceful_shutdown_under_load_fails_no_request():
    async def run():
        async with running_fleet(FRANCHISE, nodes=2, settings={"linger_ms": 1_000}) as fleet:
            leaving, staying = fleet.nodes
            stop = asyncio.Event()
            outcomes = []

            async def caller(number):
                """Send to the leaving node until ``stop`` is set, as a lagging balancer does."""
                async with aiohttp.ClientSession() as session:
                    while not stop.is_set():
                        outcomes.append(await one_request(session, leaving, number))

            callers = [asyncio.create_task(caller(number)) for number in range(8)]
            await asyncio.sleep(0.5)
            leaving.send(signal.SIGTERM)
            # The balancer keeps sending for a while, and stops before ``linger_ms`` has passed.
            await asyncio.sleep(0.5)
            stop.set()
            await asyncio.gather(*callers)
            assert await leaving.process.wait() == 0
            assert set(outcomes) == {200}
            assert len(outcomes) > 20

            async def has_left():
                members = (await status_of(fleet, staying))["members"]
                return {member["id"]: member["state"] for member in members}[leaving.id] == "left"

            await wait_until(has_left)

    asyncio.run(run())


async def one_request(session, node, number):
    if number % 2:
        body = {"service": "booking-desk", "query": {"text": "jaw"}, "deadline_ms": 20_000}
        url, headers = node.url + "/v1/search", {}
    else:
        body = {"service": "booking-desk", "order": {"n": number}, "deadline_ms": 20_000}
        url, headers = node.url + "/v1/orders", {"Idempotency-Key": new_key()}
    async with session.post(url, data=orjson.dumps(body), headers=headers) as response:
        answer = orjson.loads(await response.read())
        if response.status != 200:
            return answer
        return response.status


def test_orders_in_flight_when_a_node_is_killed_run_at_most_once():
    async def run():
        async with running_fleet(CO_OPERATIVE, nodes=3, settings=QUICK) as fleet:
            urls = [node.url for node in fleet.nodes]
            keys = [new_key() for _ in range(40)]
            results = []

            async def caller(key):
                async with AsyncSession(urls, caller="c", patience_ms=20_000) as session:
                    try:
                        answer = await session.order("press-orders", {"key": key}, key=key)
                        results.append((key, Ran.YES, answer.status))
                    except QueryError as error:
                        results.append((key, error.ran, error.code))

            callers = [asyncio.create_task(caller(key)) for key in keys]
            await asyncio.sleep(0.05)
            fleet.nodes[0].send(signal.SIGKILL)
            await asyncio.gather(*callers)
            runs = {}
            for backend in fleet.backends.values():
                for order in backend.orders:
                    runs[order["key"]] = runs.get(order["key"], 0) + 1
            assert max(runs.values()) == 1
            for key, ran, _ in results:
                if ran is Ran.YES:
                    assert runs[key] == 1
                if ran is Ran.NO:
                    assert key not in runs

    asyncio.run(run())


def test_a_frozen_node_is_declared_dead_and_rejoins():
    async def run():
        async with running_fleet(FRANCHISE, nodes=3, settings=QUICK) as fleet:
            frozen, observer = fleet.nodes[0], fleet.nodes[1]

            async def state():
                members = (await status_of(fleet, observer))["members"]
                return {member["id"]: member["state"] for member in members}.get(frozen.id)

            async def is_alive():
                return await state() == "alive"

            async def is_dead():
                return await state() == "dead"

            await wait_until(is_alive)
            frozen.send(signal.SIGSTOP)
            await wait_until(is_dead, tries=1200)
            frozen.send(signal.SIGCONT)
            await wait_until(is_alive, tries=1200)

    asyncio.run(run())


GARBAGE = [
    b"GET / HTTP/1.1\r\n\r\n",
    b"\xc1" * 64,
    b"\x93\xa4none\x00\x90",
    b"\xdd\xff\xff\xff\xff",
]


def test_garbage_on_the_peer_port_is_rejected_and_counted_and_the_node_keeps_serving():
    async def run():
        async with running_fleet(FRANCHISE, nodes=1, settings=QUICK) as fleet:
            node = fleet.nodes[0]
            host, _, port = node.peer_address.rpartition(":")
            for data in GARBAGE:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                writer.write_eof()
                assert await reader.read() == b""
                writer.close()
            counts = (await status_of(fleet, node))["counts"]
            assert counts["peers.garbage"] >= 3
            async with AsyncSession(node.url) as session:
                assert (await session.search("booking-desk", {"text": "jaw"})).complete

    asyncio.run(run())


# Body, headers and the expected status.
BODIES = [
    (b"{", {}, 400),
    (b"[]", {}, 400),
    (b"\xff\xfe", {}, 400),
    (b"", {}, 400),
    (b'{"query":{}}', {}, 400),
    (b'{"query":{},"service":"booking-desk","extra":1}', {}, 400),
    (b'{"query":{"text":"' + b"x" * 300_000 + b'"},"service":"booking-desk"}', {}, 413),
    (b'{"query":{},"service":"booking-desk","selector":{"half":"none"}}', {}, 404),
    (b'{"query":{},"service":"nowhere"}', {}, 404),
]


@pytest.mark.parametrize("path", ["/v1/search", "/v1/check"])
def test_malformed_bodies_get_a_problem_document(path):
    async def run():
        async with running_fleet(FRANCHISE, nodes=1, settings=QUICK) as fleet:
            url = fleet.nodes[0].url
            for body, headers, status in BODIES:
                async with fleet.session.post(url + path, data=body, headers=headers) as response:
                    problem = orjson.loads(await response.read())
                    assert response.status == status, problem
                    assert response.content_type == "application/problem+json"
                    assert problem["ran"] == "no"
            async with fleet.session.get(url + "/nowhere") as response:
                assert response.status == 404
                assert orjson.loads(await response.read())["status"] == 404

    asyncio.run(run())


def test_an_incomplete_request_times_out_and_the_node_keeps_serving():
    async def run():
        async with running_fleet(FRANCHISE, nodes=1, settings={"body_ms": 300}) as fleet:
            node = fleet.nodes[0]
            port = int(node.url.rpartition(":")[2])
            head = b"POST /v1/search HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"
            slow_reader, slow_writer = await asyncio.open_connection("127.0.0.1", port)
            slow_writer.write(head)
            assert b"408" in await slow_reader.readline()
            slow_writer.close()
            with socket.create_connection(("127.0.0.1", port)) as cut:
                cut.sendall(head)
            async with AsyncSession(node.url) as session:
                assert (await session.search("booking-desk", {"text": "jaw"})).complete

    asyncio.run(run())


def test_a_disconnect_cancels_a_search_but_not_an_order():
    async def run():
        behaviour = {"mean_ms": 3_000.0}
        async with running_fleet(FRANCHISE, nodes=1, behaviour=behaviour, settings=QUICK) as fleet:
            node = fleet.nodes[0]
            fleet.document["services"][0]["policy"]["silent_ms"] = 60_000
            await fleet.repository.change(fleet.document, base=1, author="test", note="patience")

            async def is_in_force():
                return (await status_of(fleet, node))["revision"] == 2

            await wait_until(is_in_force)
            port = int(node.url.rpartition(":")[2])
            search = {"service": "booking-desk", "query": {}, "deadline_ms": 60_000}
            order = {"service": "booking-desk", "order": {"n": 1}, "deadline_ms": 60_000}
            for path, body in (("/v1/search", search), ("/v1/orders", order)):
                data = orjson.dumps(body)
                head = (
                    f"POST {path} HTTP/1.1\r\nHost: x\r\nIdempotency-Key: {new_key()}\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(head.encode() + data)

                async def has_arrived(body=body):
                    counts = [backend.counts["ran"] for backend in fleet.backends.values()]
                    return sum(counts) >= (10 if body is search else 11)

                await wait_until(has_arrived)
                writer.close()

                async def is_cancelled():
                    counts = [backend.counts["cancelled"] for backend in fleet.backends.values()]
                    return sum(counts) >= 10

                await wait_until(is_cancelled)

            async def has_ended():
                async with fleet.session.get(node.url + "/operator/events") as response:
                    events = orjson.loads(await response.read())["events"]
                return any(
                    event["kind"] == "order-ended" and event["details"]["state"] == "done"
                    for event in events
                )

            await wait_until(has_ended, tries=1200)

    asyncio.run(run())


def test_a_fleet_keeps_serving_while_the_store_is_down_and_a_new_node_joins():
    async def run():
        async with running_fleet(FRANCHISE, nodes=2, settings=QUICK) as fleet:
            fleet.store.faults.down = True
            new_node = await fleet.add_node("fresh", "cluj")
            await fleet.wait_ready(new_node)
            status = await status_of(fleet, new_node)
            assert status["revision"] == 1
            assert status["revision_from"] == "peer"
            async with AsyncSession(new_node.url, patience_ms=0) as session:
                assert (await session.search("booking-desk", {"text": "jaw"})).complete
                with pytest.raises(QueryError) as caught:
                    await session.order("booking-desk", {"machine": 1})
                assert caught.value.ran is Ran.NO
                assert caught.value.retry_after_ms > 0

    asyncio.run(run())
