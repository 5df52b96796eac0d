"""Graceful shutdown: callers that connect or send while a node closes its last connections."""

import asyncio
import errno
import socket

import pytest
import uvloop

from auburnhollow_node.relay import server as serving
from auburnhollow_node.relay import sockets
from auburnhollow_node.relay.server import RelayServer
from auburnhollow_node.relay.sockets import listen

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LATER_S = 0.05
# Longer than any of these tests takes.
LONG_S = 10.0
LOOPS = pytest.mark.parametrize("run", [asyncio.run, uvloop.run])


async def app(_scope, _receive, send):
    await send(
        {"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"0")]}
    )
    await send({"type": "http.response.body", "body": b""})


class Caller:
    """A caller with a blocking socket, which sends without the event loop."""

    def __init__(self, address):
        self._socket = socket.create_connection(address)

    def send(self, data=REQUEST):
        self._socket.sendall(data)

    async def answer(self):
        """Return all bytes until the connection ends."""
        return await asyncio.to_thread(self._read)

    def _read(self):
        found = b""
        self._socket.settimeout(5)
        with self._socket:
            while data := self._socket.recv(4096):
                found += data
        return found


async def serve():
    """Return a server and its address."""
    server = RelayServer(app)
    opened = listen("127.0.0.1:0")
    await server.listen([opened])
    return server, opened.getsockname()


@LOOPS
def test_a_request_that_is_not_read_yet_is_answered(run):
    async def scenario():
        server, address = await serve()
        caller = Caller(address)
        caller.send()
        await server.stop()
        return await caller.answer()

    assert run(scenario()).startswith(b"HTTP/1.1 200")


@LOOPS
def test_a_new_connection_may_still_send_its_first_request(run, monkeypatch):
    monkeypatch.setattr(serving, "FIRST_REQUEST_TIMEOUT_S", LONG_S)

    async def scenario():
        server, address = await serve()
        caller = Caller(address)
        await asyncio.sleep(LATER_S)
        stopping = asyncio.create_task(server.stop())
        await asyncio.sleep(LATER_S)
        caller.send()
        await stopping
        return await caller.answer()

    answer = run(scenario())
    assert answer.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in answer


@LOOPS
def test_a_partly_received_request_is_answered(run):
    async def scenario():
        server, address = await serve()
        caller = Caller(address)
        caller.send(REQUEST[:10])
        await asyncio.sleep(LATER_S)
        stopping = asyncio.create_task(server.stop())
        await asyncio.sleep(LATER_S)
        caller.send(REQUEST[10:])
        await stopping
        return await caller.answer()

    assert run(scenario()).startswith(b"HTTP/1.1 200")


@LOOPS
def test_a_connection_without_a_request_is_closed_soon(run):
    async def scenario():
        server, address = await serve()
        caller = Caller(address)
        await asyncio.sleep(LATER_S)
        async with asyncio.timeout(LONG_S):
            await server.stop()
        return await caller.answer(), server.connections

    assert run(scenario()) == (b"", 0)


@LOOPS
def test_an_idle_connection_is_closed_at_once(run, monkeypatch):
    monkeypatch.setattr(serving, "FIRST_REQUEST_TIMEOUT_S", LONG_S)

    async def scenario():
        server, address = await serve()
        caller = Caller(address)
        caller.send()
        await asyncio.sleep(LATER_S)
        began_s = asyncio.get_running_loop().time()
        await server.stop()
        took_s = asyncio.get_running_loop().time() - began_s
        answer = await caller.answer()
        return answer, took_s

    answer, took_s = run(scenario())
    assert answer.count(b"HTTP/1.1 200") == 1
    assert took_s < LONG_S


@LOOPS
def test_no_connection_is_reset_after_the_kernel_accepted_it(run):
    def keep_calling(address):
        """Call until connections are refused; return the outcome of each call."""
        found = []
        while True:
            try:
                with socket.create_connection(address, timeout=0.5) as opened:
                    opened.sendall(REQUEST)
                    found.append(opened.recv(4096)[:12])
            except (TimeoutError, ConnectionRefusedError):
                return found
            except OSError as error:
                found.append(errno.errorcode[error.errno])

    async def scenario():
        server, address = await serve()
        server.close_after_answers()
        calling = [asyncio.create_task(asyncio.to_thread(keep_calling, address)) for _ in range(4)]
        await asyncio.sleep(LATER_S)
        await server.stop()
        return [each for found in await asyncio.gather(*calling) for each in found]

    assert set(run(scenario())) == {b"HTTP/1.1 200"}


def test_shutdown_works_without_socket_filters(monkeypatch):
    monkeypatch.setattr(sockets, "SO_ATTACH_FILTER", -1)

    async def scenario():
        server, address = await serve()
        caller = Caller(address)
        caller.send()
        await server.stop()
        return await caller.answer(), server.connections

    answer, connections = asyncio.run(scenario())
    assert answer.startswith(b"HTTP/1.1 200")
    assert connections == 0
