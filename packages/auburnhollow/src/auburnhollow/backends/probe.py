"""Tests whether a backend server accepts connections."""

import asyncio
from enum import Enum


class Probe(Enum):
    """The result of a connection attempt; only ``REFUSED`` proves that the server is dead."""

    ACCEPTED = "taken"
    REFUSED = "refused"
    FULL = "full"
    SILENT = "silent"


async def probe(clock, address, timeout_ms):
    """Open and close a connection to a server; return a :class:`Probe`.

    A server at its connection limit resets further connections.

    :param address: ``host:port`` of the server.
    """
    host, _, port = address.rpartition(":")
    try:
        async with clock.timeout(timeout_ms):
            _, writer = await asyncio.open_connection(host, int(port))
    except (TimeoutError, ValueError):
        # ValueError: the address can't be one.
        return Probe.SILENT
    except ConnectionResetError:
        return Probe.FULL
    except OSError:
        return Probe.REFUSED
    writer.close()
    return Probe.ACCEPTED


async def probe_to_end(clock, address, timeout_ms):
    """Return the :class:`Probe` of a server, and the cancellation that arrived meanwhile.

    A cancelled caller still learns whether the server is dead. It must raise the
    :class:`asyncio.CancelledError` that it gets, which is ``None`` if there was none.
    """
    probing = asyncio.get_running_loop().create_task(probe(clock, address, timeout_ms))
    try:
        return await asyncio.shield(probing), None
    except asyncio.CancelledError as cancellation:
        return await probing, cancellation
