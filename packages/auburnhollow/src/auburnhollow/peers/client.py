"""Connections to other nodes."""

import asyncio
import itertools
import logging

from ..clock import Clock
from ..exceptions import PeerError, PeerRefused, PeerUnreachable, ProtocolError
from .codec import NO_ANSWER, READ_BYTES, Cancel, Failure, feed, new_unpacker, pack

log = logging.getLogger("peers")

CONNECT_TIMEOUT_MS = 1_000.0
MOST_CONNECTIONS = 48
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

    def stream(self, address, message, first_answer_timeout_ms):
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


class PeerClient(Peers):
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

    async def stream(self, address, message, first_answer_timeout_ms):
        """Send a message and yield its answers.

        Each stream has a connection of its own: a packet that is lost holds up no other.
        """
        connection = await self._idle_connection(address, first_answer_timeout_ms)
        number, question = connection.ask()
        is_over = False
        try:
            self._write(connection, pack(message, number))
            answer = await self._first_answer(question, first_answer_timeout_ms)
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
            raise PeerError(f"{address}: no answer in {first_answer_timeout_ms:.0f} ms") from None
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

    async def _first_answer(self, question, first_answer_timeout_ms):
        due_ms = self._clock.now_ms() + first_answer_timeout_ms
        try:
            async with self._clock.timeout(first_answer_timeout_ms):
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
