"""The interface through which the relay calls backend servers."""


class ServerClient:
    """Sends requests to backend servers."""

    __slots__ = ()

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Send ``request`` to ``server`` and return its complete :class:`Answer`.

        :param server: :class:`~auburnhollow.servers.Server`; no other server may run the request.
        :param remaining_ms: how long the caller still waits, in milliseconds.
        :param keep_alive: whether the connection is kept open for the next call.
        :param on_write: function that is called before the first byte is written.
        :raises BackendError: its ``ran`` tells whether the server may have run the request.
        """
        raise NotImplementedError

    async def can_connect(self, server):
        """Return whether ``server`` accepts a connection; nothing is sent on it."""
        raise NotImplementedError
