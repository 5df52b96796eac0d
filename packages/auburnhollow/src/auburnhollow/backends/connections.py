"""HTTP connections to backend servers, which may send anything."""

import asyncio

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ..clock import Clock

# Interim responses (1xx) are few; each costs time of the event loop.
MAX_HEADS = 32


class BoundedResponseHandler(ResponseHandler):
    """An aiohttp connection that ends when a server sends too much for one answer.

    All bytes count, whether they belong to a head, a body or neither, so that a faulty server that
    sends without end fills no memory and costs little time. So do responses: interim ones are
    read one by one.

    :param max_bytes: most bytes of one answer.
    """

    def __init__(self, loop, max_bytes):
        super().__init__(loop)
        self._max_bytes = max_bytes
        self._received_bytes = 0
        self._received_heads = 0

    def set_response_params(self, **params):
        """Prepare for the answer to the next request."""
        self._received_bytes = 0
        self._received_heads = 0
        super().set_response_params(**params)

    def feed_data(self, data, size=0):
        """Pass the head of a response on, or fail the answer once there are too many."""
        self._received_heads += 1
        if self._received_heads <= MAX_HEADS:
            super().feed_data(data, size)
            return
        self._fail(f"more than {MAX_HEADS} responses to one request")

    def data_received(self, data):
        """Pass bytes on, or fail the answer once there are too many."""
        self._received_bytes += len(data)
        if self._received_bytes <= self._max_bytes:
            super().data_received(data)
            return
        self._fail(f"more than {self._max_bytes} bytes")

    def _fail(self, text):
        """Fail the answer and close the connection."""
        transport, payload = self.transport, self._payload
        if transport is None or transport.is_closing():
            return
        error = aiohttp.ClientPayloadError(text)
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
