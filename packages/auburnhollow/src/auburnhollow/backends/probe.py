"""Telling a dead backend server from a cut connection."""

import asyncio


async def takes_connections(clock, address, timeout_ms):
    """Return whether a server takes a new connection: ``None`` when nothing answers in time.

    :param address: ``host:port`` of the server.
    """
    host, _, port = address.rpartition(":")
    try:
        async with clock.timeout(timeout_ms):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        return None
    except OSError:
        return False
    writer.close()
    return True
