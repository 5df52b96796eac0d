"""Just enough HTTP/1.1 for the stand-ins; only the standard library is needed."""

import asyncio


class Message:
    """A request or response: first line, headers by lower-case name, and body."""

    __slots__ = ("body", "first", "headers")

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def status(self):
        """The status of a response."""
        return int(self.first.split(" ", 2)[1])


async def read_head(reader):
    """Read a first line and headers.

    :raises asyncio.IncompleteReadError: when the connection ends within them.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_message(reader):
    """Read a message whose body has a length or comes in chunks."""
    first, headers = await read_head(reader)
    if headers.get("transfer-encoding", "").lower() != "chunked":
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return Message(first, headers, body)
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if size == 0:
            return Message(first, headers, body)


def build(first, headers=(), body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def address_of(server):
    """Return the ``host:port`` that an asyncio server listens on."""
    host, port = server.sockets[0].getsockname()[:2]
    return f"{host}:{port}"


async def connect(address, timeout_s=1.0):
    """Open a connection to ``host:port`` within ``timeout_s`` seconds."""
    host, _, port = address.rpartition(":")
    return await asyncio.wait_for(asyncio.open_connection(host, int(port)), timeout_s)
