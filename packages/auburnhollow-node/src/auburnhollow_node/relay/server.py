"""The HTTP server of a node that passes requests on."""

import asyncio

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

from .sockets import drop_new_connections

KEEP_ALIVE_S = 60.0
# Callers reuse a connection for up to four fifths of the limit; the rest is for their way here.
IDLE_SHARE = 1.25
# Who connects sends at once: several ways between regions, and a few turns of a busy node.
FIRST_REQUEST_S = 0.5
# Handshakes that have begun need one way there and back; then all of them are accepted.
SETTLE_S = 0.05
POLL_S = 0.02

TOO_LONG = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\ncontent-length: 0\r\n"
    b"connection: close\r\n\r\n"
)
TOO_SLOW = b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"


class PassingProtocol(HttpToolsProtocol):
    """A connection that bounds what its caller sends, and ends its work when the caller leaves.

    ``limits`` is the :class:`~auburnhollow.routes.FrontLimits` in force, or ``None``.
    """

    limits = None

    @property
    def may_send(self):
        """Whether a request is on its way, or may be since the caller has just come."""
        if self._has_head():
            return False
        if self._head_bytes:
            return True
        return self.cycle is None and self.loop.time() - self._made_s < FIRST_REQUEST_S

    def connection_made(self, transport):
        """Give the caller a bounded time for its first request."""
        super().connection_made(transport)
        self._made_s = self.loop.time()
        self._head_bytes = 0
        self._head_timer = None
        self._await_head()

    def on_url(self, url):
        """Keep the target as it came: parsed, a question mark at its end would be lost."""
        super().on_url(url)
        self.scope["target"] = self.url

    def data_received(self, data):
        """Take bytes; close the connection when a head is too long or takes too long."""
        is_head = self.cycle is None or self.cycle.response_complete
        super().data_received(data)
        if not is_head:
            return
        if self._has_head():
            self._end_head()
            return
        self._await_head()
        self._head_bytes += len(data)
        if self.limits is not None and self._head_bytes > self.limits.header_bytes:
            self._close_with(TOO_LONG)

    def connection_lost(self, exc):
        """End the work on the request that nobody waits for any more."""
        super().connection_lost(exc)
        self._end_head()
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

    def _has_head(self):
        return self.cycle is not None and not self.cycle.response_complete

    def _await_head(self):
        if self._head_timer is None and self.limits is not None:
            seconds = self.limits.header_ms / 1000
            self._head_timer = self.loop.call_later(seconds, self._close_with, TOO_SLOW)

    def _end_head(self):
        self._head_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_with(self, answer):
        self._end_head()
        if not self.transport.is_closing():
            self.transport.write(answer)
            self.transport.close()


class RelayServer:
    """Serves an ASGI application on several addresses, and stops without cutting requests.

    ``limits`` is a function that returns the :class:`~auburnhollow.routes.FrontLimits` in force, or
    ``None``.

    :param app: the ASGI application.
    """

    __slots__ = ("_config", "_listeners", "_sockets", "_state", "limits")

    def __init__(self, app):
        self._config = uvicorn.Config(
            app,
            lifespan="off",
            http=PassingProtocol,
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
        """How many connections are open."""
        return len(self._state.connections)

    async def listen(self, sockets):
        """Accept connections on sockets that listen already."""
        loop = asyncio.get_running_loop()
        self._sockets = list(sockets)
        for each in sockets:
            self._listeners.append(await loop.create_server(self._protocol, sock=each))

    def close_after_answers(self):
        """Let each connection end with its next answer."""
        self._state.default_headers = [(b"connection", b"close")]

    async def stop(self):
        """Accept no more connections, and wait until each has had its last answer.

        Those that the system has accepted are served first, and callers who have just come may
        still send a request.
        """
        self.close_after_answers()
        for each in self._sockets:
            drop_new_connections(each)
        await asyncio.sleep(SETTLE_S)
        self._stop_listening()
        while self._state.connections:
            self._close_idle()
            await asyncio.sleep(POLL_S)

    def close(self):
        """Stop listening and close all connections."""
        self._stop_listening()
        for connection in list(self._state.connections):
            connection.transport.close()

    def _stop_listening(self):
        for listener in self._listeners:
            listener.close()

    def _close_idle(self):
        """Close the connections without a request; the others end with their answers."""
        for connection in list(self._state.connections):
            if not connection.may_send:
                connection.shutdown()

    def _protocol(self):
        protocol = PassingProtocol(config=self._config, server_state=self._state, app_state={})
        limits = self.limits()
        idle_ms = None if limits is None else limits.idle_ms
        protocol.limits = limits
        protocol.timeout_keep_alive = (
            KEEP_ALIVE_S if idle_ms is None else idle_ms * IDLE_SHARE / 1000
        )
        return protocol
