"""Promise: each caller gets the whole answer to its own request."""

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


def shard_call(request_id="r1", deadline_ms=5_000.0):
    return ShardCall(
        request_id=request_id,
        service="desk",
        shard="s",
        version=3,
        deadline_ms=deadline_ms,
        query={"text": "any"},
    )


def answer_to(call, **changes):
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


def http(body, status=200, length=None):
    size = len(body) if length is None else length
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, size) + body


# What the server sends for a call, and the error that must come of it.
ANSWERS = [
    ("another request's", lambda call: http(answer_to(call, request_id="r0")), BackendMismatch),
    ("another shard's", lambda call: http(answer_to(call, shard="t")), BackendMismatch),
    ("another version's", lambda call: http(answer_to(call, version=2)), BackendMismatch),
    ("cut JSON", lambda call: http(answer_to(call)[:-5]), BackendMismatch),
    ("not JSON", lambda call: http(b"<html>"), BackendMismatch),
    ("a list", lambda call: http(b"[]"), BackendMismatch),
    ("a field less", lambda call: http(b'{"request_id":"r1"}'), BackendMismatch),
    ("rows not a list", lambda call: http(answer_to(call, rows=5)), BackendMismatch),
    ("a row without id", lambda call: http(answer_to(call, rows=[{}])), BackendMismatch),
    ("shorter than said", lambda call: http(answer_to(call), length=9_999), BackendCut),
    ("nothing", lambda call: b"", BackendCut),
    ("half a header", lambda call: b"HTTP/1.1 200", BackendCut),
    ("not HTTP", lambda call: b"garbage\r\n\r\n", BackendCut),
    ("a fault", lambda call: http(b'{"detail":"x"}', 500), BackendFault),
    ("a refusal of another request", lambda call: http(b'{"request_id":"x"}', 503), BackendFault),
    (
        "a refusal",
        lambda call: http(b'{"request_id":"r1","refused":"draining","incarnation":4}', 503),
        BackendRefused,
    ),
    ("no version", lambda call: http(b'{"request_id":"r1","held":[1]}', 409), BackendLacksVersion),
]


class RawServer:
    """Sends what the test says, byte by byte."""

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


async def call_raw(raw, *calls, silent_ms=SILENT_MS):
    server = await raw.start()
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
        raw.server.close()
    return results


@pytest.mark.parametrize(("name", "reply", "expected"), ANSWERS, ids=[row[0] for row in ANSWERS])
def test_what_is_not_the_whole_answer_is_an_error(name, reply, expected):
    (result,) = asyncio.run(call_raw(RawServer(reply), shard_call()))
    assert type(result) is expected
    is_refusal = expected in (BackendRefused, BackendLacksVersion)
    assert (result.ran is Ran.NO) is is_refusal


def test_a_late_answer_on_a_reused_connection_is_not_taken_for_another():
    """The server answers each call with the answer to the one before."""
    before = []

    def reply(call):
        before.append(call)
        return http(answer_to(before[max(0, len(before) - 2)]))

    calls = [shard_call("r1"), shard_call("r2"), shard_call("r3")]
    first, second, third = asyncio.run(call_raw(RawServer(reply, closes=False), *calls))
    assert first.request_id == "r1"
    assert type(second) is type(third) is BackendMismatch


def test_a_connection_that_timed_out_is_not_used_again():
    replies = [None, lambda call: http(answer_to(call))]

    def reply(call):
        step = replies.pop(0)
        return None if step is None else step(call)

    raw = RawServer(reply, closes=False)
    calls = [shard_call("r1", deadline_ms=50.0), shard_call("r2")]
    first, second = asyncio.run(call_raw(raw, *calls, silent_ms=5_000.0))
    assert type(first) is BackendTimeout
    assert second.request_id == "r2"
    assert raw.connections == 2


def test_a_silent_connection_is_dropped_and_the_next_call_opens_a_new_one():
    replies = [lambda call: http(answer_to(call)), None, lambda call: http(answer_to(call))]

    def reply(call):
        step = replies.pop(0)
        return None if step is None else step(call)

    raw = RawServer(reply, closes=False)
    calls = [shard_call("r1"), shard_call("r2"), shard_call("r3")]
    first, second, third = asyncio.run(call_raw(raw, *calls))
    assert first.request_id == "r1"
    assert type(second) is BackendSilent
    assert third.request_id == "r3"
    assert raw.connections == 2


def test_a_server_that_takes_no_new_connection_has_died():
    raw = RawServer(lambda call: b"")

    def reply(_call):
        raw.server.close()
        return b""

    raw.reply = reply
    (result,) = asyncio.run(call_raw(raw, shard_call()))
    assert type(result) is BackendDied
    assert result.ran is Ran.UNKNOWN


def test_a_refused_connection_is_not_run():
    async def run():
        server = Server(id="none", address="127.0.0.1:9", data_centre="here", labels={})
        client = HttpBackendClient("here")
        order = OrderCall(request_id="r", service="desk", deadline_ms=500.0, order={})
        with pytest.raises(BackendUnreachable) as caught:
            await client.call(server, order, SILENT_MS)
        await client.close()
        assert caught.value.ran is Ran.NO

    asyncio.run(run())
