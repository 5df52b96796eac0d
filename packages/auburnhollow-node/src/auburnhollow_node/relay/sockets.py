"""The sockets that a node listens on, opened before anything else is loaded.

Callers who come while a node starts wait for its first answer instead of finding nobody there.
"""

import socket

BACKLOG = 1024


class Sockets:
    """Listening sockets: ``front`` for callers, ``inner`` for the balancer and for metrics.

    :param settings: :class:`~auburnhollow_node.relay.settings.RelaySettings`.
    :raises OSError: when an address can't be listened on.
    """

    __slots__ = ("front", "inner")

    def __init__(self, settings):
        self.front = [listen(settings.front)]
        self.inner = [listen(settings.ready)]
        if settings.metrics_port:
            host = settings.ready.rpartition(":")[0]
            self.inner.append(listen(f"{host}:{settings.metrics_port}"))


def listen(address):
    """Return a socket that listens on ``host:port``."""
    host, _, port = address.rpartition(":")
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind((host, int(port)))
    opened.listen(BACKLOG)
    opened.setblocking(False)
    return opened
