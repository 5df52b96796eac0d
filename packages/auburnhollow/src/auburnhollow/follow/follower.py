"""Keeps the routes and the backend servers as the platform's store has them."""

import asyncio
import logging
from functools import singledispatch

from ..clock import MS_PER_SECOND
from ..decisions import decide
from ..exceptions import StoreUnavailable
from ..metrics import Metrics
from .feed import ConfigurationUpdate, HistoryLost, ServerRemoval, ServerUpdate, UnreadableEntry
from .sharing import ChangeLog

log = logging.getLogger("follow")

# A connection that has gone silent must be noticed well within the 3 s that a change may take.
WAIT_MS = 5_000.0
# Servers start and leave in groups: what changes within this time costs one call, not one each.
COLLECT_MS = 300.0
FIRST_PAUSE_MS = 100.0
# One way from the store differs by tens of milliseconds between nodes; more is a silent watch.
HEARD_MS = 100.0
LONGEST_PAUSE_MS = 800.0


@singledispatch
def take(update, follower):
    """Apply one statement of the store."""
    raise TypeError(type(update).__name__)


@take.register
def _(update: ConfigurationUpdate, follower):
    follower.keep_routes(update.table)


@take.register
def _(update: ServerUpdate, follower):
    follower.registry.put(update.server)


@take.register
def _(update: ServerRemoval, follower):
    follower.registry.remove(update.id)


@take.register
def _(update: UnreadableEntry, follower):
    decide(log, "entry not readable", level=logging.WARNING, **update.to_map())


class Follower:
    """Reads the store once, then its changes, through outages and lost history.

    :param feed: :class:`Feed`.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param on_routes: function that is called with each newer
        :class:`~auburnhollow.routes.RouteTable`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.

    ``changes`` keeps what has changed, for other nodes. ``first_answer`` is an event that is set
    once the first read has ended, well or not. ``ask_others`` is a coroutine function that is
    called while the store can't be reached, to learn from other nodes. ``tell`` is a function that
    is called with each newer revision of the store, for other nodes' :meth:`hear`.

    >>> follower = Follower(feed, registry, clock, random)
    >>> task = asyncio.create_task(follower.run())
    """

    __slots__ = (
        "_clock",
        "_feed",
        "_is_behind",
        "_is_reachable",
        "_metrics",
        "_random",
        "_revision",
        "_routes",
        "_seen_ms",
        "_waiting",
        "changes",
        "ask_peers",
        "first_read_done",
        "on_routes",
        "registry",
        "tell",
    )

    def __init__(self, feed, registry, clock, random, on_routes=None, metrics=None):
        self._feed = feed
        self._clock = clock
        self._random = random
        self._metrics = metrics or Metrics()
        self._is_behind = False
        self._is_reachable = None
        self._revision = None
        self._routes = None
        self._seen_ms = None
        self._waiting = None
        self.registry = registry
        self.changes = ChangeLog()
        self.ask_peers = None
        self.first_read_done = asyncio.Event()
        self.on_routes = on_routes
        self.tell = None

    @property
    def routes(self):
        """The newest :class:`~auburnhollow.routes.RouteTable`, or ``None``."""
        return self._routes

    @property
    def is_reachable(self):
        """Whether the store answered last time; ``None`` before the first try."""
        return self._is_reachable

    @property
    def is_direct(self):
        """Whether the last answer came from the store itself, and not from another node."""
        return getattr(self._feed, "is_direct", True)

    @property
    def age_ms(self):
        """Milliseconds since the store last confirmed what is known; ``None`` if it never did."""
        if self._seen_ms is None:
            return None
        return self._clock.now_ms() - self._seen_ms

    def keep_routes(self, table):
        """Take a configuration unless a newer one is in force."""
        known = self._routes
        if known is not None and table.version <= known.version:
            if table.version < known.version:
                decide(log, "configuration ignored", version=table.version, known=known.version)
            return
        if known is not None:
            table.take_over(known)
        self._routes = table
        decide(
            log,
            "configuration in force",
            version=table.version,
            before=None if known is None else known.version,
            routes=len(table.routes),
        )
        if self.on_routes is not None:
            self.on_routes(table)

    def hear(self, revision):
        """Take that the store has told another node of ``revision``.

        A watch that does not tell of it soon hears nothing any more: the store is asked anew.
        """
        if self._revision is None or revision <= self._revision:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(HEARD_MS / MS_PER_SECOND, self._end_silent, revision)

    async def run(self):
        """Follow the store until cancelled."""
        pause_ms = FIRST_PAUSE_MS
        while True:
            try:
                await self.step()
                pause_ms = FIRST_PAUSE_MS
            except StoreUnavailable as error:
                self._metrics.incr("store.failures")
                self._lost(error)
                if self.ask_peers is not None:
                    await self.ask_peers()
                self.first_read_done.set()
                await self._clock.sleep(pause_ms * (0.5 + self._random.random()))
                pause_ms = min(LONGEST_PAUSE_MS, pause_ms * 2)

    async def step(self):
        """Read everything, or wait for the next changes.

        :raises StoreUnavailable: when the store gives no answer.
        """
        if self._revision is None:
            self._metrics.incr("store.reads")
            view = await self._feed.read()
            self._reached()
            self._take_all(view)
        else:
            self._metrics.incr("store.watches")
            try:
                view = await self._next_changes()
            except HistoryLost:
                decide(log, "history lost, reading anew", revision=self._revision)
                self._revision = None
                return
            if view is None:
                return
            self._reached()
            for update in view.updates:
                take(update, self)
            self._moved(view.revision)
            self.changes.add(view.revision, view.updates)
            if view.updates:
                await self._clock.sleep(COLLECT_MS)
            return
        self._moved(view.revision)
        self.changes.restart(view.revision)
        self.first_read_done.set()

    async def _next_changes(self):
        """Return the next changes, or ``None`` when the watch was found silent."""
        self._is_behind = False
        work = self._feed.changes(self._revision, WAIT_MS)
        self._waiting = asyncio.get_running_loop().create_task(work)
        try:
            return await self._waiting
        except asyncio.CancelledError:
            if not self._is_behind or asyncio.current_task().cancelling():
                raise
            decide(log, "watch is silent, asking anew", revision=self._revision)
            return None
        finally:
            self._waiting.cancel()
            self._waiting = None

    def _end_silent(self, revision):
        """End the present wait if the store has not told of ``revision`` yet."""
        if self._waiting is None or self._revision is None or self._revision >= revision:
            return
        self._is_behind = True
        self._waiting.cancel()

    def _moved(self, revision):
        is_newer = self._revision is None or revision > self._revision
        self._revision = revision
        if is_newer and self.tell is not None:
            self.tell(revision)

    def _take_all(self, view):
        servers = []
        for update in view.updates:
            if isinstance(update, ServerUpdate):
                servers.append(update.server)
                continue
            take(update, self)
        self.registry.replace(servers)
        decide(log, "store read", revision=view.revision, servers=len(servers))

    def _reached(self):
        self._seen_ms = self._clock.now_ms()
        if self._is_reachable:
            return
        if self._is_reachable is False:
            decide(log, "store regained", revision=self._revision)
        self._is_reachable = True
        self.registry.outage_ended()

    def _lost(self, error):
        self.registry.outage_began()
        if self._is_reachable is not False:
            decide(log, "store lost", level=logging.WARNING, error=str(error), age_ms=self.age_ms)
        self._is_reachable = False
        self.changes.wake()
