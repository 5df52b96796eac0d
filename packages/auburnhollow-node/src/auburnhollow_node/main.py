"""The ``auburnhollow-node`` program."""

import asyncio
import logging
import signal
import sys

import aiohttp
import fire

from auburnhollow.backends import HttpBackendClient
from auburnhollow.exceptions import SettingsError
from auburnhollow.platform import HttpStore, InstanceList

from .front import build_app
from .logs import set_up_logs
from .node import Node
from .server import FrontServer
from .settings import read_settings

log = logging.getLogger("node")

EXIT_SETTINGS = 2


async def serve(settings):
    """Run one node until it is told to stop."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    kill = asyncio.Event()

    def on_signal():
        if stop.is_set():
            kill.set()
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    async with aiohttp.ClientSession() as session:
        node = Node(
            settings,
            HttpStore(session, settings.store),
            InstanceList(session, settings.instances),
            HttpBackendClient(settings.data_centre),
        )
        server = FrontServer(build_app(node), settings.host, settings.port, settings.shutdown_ms)
        running = asyncio.create_task(node.run())
        serving = asyncio.create_task(server.serve())
        await stop.wait()
        server.should_exit = True
        await serving
        running.cancel()


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
