"""What other nodes reach."""

import asyncio
import logging
from contextlib import aclosing

from ..exceptions import AuburnhollowError, ProtocolError
from .codec import NO_ANSWER, READ_BYTES, Cancel, Done, Failure, feed, new_unpacker, pack

log = logging.getLogger("peers")

# Questions of one connection that are answered at a time; more wait unread.
MOST_IN_PROGRESS = 256


def _cancel(answers, number):
    """Cancel the tasks that answer the question ``number``."""
    for task, asked in list(answers.items()):
        if asked == number:
            task.cancel()


class PeerServer:
    """Takes messages from other nodes, one task for each connection.

    :param metrics: :class:`~auburnhollow.metrics.Metrics`.

    >>> server.on(Ping, handle_ping)
    >>> await server.start("10.0.0.5", 8100)
    """

    __slots__ = ("_handlers", "_metrics", "_server", "_streams", "_tasks")

    def __init__(self, metrics):
        self._handlers = {}
        self._streams = {}
        self._metrics = metrics
        self._server = None
        self._tasks = set()

    def on(self, message_type, handler):
        """Let ``handler`` answer messages of one type.

        :param handler: coroutine function of the message that returns the answer or ``None``.
        """
        self._handlers[message_type] = handler

    def on_stream(self, message_type, handler):
        """Let ``handler`` answer messages of one type several times.

        :param handler: asynchronous generator function of the message that yields the answers; it
            is closed when the asker wants no more.
        """
        self._streams[message_type] = handler

    async def start(self, host, port):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def start_on(self, bound):
        """Listen on a socket that has an address already."""
        self._server = await asyncio.start_server(self._serve, sock=bound)

    async def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def handle(self, message):
        """Return the answer to one message."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return Failure(text=f"{type(message).__name__} is not taken here")
        try:
            return await handler(message) or Done()
        except AuburnhollowError as error:
            return Failure(text=f"{type(error).__name__}: {error}")

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        answers = {}
        try:
            await self._read(reader, writer, answers)
        except ProtocolError as error:
            self._metrics.incr("peers.garbage")
            log.warning("peers: closed a connection from outside: %s", error)
        except OSError:
            self._metrics.incr("peers.lost")
        except asyncio.CancelledError:
            # The server closes: end quietly, the caller of close() waits for nothing.
            log.debug("peers: connection closed")
        finally:
            self._tasks.discard(task)
            for answer in answers:
                answer.cancel()
            writer.close()

    async def _read(self, reader, writer, answers):
        unpacker = new_unpacker()
        while data := await reader.read(READ_BYTES):
            self._metrics.incr("peers.received_bytes", len(data))
            for message, number in feed(unpacker, data):
                self._metrics.incr("peers.received")
                if isinstance(message, Cancel):
                    _cancel(answers, message.number)
                    continue
                while len(answers) >= MOST_IN_PROGRESS:
                    await asyncio.wait(answers, return_when=asyncio.FIRST_COMPLETED)
                answer = asyncio.create_task(self._answer(writer, message, number))
                answers[answer] = number
                answer.add_done_callback(answers.pop)

    async def _answer(self, writer, message, number):
        handler = self._streams.get(type(message))
        if handler is None:
            await self._send(writer, await self.handle(message), number)
            return
        try:
            async with aclosing(handler(message)) as answers:
                async for answer in answers:
                    await self._send(writer, answer, number)
        except AuburnhollowError as error:
            await self._send(writer, Failure(text=f"{type(error).__name__}: {error}"), number)

    async def _send(self, writer, answer, number):
        if number == NO_ANSWER or writer.is_closing():
            return
        data = pack(answer, number)
        self._metrics.incr("peers.sent_bytes", len(data))
        writer.write(data)
        try:
            await writer.drain()
        except OSError:
            self._metrics.incr("peers.lost")
