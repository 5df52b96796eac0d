"""The HTTP server of a node that passes requests on."""

import asyncio

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol
from uvicorn.server import ServerState

KEEP_ALIVE_S = 60.0
# Callers reuse a connection for up to four fifths of the limit; the rest is for their way here.
IDLE_SHARE = 1.25


class PassingProtocol(HttpToolsProtocol):
    """A connection that ends the work on a request when its caller leaves."""

    def _start_asgi_task(self, cycle, app):
        task = self.loop.create_task(cycle.run_asgi(app))
        cycle.task = task
        task.add_done_callback(self.tasks.discard)
        self.tasks.add(task)

    def connection_lost(self, exc):
        """End the work on the request that nobody waits for any more."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        cycle = self.cycle
        if cycle is not None and not cycle.response_complete:
            task = getattr(cycle, "task", None)
            if task is not None:
                task.cancel()


class PassingServer:
    """Serves an ASGI application on several addresses, and stops without cutting requests.

    :param app: the ASGI application.
    """

    __slots__ = ("_config", "_listeners", "_state", "idle_ms")

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
        self.idle_ms = lambda: None

    @property
    def connections(self):
        """How many connections are open."""
        return len(self._state.connections)

    async def listen(self, sockets):
        """Accept connections on sockets that listen already."""
        loop = asyncio.get_running_loop()
        for each in sockets:
            self._listeners.append(await loop.create_server(self._protocol, sock=each))

    def close_after_answers(self):
        """Let each connection end with its next answer."""
        self._state.default_headers = [(b"connection", b"close")]

    def stop_listening(self):
        """Accept no more connections."""
        for listener in self._listeners:
            listener.close()

    def close_idle(self):
        """Close the connections without a request; the others end with their answers."""
        for connection in list(self._state.connections):
            connection.shutdown()

    def close(self):
        """Stop listening and close all connections."""
        self.stop_listening()
        for connection in list(self._state.connections):
            connection.transport.close()

    def _protocol(self):
        protocol = PassingProtocol(config=self._config, server_state=self._state, app_state={})
        idle_ms = self.idle_ms()
        protocol.timeout_keep_alive = (
            KEEP_ALIVE_S if idle_ms is None else idle_ms * IDLE_SHARE / 1000
        )
        return protocol
