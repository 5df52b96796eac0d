"""Runs fake backend servers in a separate process."""

import asyncio
import sys
from contextlib import asynccontextmanager

import orjson

from auburnhollow_standins.backend import BackendStandin, Behaviour

HOST = "127.0.0.1"
READY_S = 30.0


async def serve(options):
    """Print the addresses of the servers and serve until standard input is closed."""
    addresses = []
    servers = []
    for number in range(options["count"]):
        behaviour = Behaviour(**options["behaviour"])
        server = BackendStandin(f"b{number}", "desk", ["s0", f"s{number}"], "crushers", behaviour)
        await server.start(HOST)
        servers.append(server)
        addresses.append(server.address)
    print(orjson.dumps(addresses).decode(), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    for server in servers:
        await server.stop()


@asynccontextmanager
async def running_servers(count, **behaviour):
    """Run ``count`` backend servers in another process and yield their addresses.

    :param behaviour: fields of :class:`~auburnhollow_standins.backend.Behaviour`.
    """
    behaviour = {"slots": 100, **behaviour}
    options = orjson.dumps({"count": count, "behaviour": behaviour}).decode()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.servers",
        options,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        async with asyncio.timeout(READY_S):
            line = await process.stdout.readline()
        yield orjson.loads(line)
    finally:
        process.stdin.close()
        await process.wait()


if __name__ == "__main__":
    asyncio.run(serve(orjson.loads(sys.argv[1])))
