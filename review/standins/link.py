"""The link of one node to one replica, which can be cut."""

import asyncio
import socket
import struct

from .http import address_of, connect


class Link:
    """Forwards connections to ``address`` until it is cut.

    A cut resets the open connections, and new ones are refused until it heals.
    """

    def __init__(self, address):
        self._target = address
        self._server = None
        self._tasks = set()
        self._writers = set()
        self.address = None

    async def start(self, port=0):
        """Listen on a loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.address = address_of(self._server)

    def cut(self):
        """Refuse new connections and reset the open ones."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def heal(self):
        """Accept connections again, on the same port."""
        await self.start(int(self.address.rpartition(":")[2]))

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            far_reader, far_writer = await connect(self._target)
        except (TimeoutError, OSError):
            self._writers.discard(writer)
            reset(writer)
            return
        self._writers.add(far_writer)
        try:
            await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        finally:
            for each in (writer, far_writer):
                self._writers.discard(each)
                each.close()


async def _copy(reader, writer):
    try:
        while data := await reader.read(65_536):
            writer.write(data)
            await writer.drain()
    except OSError:
        reset(writer)
        return
    writer.close()


def reset(writer):
    """Reset a connection, rather than close it."""
    opened = writer.get_extra_info("socket")
    if opened is not None and not writer.transport.is_closing():
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
