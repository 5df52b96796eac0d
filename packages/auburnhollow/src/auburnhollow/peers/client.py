"""Client side of the connections to other nodes."""

import asyncio
import itertools
import logging

from ..clock import Clock
from ..exceptions import PeerError, PeerRefused, PeerUnreachable, ProtocolError
from .codec import NO_ANSWER_EXPECTED, READ_BYTES, Cancel, Failure, feed, new_unpacker, pack

log = logging.getLogger("peers")

CONNECT_TIMEOUT_MS = 1_000.0
MAX_CONNECTIONS = 48
# Idle stream connections kept for each peer; only bursts use more at once.
MAX_IDLE_PER_PEER = 4


class Peers:
    """Interface for sending messages to other nodes."""

    __slots__ = ()

    async def ask(self, address, message, timeout_ms):
        """Send a message and return the answer.

        :param address: ``host:port`` of the peer.
        :param timeout_ms: longest time to connect and to wait for the answer, in milliseconds.
        :raises PeerError: when no answer arrives in time; the peer may have acted on the message.
        """
        raise NotImplementedError

    def stream(self, address, message, first_answer_timeout_ms):
        """Send a message and yield its answers, as an asynchronous generator.

        The peer is notified when the generator is closed before the last answer.

        :param first_answer_timeout_ms: longest time to connect, and then again to wait for the
            first answer, in milliseconds.
        :raises PeerUnreachable: when the message was not sent.
        :raises PeerRefused: when the peer rejects the message.
        :raises PeerError: when answers are missing; the peer may have acted on the message.
        """
        raise NotImplementedError

    def send(self, address, message):
        """Send a message that gets no answer; delivery is best-effort and not reported."""
        raise NotImplementedError


class _PendingRequest:
    """A request whose answers are awaited; ``is_unanswered`` until the first one arrives."""

    __slots__ = ("_answers", "is_unanswered")

    def __init__(self):
        self._answers = asyncio.Queue()
        self.is_unanswered = True

    def put(self, answer):
        """Add an answer, or the error that ends the answers."""
        self.is_unanswered = False
        self._answers.put_nowait(answer)

    async def next_answer(self):
        """Return the next answer, or raise the error that ended the answers."""
        answer = await self._answers.get()
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Connection:
    """A connection to one peer and the requests that are pending on it."""

    __slots__ = ("pending", "reader_task", "request_numbers", "writer")

    def __init__(self, writer):
        self.writer = writer
        self.request_numbers = itertools.count(NO_ANSWER_EXPECTED + 1)
        self.pending = {}
        self.reader_task = None

    def start_request(self):
        """Register a new request and return its number and the :class:`_PendingRequest`."""
        number = next(self.request_numbers)
        request = _PendingRequest()
        self.pending[number] = request
        return number, request

    def end_request(self, number):
        """Discard a request; answers that arrive later are ignored."""
        self.pending.pop(number, None)


class PeerClient(Peers):
    """Connections to other nodes, opened on demand; the least recently used one is closed first.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    """

    __slots__ = ("_clock", "_connections", "_idle_connections", "_metrics", "_opening", "_tasks")

    def __init__(self, metrics, clock=None):
        self._clock = clock or Clock()
        self._metrics = metrics
        self._connections = {}
        self._idle_connections = {}
        self._opening = {}
        self._tasks = set()

    async def ask(self, address, message, timeout_ms):
        """Send a message and return the answer."""
        try:
            async with self._clock.timeout(timeout_ms):
                connection = await self._get_connection(address)
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

        Each stream uses its own connection, so that a lost packet delays no other stream.
        """
        connection = await self._get_idle_connection(address, first_answer_timeout_ms)
        number, request = connection.start_request()
        is_finished = False
        try:
            self._write(connection, pack(message, number))
            answer = await self._first_answer(request, first_answer_timeout_ms)
            while True:
                is_finished = answer.is_last
                if isinstance(answer, Failure):
                    raise PeerRefused(f"{address}: {answer.text}")
                yield answer
                if is_finished:
                    return
                answer = await request.next_answer()
        except TimeoutError:
            # The idle connections to this peer may be unresponsive too.
            self._close_idle(address)
            raise PeerError(f"{address}: no answer in {first_answer_timeout_ms:.0f} ms") from None
        except OSError as error:
            raise PeerError(f"{address}: {error!r}") from error
        finally:
            if not is_finished and not connection.writer.is_closing():
                self._write(connection, pack(Cancel(number=number)))
            connection.end_request(number)
            self._release(address, connection, request)

    def send(self, address, message):
        """Send a message that gets no answer."""
        task = asyncio.get_running_loop().create_task(self._send(address, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self):
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for address in list(self._connections):
            self._drop(address)
        for address in list(self._idle_connections):
            self._close_idle(address)

    async def _send(self, address, message):
        try:
            async with self._clock.timeout(CONNECT_TIMEOUT_MS):
                connection = await self._get_connection(address)
                self._write(connection, pack(message))
                await connection.writer.drain()
        except (TimeoutError, OSError):
            self._metrics.incr("peers.lost")

    async def _exchange(self, address, connection, message):
        number, request = connection.start_request()
        try:
            self._write(connection, pack(message, number))
            return await request.next_answer()
        except asyncio.CancelledError:
            # The connection may be unresponsive: drop it, so that the next call opens a new one.
            if self._connections.get(address) is connection and request.is_unanswered:
                self._drop(address)
            raise
        finally:
            connection.end_request(number)

    def _write(self, connection, data):
        self._metrics.incr("peers.sent")
        self._metrics.incr("peers.sent_bytes", len(data))
        connection.writer.write(data)

    async def _get_connection(self, address):
        connection = self._connections.pop(address, None)
        if connection is not None and not connection.writer.is_closing():
            self._connections[address] = connection
            return connection
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.get_running_loop().create_task(self._open(address))
            self._opening[address] = opening
            opening.add_done_callback(lambda task: self._on_opened(address, task))
        return await asyncio.shield(opening)

    def _on_opened(self, address, task):
        self._opening.pop(address, None)
        # All waiting callers may have been cancelled: retrieve the exception here.
        if not task.cancelled() and task.exception() is not None:
            self._metrics.incr("peers.unreachable")

    async def _open(self, address):
        host, _, port = address.rpartition(":")
        try:
            async with self._clock.timeout(CONNECT_TIMEOUT_MS):
                reader, writer = await asyncio.open_connection(host, int(port))
        except TimeoutError:
            raise ConnectionError(f"{address}: no connection") from None
        connection = self._start_reading(address, reader, writer)
        self._connections[address] = connection
        while len(self._connections) > MAX_CONNECTIONS:
            self._drop(next(iter(self._connections)))
        return connection

    def _start_reading(self, address, reader, writer):
        connection = _Connection(writer)
        connection.reader_task = asyncio.get_running_loop().create_task(
            self._read(address, reader, connection)
        )
        return connection

    async def _get_idle_connection(self, address, timeout_ms):
        """Return a connection that no stream uses, opening one if needed.

        :raises PeerUnreachable: when none can be opened in time.
        """
        idle_connections = self._idle_connections.get(address, ())
        while idle_connections:
            connection = idle_connections.pop()
            if not connection.writer.is_closing():
                return connection
        host, _, port = address.rpartition(":")
        try:
            async with self._clock.timeout(timeout_ms):
                reader, writer = await asyncio.open_connection(host, int(port))
        except OSError as error:
            raise PeerUnreachable(f"{address}: {error!r}") from error
        return self._start_reading(address, reader, writer)

    async def _first_answer(self, request, first_answer_timeout_ms):
        """Return the first answer, also one that arrived while this process was paused."""
        deadline_ms = self._clock.now_ms() + first_answer_timeout_ms
        try:
            async with self._clock.timeout(first_answer_timeout_ms):
                return await request.next_answer()
        except TimeoutError:
            if not await self._clock.catch_up(deadline_ms) or request.is_unanswered:
                raise
        return await request.next_answer()

    def _release(self, address, connection, request):
        """Keep a connection for the next stream, unless it may be unresponsive."""
        idle_connections = self._idle_connections.setdefault(address, [])
        if (
            request.is_unanswered
            or connection.writer.is_closing()
            or len(idle_connections) >= MAX_IDLE_PER_PEER
        ):
            connection.writer.close()
            return
        idle_connections.append(connection)

    def _close_idle(self, address):
        for connection in self._idle_connections.pop(address, ()):
            connection.writer.close()

    async def _read(self, address, reader, connection):
        unpacker = new_unpacker()
        try:
            while data := await reader.read(READ_BYTES):
                self._metrics.incr("peers.received_bytes", len(data))
                for message, number in feed(unpacker, data):
                    request = connection.pending.get(number)
                    if request is not None:
                        request.put(message)
        except (OSError, ProtocolError) as error:
            log.warning("peers: connection to %s ended: %s", address, error)
        finally:
            if self._connections.get(address) is connection:
                self._drop(address)
            connection.writer.close()
            self._fail_pending(connection, address)

    def _drop(self, address):
        connection = self._connections.pop(address)
        connection.writer.close()
        if connection.reader_task is not asyncio.current_task():
            connection.reader_task.cancel()

    def _fail_pending(self, connection, address):
        for request in connection.pending.values():
            request.put(ConnectionError(f"{address}: connection lost"))
