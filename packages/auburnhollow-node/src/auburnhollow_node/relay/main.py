"""Startup, settings reload and graceful shutdown of a relay node."""

import asyncio
import gc
import importlib
import logging
import signal
from contextlib import asynccontextmanager, suppress

import uvloop

from auburnhollow.decisions import log_decision
from auburnhollow.exceptions import SettingsError

from .admin import build_admin
from .logs import set_up_logs
from .node import RelayNode
from .server import RelayServer
from .settings import load_settings, reload_settings

log = logging.getLogger("node")

DRAIN_POLL_INTERVAL_MS = 50.0
# In this time before the end, requests that are not finished are answered with an error.
LAST_ANSWERS_MS = 250.0
# Requests create few reference cycles, and a full collection pauses the node for milliseconds.
GC_THRESHOLD = 50_000


class Signals:
    """The process's signals: the first SIGTERM or SIGINT sets ``stop``, the second ``kill``.

    ``on_reload`` is called on SIGHUP. It is ``None`` until the node exists, since the node starts
    with the newest settings anyway.
    """

    __slots__ = ("kill", "on_reload", "stop")

    def __init__(self):
        self.stop = asyncio.Event()
        self.kill = asyncio.Event()
        self.on_reload = None

    def attach(self, loop):
        """Install the signal handlers on ``loop``."""
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._request_stop)
        loop.add_signal_handler(signal.SIGHUP, self._request_reload)

    def _request_stop(self):
        if self.stop.is_set():
            self.kill.set()
        self.stop.set()

    def _request_reload(self):
        if self.on_reload is not None:
            self.on_reload()


async def serve(settings, path, sockets):
    """Run one node until it receives a signal to stop."""
    signals = Signals()
    signals.attach(asyncio.get_running_loop())
    adapter = importlib.import_module(settings.adapter)
    async with adapter.open_platform(settings) as platform:
        node = RelayNode(settings, platform.feed, platform.client, evidence_store=platform.evidence)
        signals.on_reload = lambda: reload(node, path)
        front = RelayServer(adapter.build_front(node))
        admin = RelayServer(build_admin(node, adapter.READY_PATH))
        async with listening(node, front, admin, sockets):
            log_decision(log, "started", data_centre=settings.data_centre)
            await signals.stop.wait()
            await shut_down(node, front, signals.kill)
    log_decision(log, "stopped")


def reload(node, path):
    """Read the settings again and apply those that a running node can change."""
    try:
        loaded = load_settings(path)
    except SettingsError as error:
        log_decision(log, "settings not valid", level=logging.ERROR, error=str(error))
        return
    changed, need_restart = reload_settings(node.settings, loaded)
    node.apply_settings()
    set_up_logs(node.settings)
    log_decision(log, "settings read again", changed=changed, need_restart=need_restart)


@asynccontextmanager
async def listening(node, front, admin, sockets):
    """Run the node and serve callers and admin requests inside the ``async with`` block."""
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
    """Stop gracefully: finish the requests in progress first.

    The node first reports that it is not ready. The balancer keeps sending for a while, so new
    requests are still served for ``linger_ms``. Then the node accepts no new connections, closes
    idle ones and finishes the requests in progress. ``kill`` ends the wait early, and
    ``shutdown_ms`` bounds it: requests that can't be finished by then are refused, and those that
    are not finished shortly before are answered with an error.
    """
    settings = node.settings
    log_decision(log, "stopping", linger_ms=settings.linger_ms, in_progress=node.in_progress)
    started_ms = node.clock.now_ms()
    node.is_stopping = True
    node.last_requests.end_by(started_ms + settings.shutdown_ms - LAST_ANSWERS_MS)
    await node.leave()
    front.close_after_answers()
    with suppress(TimeoutError):
        async with node.clock.timeout(settings.linger_ms):
            await kill.wait()
    stop_task = asyncio.get_running_loop().create_task(front.stop())
    while (not stop_task.done() or node.in_progress) and not kill.is_set():
        if node.clock.now_ms() - started_ms > settings.shutdown_ms:
            log_decision(log, "requests cut by the end of the grace period", count=node.in_progress)
            break
        await node.clock.sleep(DRAIN_POLL_INTERVAL_MS)
    stop_task.cancel()


def run(settings, path, sockets):
    """Run one node until it stops.

    :param settings: :class:`~auburnhollow_node.relay.settings.RelaySettings`.
    :param path: path of the settings file, for reloads.
    :param sockets: open :class:`~auburnhollow_node.relay.sockets.Sockets`.
    """
    set_up_logs(settings)
    gc.set_threshold(GC_THRESHOLD, 20, 100)
    gc.freeze()
    gc.enable()
    uvloop.run(serve(settings, path, sockets))
