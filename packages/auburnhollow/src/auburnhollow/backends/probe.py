"""What a backend server does with a new connection."""

import asyncio
from enum import Enum


class Probe(Enum):
    """What came of a connection that was tried: only one that is refused shows a dead server."""

    ACCEPTED = "taken"
    REFUSED = "refused"
    FULL = "full"
    SILENT = "silent"


async def probe(clock, address, timeout_ms):
    """Open a connection to a server, close it, and return a :class:`Probe`.

    A server at its limit of connections resets further ones.

    :param address: ``host:port`` of the server.
    """
    host, _, port = address.rpartition(":")
    try:
        async with clock.timeout(timeout_ms):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return Probe.SILENT
    except ConnectionResetError:
        return Probe.FULL
    except OSError:
        return Probe.REFUSED
    writer.close()
    return Probe.ACCEPTED
