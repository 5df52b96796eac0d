"""The HTTP server of one node."""

from contextlib import contextmanager

import uvicorn

KEEP_ALIVE_S = 5
BACKLOG = 2048


class FrontServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the node.

    :param app: the ASGI application.
    """

    def __init__(self, app, host, port, shutdown_ms):
        super().__init__(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                lifespan="off",
                log_config=None,
                access_log=False,
                timeout_keep_alive=KEEP_ALIVE_S,
                timeout_graceful_shutdown=max(1, int(shutdown_ms / 1000)),
                backlog=BACKLOG,
            )
        )

    @contextmanager
    def capture_signals(self):
        """Install no signal handlers: the node decides when to stop."""
        yield

    @property
    def port(self):
        """The port that the server listens on, available once it has started."""
        return self.servers[0].sockets[0].getsockname()[1]
