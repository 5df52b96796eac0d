"""The ``auburnhollow-node`` program."""

import asyncio
import logging
import signal
import sys
from contextlib import asynccontextmanager

import aiohttp
import fire

from auburnhollow.backends import HttpBackendClient
from auburnhollow.backing import HttpStore, InstanceList
from auburnhollow.exceptions import SettingsError
from auburnhollow.peers import PeerClient

from .front import build_app
from .logs import set_up_logs
from .node import Node
from .server import FrontServer
from .settings import read_settings

log = logging.getLogger("node")

EXIT_SETTINGS = 2


async def serve(settings):
    """Run one node until it receives a signal to stop; a second signal ends it at once."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    kill = asyncio.Event()

    def on_signal():
        if stop.is_set():
            kill.set()
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    async with open_node(settings) as node:
        server = FrontServer(build_app(node), settings.host, settings.port, settings.shutdown_ms)
        await node.peer_server.start(settings.host, settings.peer_port)
        await node.start()
        serving = asyncio.create_task(server.serve())
        await asyncio.wait(
            {serving, asyncio.create_task(stop.wait())}, return_when=asyncio.FIRST_COMPLETED
        )
        await shut_down(node, server, serving, kill)


async def shut_down(node, server, serving, kill):
    """Stop gracefully: finish the requests in progress first; ``kill`` ends each wait early.

    The node first reports that it is not ready. The balancer keeps sending for a while, so new
    requests are still served for ``linger_ms``. Then the requests in progress are finished, the
    outcomes of orders are stored, and the other nodes are notified that this one leaves.
    """
    log.info("node: stopping, serving new requests for %d ms", node.settings.linger_ms)
    node.is_stopping = True
    node.events.record("stopping")
    node.membership.announce(ready=False)
    await _wait_or_kill(kill, asyncio.sleep(node.settings.linger_ms / 1000))
    server.should_exit = True
    if kill.is_set():
        server.force_exit = True
    await _wait_or_kill(kill, asyncio.shield(serving))
    await _wait_or_kill(kill, node.drain())
    await node.stop()
    await node.peer_server.close()
    log.info("node: stopped")


async def _wait_or_kill(kill, awaitable):
    task = asyncio.ensure_future(awaitable)
    killed = asyncio.create_task(kill.wait())
    await asyncio.wait({task, killed}, return_when=asyncio.FIRST_COMPLETED)
    for each in (task, killed):
        each.cancel()
    await asyncio.gather(task, killed, return_exceptions=True)


@asynccontextmanager
async def open_node(settings):
    """Open a :class:`Node` and its connections for the ``async with`` block."""
    backends = HttpBackendClient(settings.data_centre)
    async with aiohttp.ClientSession() as session:
        node = Node(
            settings,
            HttpStore(session, settings.store),
            InstanceList(session, settings.instances),
            backends,
            PeerClient,
        )
        try:
            yield node
        finally:
            await node.peers.close()
            await backends.close()


def start(settings):
    """Run a node.

    :param settings: path of a JSON file with the node's settings.
    """
    try:
        loaded = read_settings(settings)
    except SettingsError as error:
        for finding in error.findings:
            print(f"{settings}: {finding}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    set_up_logs(loaded.id, loaded.log_format, loaded.log_level)
    asyncio.run(serve(loaded))


def main():
    """Run the program."""
    fire.Fire(start)
