"""The server tells the first request of a connection, whose caller had to connect, from others."""

import asyncio

from auburnhollow_node.relay.server import RelayServer
from auburnhollow_node.relay.sockets import listen

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER_END = b"\r\n\r\n"


def test_only_the_first_request_of_a_connection_is_marked():
    found = []

    async def app(scope, _receive, send):
        found.append(scope["is_first_request"])
        await send(
            {"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"0")]}
        )
        await send({"type": "http.response.body", "body": b""})

    async def scenario():
        server = RelayServer(app)
        opened = listen("127.0.0.1:0")
        await server.listen([opened])
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*opened.getsockname())
            for _ in range(2):
                writer.write(REQUEST)
                await reader.readuntil(ANSWER_END)
            writer.close()
        await server.stop()

    asyncio.run(scenario())
    assert found == [True, False, True, False]
