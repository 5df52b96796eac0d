"""The program of a node that passes requests on."""

import asyncio
import gc
import importlib
import logging
import signal
from contextlib import asynccontextmanager, suppress

import uvloop

from auburnhollow.decisions import decide
from auburnhollow.exceptions import SettingsError

from .admin import build_admin
from .logs import set_up_logs
from .node import RelayNode
from .server import RelayServer
from .settings import load_settings, reload_settings

log = logging.getLogger("node")

DRAIN_POLL_MS = 50.0
# Few objects of a request are cyclic; a full collection stops the node for milliseconds.
GC_THRESHOLD = 50_000


class Signals:
    """What the process was told: ``stop`` once, ``kill`` by a second signal.

    ``on_reload`` is called when settings are to be read again, ``None`` before there is a node: it
    starts with the newest settings anyway.
    """

    __slots__ = ("kill", "on_reload", "stop")

    def __init__(self):
        self.stop = asyncio.Event()
        self.kill = asyncio.Event()
        self.on_reload = None

    def attach(self, loop):
        """Listen to the signals of the process."""
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._told_to_stop)
        loop.add_signal_handler(signal.SIGHUP, self._told_to_reload)

    def _told_to_stop(self):
        if self.stop.is_set():
            self.kill.set()
        self.stop.set()

    def _told_to_reload(self):
        if self.on_reload is not None:
            self.on_reload()


async def serve(settings, path, sockets):
    """Run one node until it is told to stop."""
    signals = Signals()
    signals.attach(asyncio.get_running_loop())
    adapter = importlib.import_module(settings.adapter)
    async with adapter.open_platform(settings) as platform:
        node = RelayNode(settings, platform.feed, platform.client)
        signals.on_reload = lambda: reload(node, path)
        front = RelayServer(adapter.build_front(node))
        admin = RelayServer(build_admin(node, adapter.READY_PATH))
        async with listening(node, front, admin, sockets):
            decide(log, "started", data_centre=settings.data_centre)
            await signals.stop.wait()
            await shut_down(node, front, signals.kill)
    decide(log, "stopped")


def reload(node, path):
    """Read the settings again and apply what a running node can change."""
    try:
        found = load_settings(path)
    except SettingsError as error:
        decide(log, "settings not valid", level=logging.ERROR, error=str(error))
        return
    changed, waiting = reload_settings(node.settings, found)
    node.apply_settings()
    set_up_logs(node.settings)
    decide(log, "settings read again", changed=changed, need_restart=waiting)


@asynccontextmanager
async def listening(node, front, admin, sockets):
    """Serve callers, and the balancer's and operators' questions, for the length of the block."""
    await node.start(sockets.peer)
    front.limits = lambda: node.routes.limits if node.routes else None
    node.count_connections = lambda: front.connections
    await admin.listen(sockets.admin)
    await front.listen(sockets.front)
    try:
        yield
    finally:
        await node.stop()
        front.close()
        admin.close()


async def shut_down(node, front, kill):
    """Stop without cutting a request.

    The balancer learns first and goes on sending for a while, which is still served; then new
    connections and idle ones end, and requests in progress are finished.
    """
    settings = node.settings
    decide(log, "stopping", linger_ms=settings.linger_ms, in_progress=node.in_progress)
    started_ms = node.clock.now_ms()
    node.is_stopping = True
    await node.leave()
    front.close_after_answers()
    with suppress(TimeoutError):
        async with node.clock.timeout(settings.linger_ms):
            await kill.wait()
    ending = asyncio.get_running_loop().create_task(front.stop())
    while (not ending.done() or node.in_progress) and not kill.is_set():
        if node.clock.now_ms() - started_ms > settings.shutdown_ms:
            decide(log, "requests cut by the end of the grace period", count=node.in_progress)
            break
        await node.clock.sleep(DRAIN_POLL_MS)
    ending.cancel()


def run(settings, path, sockets):
    """Run one node to its end.

    :param path: where the settings were read from.
    :param sockets: :class:`~auburnhollow_node.relay.sockets.Sockets`, open already.
    """
    set_up_logs(settings)
    gc.set_threshold(GC_THRESHOLD, 20, 100)
    gc.freeze()
    gc.enable()
    uvloop.run(serve(settings, path, sockets))
