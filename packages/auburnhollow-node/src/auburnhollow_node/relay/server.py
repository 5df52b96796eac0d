"""The HTTP server of a relay node."""

import asyncio

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from .sockets import drop_new_connections

KEEP_ALIVE_S = 60.0
# Callers reuse a connection for up to four fifths of the idle limit; the rest covers the network
# latency of their next request.
IDLE_TIMEOUT_FACTOR = 1.25
# Callers send right after connecting; this covers several one-way latencies between regions and
# some event loop lag on a busy node.
FIRST_REQUEST_TIMEOUT_S = 0.5
# A handshake in progress completes within one round trip, and its connection is then accepted.
HANDSHAKE_WAIT_S = 0.05
POLL_INTERVAL_S = 0.02

HEADERS_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncontent-length: 0\r\n"
    b"connection: close\r\n\r\n"
)
REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
)


class RelayProtocol(HttpToolsProtocol):
    """Limits the size and duration of request headers; cancels requests of disconnected callers.

    ``limits`` is the current :class:`~auburnhollow.routes.FrontLimits`, or ``None``.
    """

    limits = None

    @property
    def may_expect_request(self):
        """Whether a request has arrived in part, or the caller has just connected."""
        if self._is_answering():
            return False
        if self._header_bytes:
            return True
        return (
            self.cycle is None and self.loop.time() - self._connected_at_s < FIRST_REQUEST_TIMEOUT_S
        )

    def connection_made(self, transport):
        """Start the timeout for the first request's header."""
        super().connection_made(transport)
        self._connected_at_s = self.loop.time()
        self._header_bytes = 0
        self._header_timer = None
        self._start_header_timer()

    def on_url(self, url):
        """Keep the raw request target: parsing would lose a trailing question mark.

        The scope also says whether this is the connection's first request.
        """
        is_first = self.cycle is None
        super().on_url(url)
        self.scope["is_first_request"] = is_first
        self.scope["target"] = self.url

    def data_received(self, data):
        """Parse received bytes; close the connection if a header is too large or too slow."""
        is_header = self.cycle is None or self.cycle.response_complete
        super().data_received(data)
        if not is_header:
            return
        if self._is_answering():
            self._reset_header()
            return
        self._start_header_timer()
        self._header_bytes += len(data)
        if self.limits is not None and self._header_bytes > self.limits.header_bytes:
            self._respond_and_close(HEADERS_TOO_LARGE_RESPONSE)

    def connection_lost(self, exc):
        """Cancel the request in progress, since its caller has disconnected."""
        super().connection_lost(exc)
        self._reset_header()
        self._unset_keepalive_if_required()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            task = getattr(cycle, "task", None)
            if task is not None:
                task.cancel()

    def _start_asgi_task(self, cycle, app):
        task = self.loop.create_task(cycle.run_asgi(app))
        cycle.task = task
        task.add_done_callback(self.tasks.discard)
        self.tasks.add(task)

    def _is_answering(self):
        return self.cycle is not None and not self.cycle.response_complete

    def _start_header_timer(self):
        if self._header_timer is None and self.limits is not None:
            seconds = self.limits.header_ms / 1000
            self._header_timer = self.loop.call_later(
                seconds, self._respond_and_close, REQUEST_TIMEOUT_RESPONSE
            )

    def _reset_header(self):
        self._header_bytes = 0
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _respond_and_close(self, response):
        self._reset_header()
        if not self.transport.is_closing():
            self.transport.write(response)
            self.transport.close()


class RelayServer:
    """Serves an ASGI application on several sockets and stops gracefully.

    ``limits`` is a function that returns the current :class:`~auburnhollow.routes.FrontLimits`, or
    ``None``. It is called for each new connection.

    :param app: the ASGI application.
    """

    __slots__ = ("_config", "_listeners", "_sockets", "_state", "limits")

    def __init__(self, app):
        self._config = uvicorn.Config(
            app,
            lifespan="off",
            http=RelayProtocol,
            ws="none",
            log_config=None,
            access_log=False,
            proxy_headers=False,
            server_header=False,
            date_header=False,
        )
        self._config.load()
        self._state = ServerState()
        self._listeners = []
        self._sockets = []
        self.limits = lambda: None

    @property
    def connections(self):
        """The number of open connections."""
        return len(self._state.connections)

    async def listen(self, sockets):
        """Accept connections on listening sockets."""
        loop = asyncio.get_running_loop()
        self._sockets = list(sockets)
        for listening_socket in sockets:
            self._listeners.append(
                await loop.create_server(self._make_protocol, sock=listening_socket)
            )

    def close_after_answers(self):
        """Add ``Connection: close`` to all further answers."""
        self._state.default_headers = [(b"connection", b"close")]

    async def stop(self):
        """Stop accepting connections, and wait until each open one has had its last answer.

        Connections that the kernel has already accepted are still served, and callers that have
        just connected may still send a request.
        """
        self.close_after_answers()
        for listening_socket in self._sockets:
            drop_new_connections(listening_socket)
        await asyncio.sleep(HANDSHAKE_WAIT_S)
        self._stop_listening()
        while self._state.connections:
            self._close_idle()
            await asyncio.sleep(POLL_INTERVAL_S)

    def close(self):
        """Stop listening and close all connections."""
        self._stop_listening()
        for connection in list(self._state.connections):
            connection.transport.close()

    def _stop_listening(self):
        for listener in self._listeners:
            listener.close()

    def _close_idle(self):
        """Close connections without a request; the others close after their answers."""
        for connection in list(self._state.connections):
            if not connection.may_expect_request:
                connection.shutdown()

    def _make_protocol(self):
        protocol = RelayProtocol(config=self._config, server_state=self._state, app_state={})
        limits = self.limits()
        idle_ms = None if limits is None else limits.idle_ms
        protocol.limits = limits
        protocol.timeout_keep_alive = (
            KEEP_ALIVE_S if idle_ms is None else idle_ms * IDLE_TIMEOUT_FACTOR / 1000
        )
        return protocol
