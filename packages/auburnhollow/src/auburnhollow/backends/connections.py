"""HTTP connections to backend servers, which may send anything."""

import asyncio
import weakref

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ..clock import Clock

# Interim responses (1xx) are few; each costs time of the event loop.
MAX_HEADS = 32
# Heads, interim responses and what follows an answer; sound ones are a few kB.
MAX_HEAD_BYTES = 65_536
# So much is parsed between two checks of what it has brought.
PIECE_BYTES = 2_048
# Of an answer that has been nearly all body so far.
LARGE_PIECE_BYTES = 16_384
MOSTLY_BODY = 0.9
# An answer may have so many bytes that belong to no body, as between chunks, or as many as its
# body: chunks of a byte each take a thousand times the processor time of one large chunk.
MAX_OVERHEAD_BYTES = 4_096
# Smaller answers are always kept, and are no sign of a faulty server.
LARGE_ANSWER_BYTES = 65_536


class OversizedAnswer(aiohttp.ClientPayloadError):
    """The server has sent more than an answer may have, or hardly anything of an answer."""


class AnswerMemory:
    """Bounds the memory that answers take together.

    It answers servers that send to many calls at once what never becomes an answer. When there is
    too much, the incomplete answer with the most bytes is failed: those of sound servers are much
    smaller. Large answers that are complete may take half as much, until they are merged or passed
    on.

    :param max_bytes: most bytes of all answers that are not complete.
    """

    __slots__ = ("_held", "_kept", "_max_bytes", "_total")

    def __init__(self, max_bytes):
        self._held = {}
        self._kept = 0
        self._max_bytes = max_bytes
        self._total = 0

    @property
    def held_bytes(self):
        """The bytes of all answers that are not complete."""
        return self._total

    @property
    def kept_bytes(self):
        """The bytes of all large answers that are complete and still needed."""
        return self._kept

    def keep(self, answer, count):
        """Count a complete answer until it is deleted; return whether there is room for it.

        :param answer: object that can be referenced weakly.
        :param count: its bytes.
        """
        if count <= LARGE_ANSWER_BYTES:
            return True
        if self._kept + count > self._max_bytes // 2:
            return False
        self._kept += count
        weakref.finalize(answer, self._forget, count).atexit = False
        return True

    def hold(self, answer, count):
        """Count further bytes of an answer, and fail the largest ones while there are too many.

        :param answer: object whose ``fail`` method takes a text.
        """
        self._held[answer] = self._held.get(answer, 0) + count
        self._total += count
        while self._total > self._max_bytes:
            largest = max(self._held, key=self._held.get)
            is_large = self._held[largest] > LARGE_ANSWER_BYTES
            self.release(largest)
            largest.fail(
                f"more than {self._max_bytes} bytes of answers that are not complete",
                OversizedAnswer if is_large else aiohttp.ClientPayloadError,
            )

    def release(self, answer):
        """Count an answer no longer: it is complete, or has failed."""
        self._total -= self._held.pop(answer, 0)

    def _forget(self, count):
        self._kept -= count


class BoundedResponseHandler(ResponseHandler):
    """An aiohttp connection that ends when a server sends too much for one answer.

    All bytes count, whether they belong to a head, a body or neither, so that a faulty server that
    sends without end fills no memory and costs little time. So do responses: interim ones are
    read one by one. An answer that consists mostly of what stands between its chunks ends too.

    :param max_bytes: most bytes of one answer.
    :param memory: :class:`AnswerMemory` of all connections.
    """

    def __init__(self, loop, max_bytes, memory):
        super().__init__(loop)
        self._max_bytes = max_bytes
        self._memory = memory
        self._bytes_after_head = 0
        self._bytes_outside_body = 0
        self._is_failed = False
        self._received_bytes = 0
        self._received_heads = 0

    def set_response_params(self, **params):
        """Prepare for the answer to the next request."""
        self._bytes_after_head = 0
        self._bytes_outside_body = 0
        self._received_bytes = 0
        self._received_heads = 0
        self._memory.release(self)
        super().set_response_params(**params)

    def feed_data(self, data, size=0):
        """Pass the head of a response on, or fail the answer once there are too many."""
        self._received_heads += 1
        if self._received_heads <= MAX_HEADS:
            super().feed_data(data, size)
            return
        self.fail(f"more than {MAX_HEADS} responses to one request")

    def data_received(self, data):
        """Pass bytes on, or fail the answer once there are too many."""
        self._received_bytes += len(data)
        if self._received_bytes > self._max_bytes:
            self.fail(f"more than {self._max_bytes} bytes")
            return
        self._memory.hold(self, len(data))
        # aiohttp goes on after a pause by passing no bytes.
        start = 0
        while start < max(1, len(data)):
            if self._is_failed:
                return
            end = start + self._piece_bytes()
            self._parse(data[start:end])
            start = end
        if self._received_heads and self._payload is not None and self._payload.is_eof():
            self._memory.release(self)

    def _piece_bytes(self):
        """Return how much to parse at a time."""
        body_bytes = 0 if self._payload is None else self._payload.total_bytes
        is_large = body_bytes > LARGE_ANSWER_BYTES
        is_mostly_body = is_large and body_bytes > MOSTLY_BODY * self._bytes_after_head
        return LARGE_PIECE_BYTES if is_mostly_body else PIECE_BYTES

    def _parse(self, piece):
        """Parse some bytes, and fail an answer of whose bytes too few belong to its body."""
        payload = self._payload
        is_in_body = self._received_heads and payload is not None and not payload.is_eof()
        super().data_received(piece)
        if not is_in_body:
            self._bytes_outside_body += len(piece)
            if self._bytes_outside_body > MAX_HEAD_BYTES:
                self.fail(f"more than {MAX_HEAD_BYTES} bytes outside of a body")
            return
        self._bytes_after_head += len(piece)
        body_bytes = payload.total_bytes
        if self._bytes_after_head - body_bytes > max(MAX_OVERHEAD_BYTES, body_bytes):
            self.fail(f"{self._bytes_after_head} bytes for {body_bytes} of a body")

    def connection_lost(self, exc):
        """Fail the answer that is not complete."""
        self._memory.release(self)
        super().connection_lost(exc)

    def fail(self, text, error_type=OversizedAnswer):
        """Fail the answer and close the connection."""
        transport, payload = self.transport, self._payload
        if transport is None or transport.is_closing():
            return
        self._is_failed = True
        error = error_type(text)
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        transport.abort()


class PatientConnector(aiohttp.TCPConnector):
    """Opens connections, and uses one that stands although its timeout passed in a stall.

    After a stall of this process timers fire before sockets are read: the time that the process
    itself lost would count against the server. aiohttp's own ``sock_connect`` must be unset.

    :param connect_timeout_ms: longest time to open a connection, in milliseconds.
    :param options: as for :class:`aiohttp.TCPConnector`.
    """

    def __init__(self, connect_timeout_ms, **options):
        super().__init__(**options)
        self._clock = Clock()
        self._connect_timeout_ms = connect_timeout_ms

    # aiohttp has no option for this; it turns the TimeoutError into one of its own.
    async def _wrap_create_connection(self, *args, **kwargs):
        async with self._clock.patient_timeout(self._connect_timeout_ms):
            return await super()._wrap_create_connection(*args, **kwargs)


def use_handler(connector, make_handler):
    """Let a connector create its connections with ``make_handler``, a function of the loop.

    aiohttp has no option for this.
    """
    loop = asyncio.get_running_loop()
    connector._factory = lambda: make_handler(loop)
