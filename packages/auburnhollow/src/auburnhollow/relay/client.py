"""What the relay needs of a connection to backend servers."""


class ServerClient:
    """Sends requests to backend servers."""

    __slots__ = ()

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Send ``request`` to ``server`` and return its whole :class:`Answer`.

        :param server: :class:`~auburnhollow.servers.Server`; no other may run the request.
        :param remaining_ms: how long the caller still waits, in milliseconds.
        :param keep_alive: whether the connection is kept for the next call.
        :param on_write: function that is called before the first byte is written.
        :raises BackendError: with ``ran`` true to what the server may have done.
        """
        raise NotImplementedError

    async def can_connect(self, server):
        """Return whether ``server`` takes a connection; nothing is sent on it."""
        raise NotImplementedError
