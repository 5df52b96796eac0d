"""Each call gets the complete answer to its own request, or an error."""

import asyncio

import orjson
import pytest

from auburnhollow.backends import HttpBackendClient, OrderCall, ShardCall
from auburnhollow.configuration import Server
from auburnhollow.exceptions import (
    BackendCut,
    BackendDied,
    BackendError,
    BackendFault,
    BackendLacksVersion,
    BackendMismatch,
    BackendRefused,
    BackendSilent,
    BackendTimeout,
    BackendUnreachable,
    Ran,
)

SILENT_MS = 1_000.0
CLOSE_TIMEOUT_S = 5.0


def shard_call(request_id="r1", deadline_ms=5_000.0):
    return ShardCall(
        request_id=request_id,
        service="desk",
        shard="s",
        version=3,
        deadline_ms=deadline_ms,
        query={"text": "any"},
    )


def answer_body(call, **changes):
    body = {
        "request_id": call["request_id"],
        "shard": call["shard"],
        "version": call["version"],
        "rows": [{"id": "a", "score": 1.0}],
        "partial": False,
        "load": 0,
        "incarnation": 1,
    }
    return orjson.dumps({**body, **changes})


def http_response(body, status=200, length=None):
    size = len(body) if length is None else length
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, size) + body


# What the server sends for a call, and the expected error.
ANSWERS = [
    (
        "another request's",
        lambda call: http_response(answer_body(call, request_id="r0")),
        BackendMismatch,
    ),
    ("another shard's", lambda call: http_response(answer_body(call, shard="t")), BackendMismatch),
    (
        "another version's",
        lambda call: http_response(answer_body(call, version=2)),
        BackendMismatch,
    ),
    ("truncated JSON", lambda call: http_response(answer_body(call)[:-5]), BackendMismatch),
    ("not JSON", lambda call: http_response(b"<html>"), BackendMismatch),
    ("a list", lambda call: http_response(b"[]"), BackendMismatch),
    ("a missing field", lambda call: http_response(b'{"request_id":"r1"}'), BackendMismatch),
    ("rows not a list", lambda call: http_response(answer_body(call, rows=5)), BackendMismatch),
    ("a row without id", lambda call: http_response(answer_body(call, rows=[{}])), BackendMismatch),
    (
        "shorter than its Content-Length",
        lambda call: http_response(answer_body(call), length=9_999),
        BackendCut,
    ),
    ("nothing", lambda call: b"", BackendCut),
    ("half a header", lambda call: b"HTTP/1.1 200", BackendCut),
    ("not HTTP", lambda call: b"garbage\r\n\r\n", BackendCut),
    ("a fault", lambda call: http_response(b'{"detail":"x"}', 500), BackendFault),
    (
        "a refusal of another request",
        lambda call: http_response(b'{"request_id":"x"}', 503),
        BackendFault,
    ),
    (
        "a refusal",
        lambda call: http_response(
            b'{"request_id":"r1","refused":"draining","incarnation":4}', 503
        ),
        BackendRefused,
    ),
    (
        "a version that is not held",
        lambda call: http_response(b'{"request_id":"r1","held":[1]}', 409),
        BackendLacksVersion,
    ),
]


class RawServer:
    """Sends the bytes that ``reply`` returns for a call; ``None`` means no answer."""

    def __init__(self, reply, closes=True):
        self.reply = reply
        self.closes = closes
        self.connections = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        return Server(id="raw", address=f"127.0.0.1:{port}", data_centre="here", labels={})

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
                call = orjson.loads(await reader.readexactly(size))
                data = self.reply(call)
                if data is None:
                    await asyncio.sleep(60)
                writer.write(data)
                await writer.drain()
                if self.closes:
                    return
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.close()


async def send_calls(raw_server, *calls, silent_ms=SILENT_MS):
    server = await raw_server.start()
    client = HttpBackendClient("here")
    results = []
    try:
        for call in calls:
            try:
                results.append(await client.call(server, call, silent_ms))
            except BackendError as error:
                results.append(error)
    finally:
        await client.close()
        raw_server.server.close()
    return results


@pytest.mark.parametrize(("name", "reply", "expected"), ANSWERS, ids=[row[0] for row in ANSWERS])
def test_an_incomplete_or_foreign_answer_is_an_error(name, reply, expected):
    (result,) = asyncio.run(send_calls(RawServer(reply), shard_call()))
    assert type(result) is expected
    is_refusal = expected in (BackendRefused, BackendLacksVersion)
    assert (result.ran is Ran.NO) is is_refusal


def test_an_answer_that_ends_in_its_head_is_an_error_wherever_it_ends():
    whole = http_response(b"{}")
    results = []
    for length in range(whole.index(b"\r\n\r\n") + 4):
        raw_server = RawServer(lambda call, length=length: whole[:length])
        results += asyncio.run(send_calls(raw_server, shard_call()))
    assert {type(result) for result in results} == {BackendCut}


def test_a_late_answer_on_a_reused_connection_is_rejected():
    """The server answers each call with the answer to the previous one."""
    previous_calls = []

    def reply(call):
        previous_calls.append(call)
        return http_response(answer_body(previous_calls[max(0, len(previous_calls) - 2)]))

    calls = [shard_call("r1"), shard_call("r2"), shard_call("r3")]
    first, second, third = asyncio.run(send_calls(RawServer(reply, closes=False), *calls))
    assert first.request_id == "r1"
    assert type(second) is type(third) is BackendMismatch


def test_a_connection_that_timed_out_is_not_reused():
    replies = [None, lambda call: http_response(answer_body(call))]

    def reply(call):
        make_reply = replies.pop(0)
        return None if make_reply is None else make_reply(call)

    raw_server = RawServer(reply, closes=False)
    calls = [shard_call("r1", deadline_ms=50.0), shard_call("r2")]
    first, second = asyncio.run(send_calls(raw_server, *calls, silent_ms=5_000.0))
    assert type(first) is BackendTimeout
    assert second.request_id == "r2"
    assert raw_server.connections == 2


def test_a_silent_connection_is_dropped_and_the_next_call_opens_a_new_one():
    replies = [
        lambda call: http_response(answer_body(call)),
        None,
        lambda call: http_response(answer_body(call)),
    ]

    def reply(call):
        make_reply = replies.pop(0)
        return None if make_reply is None else make_reply(call)

    raw_server = RawServer(reply, closes=False)
    calls = [shard_call("r1"), shard_call("r2"), shard_call("r3")]
    first, second, third = asyncio.run(send_calls(raw_server, *calls))
    assert first.request_id == "r1"
    assert type(second) is BackendSilent
    assert third.request_id == "r3"
    assert raw_server.connections == 2


def test_a_server_that_refuses_new_connections_has_died():
    raw_server = RawServer(lambda call: b"")

    def reply(_call):
        raw_server.server.close()
        return b""

    raw_server.reply = reply
    (result,) = asyncio.run(send_calls(raw_server, shard_call()))
    assert type(result) is BackendDied
    assert result.ran is Ran.UNKNOWN


def test_a_call_whose_connection_is_refused_did_not_run():
    async def run():
        server = Server(id="none", address="127.0.0.1:9", data_centre="here", labels={})
        client = HttpBackendClient("here")
        order = OrderCall(request_id="r", service="desk", deadline_ms=500.0, order={})
        with pytest.raises(BackendUnreachable) as caught:
            await client.call(server, order, SILENT_MS)
        await client.close()
        assert caught.value.ran is Ran.NO

    asyncio.run(run())


@pytest.mark.parametrize(
    "start, piece",
    [
        (b"", b"x" * 65_536),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 5_000),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n", b"x" * 65_536),
        (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", b"x" * 65_536),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"10000\r\n" + b"x" * 65_536 + b"\r\n",
        ),
    ],
    ids=["status line", "headers", "length", "no length", "chunks"],
)
def test_an_answer_without_end_is_cut_and_fails(start, piece):
    sent = []
    handlers = []

    async def serve(reader, writer):
        handlers.append(asyncio.current_task())
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(start)
            while True:
                writer.write(piece)
                sent.append(len(piece))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.transport.abort()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = HttpBackendClient("cluj")
        try:
            target = Server(id="a", address=f"{host}:{port}", data_centre="cluj", labels={})
            with pytest.raises(BackendCut):
                await client.call(target, shard_call(), SILENT_MS)
        finally:
            await client.close()
            server.close()
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await asyncio.gather(*handlers)

    asyncio.run(run())
    assert sum(sent) < 32 * 1024 * 1024
