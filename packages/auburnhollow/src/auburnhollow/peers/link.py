"""Streams between nodes."""

import asyncio
import itertools
import logging
from contextlib import aclosing

from ..clock import Clock
from ..exceptions import (
    AuburnhollowError,
    PeerError,
    PeerRefused,
    PeerUnreachable,
    ProtocolError,
)
from .codec import NO_ANSWER, Cancel, Done, Failure, feed, new_unpacker, pack

log = logging.getLogger("peers")

READ_BYTES = 65_536
CONNECT_TIMEOUT_MS = 1_000.0
MOST_CONNECTIONS = 48
MOST_IN_PROGRESS = 256
# Idle connections for streams that are kept for each peer; more are in use only in bursts.
MOST_IDLE = 4


class Peers:
    """What the other parts need to reach other nodes."""

    __slots__ = ()

    async def ask(self, address, message, timeout_ms):
        """Send a message and return the answer.

        :param address: ``host:port`` of the peer.
        :raises PeerError: when there is none in time; the peer may have acted on it.
        """
        raise NotImplementedError

    def stream(self, address, message, first_ms):
        """Send a message and yield its answers, as an asynchronous generator.

        The peer learns when the generator is closed before the last answer.

        :param first_ms: longest time to connect, and from there to the first answer.
        :raises PeerUnreachable: when the message was not sent.
        :raises PeerRefused: when the peer does not do it.
        :raises PeerError: when answers are missing; the peer may have acted on the message.
        """
        raise NotImplementedError

    def tell(self, address, message):
        """Send a message, if it can be sent; nobody learns whether it arrived."""
        raise NotImplementedError


class _Question:
    """A message that waits for its answers; ``is_silent`` until the first has come."""

    __slots__ = ("_answers", "is_silent")

    def __init__(self):
        self._answers = asyncio.Queue()
        self.is_silent = True

    def take(self, answer):
        """Take an answer, or the error that ends them."""
        self.is_silent = False
        self._answers.put_nowait(answer)

    async def next(self):
        """Return the next answer, or raise the error."""
        answer = await self._answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Connection:
    """A connection to one peer and the questions that wait on it."""

    __slots__ = ("numbers", "reader_task", "waiting", "writer")

    def __init__(self, writer):
        self.writer = writer
        self.numbers = itertools.count(NO_ANSWER + 1)
        self.waiting = {}
        self.reader_task = None

    def ask(self):
        """Return the number of a new question and the question."""
        number = next(self.numbers)
        question = _Question()
        self.waiting[number] = question
        return number, question

    def end(self, number):
        """Forget a question."""
        self.waiting.pop(number, None)


class PeerLink(Peers):
    """Connections to other nodes, opened when needed, the oldest closed first.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    """

    __slots__ = ("_clock", "_connections", "_idle", "_metrics", "_opening", "_tasks")

    def __init__(self, metrics, clock=None):
        self._clock = clock or Clock()
        self._metrics = metrics
        self._connections = {}
        self._idle = {}
        self._opening = {}
        self._tasks = set()

    async def ask(self, address, message, timeout_ms):
        """Send a message and return the answer."""
        try:
            async with self._clock.timeout(timeout_ms):
                connection = await self._connection(address)
                answer = await self._exchange(address, connection, message)
        except TimeoutError:
            raise PeerError(f"{address}: no answer in {timeout_ms:.0f} ms") from None
        except OSError as error:
            raise PeerError(f"{address}: {error!r}") from error
        if isinstance(answer, Failure):
            raise PeerRefused(f"{address}: {answer.text}")
        return answer

    async def stream(self, address, message, first_ms):
        """Send a message and yield its answers.

        Each stream has a connection of its own: a packet that is lost holds up no other.
        """
        connection = await self._idle_connection(address, first_ms)
        number, question = connection.ask()
        is_over = False
        try:
            self._write(connection, pack(message, number))
            answer = await self._first_answer(question, first_ms)
            while True:
                is_over = answer.is_last
                if isinstance(answer, Failure):
                    raise PeerRefused(f"{address}: {answer.text}")
                yield answer
                if is_over:
                    return
                answer = await question.next()
        except TimeoutError:
            # The others may have gone silent with this one.
            self._close_idle(address)
            raise PeerError(f"{address}: no answer in {first_ms:.0f} ms") from None
        except OSError as error:
            raise PeerError(f"{address}: {error!r}") from error
        finally:
            if not is_over and not connection.writer.is_closing():
                self._write(connection, pack(Cancel(number=number)))
            connection.end(number)
            self._return(address, connection, question)

    def tell(self, address, message):
        """Send a message without an answer."""
        task = asyncio.get_running_loop().create_task(self._tell(address, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for address in list(self._connections):
            self._drop(address)
        for address in list(self._idle):
            self._close_idle(address)

    async def _tell(self, address, message):
        try:
            async with self._clock.timeout(CONNECT_TIMEOUT_MS):
                connection = await self._connection(address)
                self._write(connection, pack(message))
                await connection.writer.drain()
        except (TimeoutError, OSError):
            self._metrics.incr("peers.lost")

    async def _exchange(self, address, connection, message):
        number, question = connection.ask()
        try:
            self._write(connection, pack(message, number))
            return await question.next()
        except asyncio.CancelledError:
            # A connection that does not answer may have gone silent: the next call opens anew.
            if self._connections.get(address) is connection and question.is_silent:
                self._drop(address)
            raise
        finally:
            connection.end(number)

    def _write(self, connection, data):
        self._metrics.incr("peers.sent")
        self._metrics.incr("peers.sent_bytes", len(data))
        connection.writer.write(data)

    async def _connection(self, address):
        connection = self._connections.pop(address, None)
        if connection is not None and not connection.writer.is_closing():
            self._connections[address] = connection
            return connection
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.get_running_loop().create_task(self._open(address))
            self._opening[address] = opening
            opening.add_done_callback(lambda task: self._opened(address, task))
        return await asyncio.shield(opening)

    def _opened(self, address, task):
        self._opening.pop(address, None)
        # Those who asked may all have stopped waiting: nobody else looks at the error.
        if not task.cancelled() and task.exception() is not None:
            self._metrics.incr("peers.unreachable")

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        try:
            async with self._clock.timeout(CONNECT_TIMEOUT_MS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except TimeoutError:
            raise ConnectionError(f"{address}: no connection") from None
        connection = self._attach(address, reader, writer)
        self._connections[address] = connection
        while len(self._connections) > MOST_CONNECTIONS:
            self._drop(next(iter(self._connections)))
        return connection

    def _attach(self, address, reader, writer):
        connection = _Connection(writer)
        connection.reader_task = asyncio.get_running_loop().create_task(
            self._read(address, reader, connection)
        )
        return connection

    async def _idle_connection(self, address, timeout_ms):
        """Return a connection that no stream uses.

        :raises PeerUnreachable: when none can be opened in time.
        """
        idle = self._idle.get(address, ())
        while idle:
            connection = idle.pop()
            if not connection.writer.is_closing():
                return connection
        host, _, port = address.rpartition(":")
        try:
            async with self._clock.timeout(timeout_ms):
                reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            raise PeerUnreachable(f"{address}: {error!r}") from error
        return self._attach(address, reader, writer)

    async def _first_answer(self, question, first_ms):
        due_ms = self._clock.now_ms() + first_ms
        try:
            async with self._clock.timeout(first_ms):
                return await question.next()
        except TimeoutError:
            if not await self._clock.catch_up(due_ms) or question.is_silent:
                raise
        return await question.next()

    def _return(self, address, connection, question):
        """Keep a connection for the next stream, unless it may have gone silent."""
        idle = self._idle.setdefault(address, [])
        if question.is_silent or connection.writer.is_closing() or len(idle) >= MOST_IDLE:
            connection.writer.close()
            return
        idle.append(connection)

    def _close_idle(self, address):
        for connection in self._idle.pop(address, ()):
            connection.writer.close()

    async def _read(self, address, reader, connection):
        unpacker = new_unpacker()
        try:
            while data := await reader.read(READ_BYTES):
                self._metrics.incr("peers.received_bytes", len(data))
                for message, number in feed(unpacker, data):
                    question = connection.waiting.get(number)
                    if question is not None:
                        question.take(message)
        except (OSError, ProtocolError) as error:
            log.warning("peers: connection to %s ended: %s", address, error)
        finally:
            if self._connections.get(address) is connection:
                self._drop(address)
            connection.writer.close()
            self._fail(connection, address)

    def _drop(self, address):
        connection = self._connections.pop(address)
        connection.writer.close()
        if connection.reader_task is not asyncio.current_task():
            connection.reader_task.cancel()

    def _fail(self, connection, address):
        for question in connection.waiting.values():
            question.take(ConnectionError(f"{address}: connection lost"))


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
