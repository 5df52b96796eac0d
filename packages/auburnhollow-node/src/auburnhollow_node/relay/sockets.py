"""The sockets that a node listens on, opened before the rest of the program is imported.

Callers that connect during the start then wait for the first answer instead of being refused.
"""

import socket
import struct
import sys
from contextlib import suppress

BACKLOG = 1024
# From the Linux headers: the socket option, and a BPF program of four instructions.
SO_ATTACH_FILTER = 26
DROP_SYN_FILTER = b"".join(
    struct.pack("HBBI", *instruction)
    for instruction in (
        (0x30, 0, 0, 13),  # load the flags of the TCP header
        (0x45, 0, 1, 0x10),  # only the first packet of a handshake has no ACK
        (0x06, 0, 0, 0xFFFF),  # keep
        (0x06, 0, 0, 0),  # drop
    )
)


class Sockets:
    """Sockets: ``front`` for callers, ``admin`` for the balancer and metrics, ``peer`` for nodes.

    ``peer`` is bound but does not listen yet: a starting node refuses other nodes, and they ask
    another one at once. It is ``None`` if the settings have no address for it.

    :param settings: :class:`~auburnhollow_node.relay.settings.RelaySettings`.
    :raises OSError: if an address can't be bound or listened on.
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
    """Return a non-blocking socket that listens on ``host:port``."""
    new_socket = bind(address)
    new_socket.listen(BACKLOG)
    return new_socket


def bind(address):
    """Return a non-blocking socket that is bound to ``host:port``."""
    host, _, port = address.rpartition(":")
    new_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    new_socket.bind((host, int(port)))
    new_socket.setblocking(False)
    return new_socket


def drop_new_connections(listening_socket):
    """Drop the first packet of every new connection; handshakes in progress go on.

    Callers that try to connect meanwhile retry, and are refused once the socket is closed. Closing
    it without this would reset connections that the kernel has accepted and the program has not.
    Without support for socket filters, new connections are still accepted.
    """
    if sys.platform != "linux":
        return
    # Imported here because it would slow down the start.
    import ctypes

    instructions = ctypes.create_string_buffer(DROP_SYN_FILTER)
    count = len(DROP_SYN_FILTER) // struct.calcsize("HBBI")
    program = struct.pack("HP", count, ctypes.addressof(instructions))
    with suppress(OSError):
        listening_socket.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
