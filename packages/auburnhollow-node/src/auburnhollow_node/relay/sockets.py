"""The sockets that a node listens on, opened before anything else is loaded.

Callers who come while a node starts wait for its first answer instead of finding nobody there.
"""

import socket
import struct
import sys
from contextlib import suppress

BACKLOG = 1024
# From the Linux headers: the option, and a program of four steps for arriving packets.
SO_ATTACH_FILTER = 26
WITHOUT_FIRST_PACKETS = b"".join(
    struct.pack("HBBI", *step)
    for step in (
        (0x30, 0, 0, 13),  # load the flags of the TCP header
        (0x45, 0, 1, 0x10),  # a handshake's first packet alone bears no ACK
        (0x06, 0, 0, 0xFFFF),  # keep
        (0x06, 0, 0, 0),  # drop
    )
)


class Sockets:
    """Sockets: ``front`` for callers, ``inner`` for the balancer and for metrics, ``peer``.

    That for other nodes only holds its address yet: a node that is still starting refuses them, and
    they ask another at once. It is ``None`` where the settings name no address for it.

    :param settings: :class:`~auburnhollow_node.relay.settings.RelaySettings`.
    :raises OSError: when an address can't be listened on.
    """

    __slots__ = ("front", "admin", "peer")

    def __init__(self, settings):
        self.front = [listen(settings.front)]
        self.admin = [listen(settings.ready)]
        if settings.metrics_port:
            host = settings.ready.rpartition(":")[0]
            self.admin.append(listen(f"{host}:{settings.metrics_port}"))
        self.peer = bind(settings.peer) if settings.peer else None


def listen(address):
    """Return a socket that listens on ``host:port``."""
    opened = bind(address)
    opened.listen(BACKLOG)
    return opened


def bind(address):
    """Return a socket at ``host:port``."""
    host, _, port = address.rpartition(":")
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind((host, int(port)))
    opened.setblocking(False)
    return opened


def drop_new_connections(listening):
    """Let no further connection begin on a listening socket; those that have begun go on.

    Once the socket is closed, callers that tried meanwhile find nobody there. Closing it alone
    would cut those that the system has accepted and the program has not. A system without such
    filters goes on taking them.
    """
    if sys.platform != "linux":
        return
    # Only here: a start must not wait for it.
    import ctypes

    steps = ctypes.create_string_buffer(WITHOUT_FIRST_PACKETS)
    count = len(WITHOUT_FIRST_PACKETS) // struct.calcsize("HBBI")
    program = struct.pack("HP", count, ctypes.addressof(steps))
    with suppress(OSError):
        listening.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
