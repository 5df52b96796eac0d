"""Server side of the connections between nodes."""

import asyncio
import logging
from contextlib import aclosing, asynccontextmanager

from ..clock import Clock
from ..exceptions import AuburnhollowError, ProtocolError
from .codec import NO_ANSWER_EXPECTED, READ_BYTES, Cancel, Done, Failure, feed, new_unpacker, pack
from .turns import AnswerTurns

log = logging.getLogger("peers")

# Requests of one connection handled concurrently; further ones stay unread.
MAX_IN_PROGRESS = 256
BUSY = Failure(text="this node sends too many large answers")


def _cancel(answer_tasks, number):
    """Cancel the tasks that answer request ``number``."""
    for task, request_number in list(answer_tasks.items()):
        if request_number == number:
            task.cancel()


class PeerServer:
    """Receives messages from other nodes and sends the answers of registered handlers.

    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param clock: :class:`~auburnhollow.clock.Clock`.

    >>> server.on(Ping, handle_ping)
    >>> await server.start("10.0.0.5", 8100)
    """

    __slots__ = ("_handlers", "_metrics", "_server", "_stream_handlers", "_tasks", "_turns")

    def __init__(self, metrics, clock=None):
        self._handlers = {}
        self._stream_handlers = {}
        self._metrics = metrics
        self._server = None
        self._tasks = set()
        self._turns = AnswerTurns(clock or Clock())

    def on(self, message_type, handler):
        """Register ``handler`` for messages of one type.

        :param handler: coroutine function that receives the message and returns the answer or
            ``None``.
        """
        self._handlers[message_type] = handler

    def on_stream(self, message_type, handler):
        """Register ``handler`` for messages of one type that get several answers.

        :param handler: asynchronous generator function that receives the message and yields the
            answers; the generator is closed when the requester cancels.
        """
        self._stream_handlers[message_type] = handler

    async def start(self, host, port):
        """Start listening on ``host`` and ``port``."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def start_on(self, bound_socket):
        """Start listening on a socket that is already bound."""
        self._server = await asyncio.start_server(self._serve, sock=bound_socket)

    async def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    @asynccontextmanager
    async def in_turn(self, answer, number):
        """Wait for the turn of the answer to request ``number``; yield what is sent, and its bytes.

        That is the answer, or a :class:`Failure` if its turn does not come soon.
        """
        data = pack(answer, number)
        async with self._turns.turn(len(data)) as has_turn:
            if not has_turn:
                self._metrics.incr("peers.busy_refusals")
                answer = BUSY
                data = pack(answer, number)
            yield answer, data

    async def handle(self, message):
        """Return the answer to one message, a :class:`Failure` if it can't be answered."""
        handler = self._handlers.get(type(message))
        if handler is None:
            return Failure(text=f"no handler for {type(message).__name__} on this node")
        try:
            return await handler(message) or Done()
        except AuburnhollowError as error:
            return Failure(text=f"{type(error).__name__}: {error}")
        except Exception as error:  # any error: the peer must get an answer
            log.exception("peers: message %s failed", type(message).__name__)
            return Failure(text=f"{type(error).__name__}: {error}")

    def answers(self, message):
        """Return the answers to one message with several, as an asynchronous generator."""
        return self._stream_handlers[type(message)](message)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        answer_tasks = {}
        try:
            await self._read(reader, writer, answer_tasks)
        except ProtocolError as error:
            self._metrics.incr("peers.garbage")
            log.warning("peers: closed an incoming connection: %s", error)
        except OSError:
            self._metrics.incr("peers.lost")
        except asyncio.CancelledError:
            # The server is closing: end without an error, since close() does not await this task.
            log.debug("peers: connection closed")
        finally:
            self._tasks.discard(task)
            for answer_task in answer_tasks:
                answer_task.cancel()
            writer.close()

    async def _read(self, reader, writer, answer_tasks):
        unpacker = new_unpacker()
        while data := await reader.read(READ_BYTES):
            self._metrics.incr("peers.received_bytes", len(data))
            for message, number in feed(unpacker, data):
                self._metrics.incr("peers.received")
                if isinstance(message, Cancel):
                    _cancel(answer_tasks, message.number)
                    continue
                while len(answer_tasks) >= MAX_IN_PROGRESS:
                    await asyncio.wait(answer_tasks, return_when=asyncio.FIRST_COMPLETED)
                answer_task = asyncio.create_task(self._answer(writer, message, number))
                answer_tasks[answer_task] = number
                answer_task.add_done_callback(answer_tasks.pop)

    async def _answer(self, writer, message, number):
        if type(message) not in self._stream_handlers:
            answer = await self.handle(message)
            if number != NO_ANSWER_EXPECTED:
                async with self.in_turn(answer, number) as (_answer, data):
                    await self._send_bytes(writer, data)
            return
        try:
            async with aclosing(self.answers(message)) as answers:
                async for answer in answers:
                    await self._send(writer, answer, number)
        except AuburnhollowError as error:
            await self._send(writer, Failure(text=f"{type(error).__name__}: {error}"), number)
        except Exception as error:  # any error: the peer must get an answer
            log.exception("peers: stream %s failed", type(message).__name__)
            await self._send(writer, Failure(text=f"{type(error).__name__}: {error}"), number)

    async def _send(self, writer, answer, number):
        if number != NO_ANSWER_EXPECTED:
            await self._send_bytes(writer, pack(answer, number))

    async def _send_bytes(self, writer, data):
        if writer.is_closing():
            return
        self._metrics.incr("peers.sent_bytes", len(data))
        writer.write(data)
        try:
            await writer.drain()
        except OSError:
            self._metrics.incr("peers.lost")
