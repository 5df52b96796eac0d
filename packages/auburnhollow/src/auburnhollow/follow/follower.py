"""Keeps the local route table and server registry in sync with the platform's store."""

import asyncio
import logging
from functools import singledispatch

from ..clock import MS_PER_SECOND
from ..decisions import log_decision
from ..exceptions import StoreUnavailable
from ..gate.evacuations import Evacuations
from ..metrics import Metrics
from ..servers.registry import REREGISTRATION_MS
from .feed import (
    ConfigurationUpdate,
    EvacuationEnd,
    EvacuationUpdate,
    EvidenceUpdate,
    HistoryLost,
    ServerRemoval,
    ServerUpdate,
    UnreadableEntry,
)
from .in_force import InForce, rounded
from .positions import era_of
from .sharing import ChangeLog

log = logging.getLogger("follow")

# An unresponsive watch must be noticed well within the 3 s that a change may take: SharedFeed
# shortens the timeout on some nodes, and on_peer_revision() covers the others.
WATCH_TIMEOUT_MS = 5_000.0
# Servers start and leave in groups; changes within this pause are fetched in one call.
BATCH_PAUSE_MS = 300.0
MIN_RETRY_PAUSE_MS = 100.0
# Delivery from the store differs by tens of milliseconds between nodes; a longer delay means an
# unresponsive watch.
PEER_REVISION_GRACE_MS = 100.0
MAX_RETRY_PAUSE_MS = 800.0
# A watch that ends this soon after the store's last answer may just have been cut. No entry can
# have expired since: servers register every second or so, and expire after three such intervals.
MAX_CUT_AGE_MS = 2_000.0
# A watch this short tells whether the store answers.
CHECK_WAIT_MS = 20.0
# Watches in a row that end without the changes up to the revision that they name.
MAX_INCOMPLETE = 2


@singledispatch
def apply_update(update, follower, is_current):
    """Apply one update from the store to ``follower``.

    :param is_current: whether the update is at least as new as all that the follower knows.
    """
    raise TypeError(type(update).__name__)


@apply_update.register
def _(update: ConfigurationUpdate, follower, is_current):
    follower.apply_routes(update.table)


@apply_update.register
def _(update: ServerUpdate, follower, is_current):
    follower.registry.put(update.server, is_current)


@apply_update.register
def _(update: ServerRemoval, follower, is_current):
    follower.registry.remove(update.id)


@apply_update.register
def _(update: EvidenceUpdate, follower, is_current):
    if follower.on_evidence is not None:
        follower.on_evidence(update.fingerprint, update.entries)


@apply_update.register
def _(update: EvacuationUpdate, follower, is_current):
    follower.evacuations.apply(update.data_centre, update.revision, True, follower.source)


@apply_update.register
def _(update: EvacuationEnd, follower, is_current):
    follower.evacuations.apply(update.data_centre, update.revision, False, follower.source)


@apply_update.register
def _(update: UnreadableEntry, follower, is_current):
    log_decision(log, "entry not readable", level=logging.WARNING, **update.to_map())


class Follower:
    """Reads the store once, then watches it for changes.

    Retries with backoff while the store is unreachable, and reads everything again when the store
    no longer keeps the changes since the last known revision, or has come back from an older copy.
    After that, what the copy lacks is kept until it can have been written again.

    :param feed: :class:`Feed`.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param on_routes: callback that receives each newer
        :class:`~auburnhollow.routes.RouteTable`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param evacuations: :class:`~auburnhollow.gate.Evacuations`.

    ``in_force`` is the :class:`~auburnhollow.follow.in_force.InForce` of this node, ``change_log``
    the :class:`ChangeLog` served to other nodes. ``first_read_done`` is an event
    set once the first read has succeeded or failed. ``ask_peers`` is a coroutine function called
    after each failed call to the store, to fetch state from other nodes. ``on_revision`` is a
    callback that receives each newer store revision; it lets other nodes call
    :meth:`on_peer_revision`. ``on_version`` is one that receives the version of each configuration
    that the store itself has delivered, and its position, ``on_evidence`` one that receives the
    fingerprint and the entries of each :class:`EvidenceUpdate`, ``on_restored`` one that is called
    when the store has come back from an older copy. ``watch_ms`` is the longest time between two
    confirmations of the local state while the store answers.

    >>> follower = Follower(feed, registry, clock, random)
    >>> task = asyncio.create_task(follower.run())
    """

    __slots__ = (
        "_clock",
        "_confirmed_ms",
        "_delivered_version",
        "_feed",
        "_followed_revision",
        "_incomplete_count",
        "_is_checking",
        "_is_reachable",
        "_is_reread_due",
        "_is_watch_stale",
        "_metrics",
        "_newest_revision",
        "_random",
        "_reread_ms",
        "_revision",
        "_routes",
        "_unconfirmed_ms",
        "_watch_task",
        "ask_peers",
        "change_log",
        "evacuations",
        "first_read_done",
        "in_force",
        "on_evidence",
        "on_restored",
        "on_revision",
        "on_routes",
        "on_version",
        "registry",
        "watch_ms",
    )

    def __init__(
        self,
        feed,
        registry,
        clock,
        random,
        on_routes=None,
        metrics=None,
        evacuations=None,
    ):
        self._feed = feed
        self._clock = clock
        self._random = random
        self._metrics = metrics or Metrics()
        self._delivered_version = 0
        self._followed_revision = None
        self._incomplete_count = 0
        self._is_checking = False
        self._is_watch_stale = False
        self._is_reachable = None
        self._is_reread_due = False
        self._newest_revision = None
        self._reread_ms = None
        self._revision = None
        self._routes = None
        self._confirmed_ms = None
        self._unconfirmed_ms = None
        self._watch_task = None
        self.registry = registry
        self.evacuations = Evacuations(clock) if evacuations is None else evacuations
        self.change_log = ChangeLog()
        self.in_force = InForce(clock)
        self.ask_peers = None
        self.first_read_done = asyncio.Event()
        self.on_routes = on_routes
        self.on_revision = None
        self.on_version = None
        self.on_evidence = None
        self.on_restored = None
        self.watch_ms = WATCH_TIMEOUT_MS

    @property
    def routes(self):
        """The newest known :class:`~auburnhollow.routes.RouteTable`, or ``None``."""
        return self._routes

    @property
    def is_reachable(self):
        """Whether the last call to the store succeeded; ``None`` before the first call ends."""
        return self._is_reachable

    @property
    def is_direct(self):
        """Whether the last answer came from the store itself rather than from another node."""
        return getattr(self._feed, "is_direct", True)

    @property
    def has_delivered(self):
        """Whether the version in force came from a watch, or everything was read since then."""
        return self._routes is None or self._delivered_version >= self._routes.version

    @property
    def source(self):
        """Where updates come from: the store, or another node."""
        return "store" if self.is_direct else "peer"

    @property
    def age_ms(self):
        """Milliseconds since the store last confirmed the local state; ``None`` if it never did."""
        if self._confirmed_ms is None:
            return None
        return self._clock.now_ms() - self._confirmed_ms

    def apply_routes(self, table, through=None):
        """Put a route table in force unless its version is already known or older.

        :param through: peer address of the node that it comes from, if not from the feed.
        """
        known = self._routes
        if known is not None and table.version <= known.version:
            if table.version < known.version:
                log_decision(
                    log, "configuration ignored", version=table.version, known=known.version
                )
            return
        if known is not None:
            table.take_over(known)
        self._routes = table
        through = through or getattr(self._feed, "through", None)
        heard_ms = self.in_force.begin(table.version, through)
        log_decision(
            log,
            "configuration in force",
            version=table.version,
            before=None if known is None else known.version,
            routes=len(table.routes),
            through=through,
            unconfirmed_ms=self._unconfirmed_ms,
            heard_ms=rounded(heard_ms),
            era=self.in_force.era,
            revision=self.in_force.revision,
        )
        if self.on_routes is not None:
            self.on_routes(table)

    @property
    def newest_revision(self):
        """The newest position that is known, from the store or from other nodes, or ``None``."""
        return self._newest_revision

    def is_of_older_era(self, revision):
        """Return whether a position, or ``None``, lies before the store's last known return."""
        known = self._newest_revision
        return revision is not None and known is not None and era_of(revision) < era_of(known)

    def learn_servers(self, servers, revision):
        """Apply the servers that another node knows.

        :param revision: the position of that node's state.
        """
        for server in servers:
            self.registry.put(server)
        self._set_newest(revision)

    def take_undelivered(self, update):
        """Put a :class:`ConfigurationUpdate` that was not delivered in force if it is newer."""
        if self._routes is not None and update.table.version <= self._routes.version:
            return
        self.apply_routes(update.table)
        if self.on_version is not None:
            self.on_version(update.table.version, update.position)

    def read_again(self):
        """Read everything now, since the watch may have missed changes."""
        self._is_reread_due = True
        if self._watch_task is not None:
            self._is_watch_stale = True
            self._watch_task.cancel()

    def on_peer_revision(self, revision):
        """Handle the report that another node has received ``revision`` from the store.

        If the local watch does not deliver it within the grace period, the watch is considered
        unresponsive and is restarted.
        """
        if self._revision is None or revision <= self._revision:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(PEER_REVISION_GRACE_MS / MS_PER_SECOND, self._cancel_stale_watch, revision)

    async def run(self):
        """Follow the store until cancelled, with jittered backoff while it is unavailable."""
        pause_ms = MIN_RETRY_PAUSE_MS
        while True:
            try:
                await self.step()
                pause_ms = MIN_RETRY_PAUSE_MS
            except StoreUnavailable as error:
                self._metrics.incr("store.failures")
                if self._may_be_cut():
                    log_decision(log, "watch ended, checking the store", error=str(error))
                    self._is_checking = True
                else:
                    self._on_store_lost(error)
                    if self.ask_peers is not None:
                        await self.ask_peers()
                    self.first_read_done.set()
                await self._clock.sleep(pause_ms * (0.5 + self._random.random()))
                pause_ms = min(MAX_RETRY_PAUSE_MS, pause_ms * 2)

    async def step(self):
        """Read the whole store, or wait for the next changes once it has been read.

        :raises StoreUnavailable: when the store does not answer.
        """
        if self._revision is None or self._is_reread_due:
            await self._read()
        else:
            await self._follow()

    async def _read(self):
        self._is_reread_due = False
        self._metrics.incr("store.reads")
        # Other nodes may tell of newer positions meanwhile.
        newest = self._newest_revision
        view = await self._feed.read()
        is_restored = self._is_restored(view, newest)
        self._on_store_reached(view)
        if is_restored:
            log_decision(
                log,
                "store came back from a copy",
                level=logging.WARNING,
                revision=view.revision,
                known=self._newest_revision,
            )
            self._newest_revision = None
            self.registry.store_restored()
        self._apply_snapshot(view, is_restored)
        self._set_revision(view.revision)
        self.change_log.reset(view.revision)
        self._report_versions(view)
        if self._routes is not None:
            self._delivered_version = self._routes.version
        self.first_read_done.set()
        if is_restored and self.on_restored is not None:
            self.on_restored()

    async def _follow(self):
        self._metrics.incr("store.watches")
        try:
            view = await self._watch()
        except HistoryLost:
            log_decision(log, "history lost, reading the whole store", revision=self._revision)
            self._revision = None
            return
        if view is None:
            return
        self._on_store_reached(view)
        is_current = self._is_current(view)
        for update in view.updates:
            self._apply(update, is_current)
        self._set_revision(view.revision)
        self.change_log.add(view.revision, view.updates)
        self._report_versions(view)
        if view.is_complete:
            self._incomplete_count = 0
        else:
            await self._on_incomplete()
        if view.updates:
            await self._clock.sleep(BATCH_PAUSE_MS)

    async def _on_incomplete(self):
        """Ask again for changes that an answer lacked; read everything if that fails too."""
        self._metrics.incr("store.incomplete")
        self._incomplete_count += 1
        if self._incomplete_count >= MAX_INCOMPLETE:
            self._incomplete_count = 0
            self._revision = None
        await self._clock.sleep(MIN_RETRY_PAUSE_MS)

    def _report_versions(self, view):
        for update in view.updates:
            if not isinstance(update, ConfigurationUpdate):
                continue
            version = update.table.version
            self._delivered_version = max(version, self._delivered_version)
            if self.on_version is not None and self.is_direct:
                self.on_version(version, view.revision)

    def _is_restored(self, view, newest):
        """Return whether the store has come back from an older copy since the last view.

        :param newest: the newest position that was known when the view was asked for, or ``None``.
        """
        followed = self._followed_revision
        if followed is not None and era_of(view.revision) > era_of(followed):
            return True
        if newest is None or view.revision >= newest and era_of(view.revision) == era_of(newest):
            return False
        # A node that is asked instead of the store may just be behind.
        return era_of(view.revision) > era_of(newest) or self.is_direct

    def _is_current(self, view):
        return self._newest_revision is None or view.revision >= self._newest_revision

    async def _watch(self):
        """Return the next changes, or ``None`` when the watch was cancelled as unresponsive."""
        self._is_watch_stale = False
        watch = self._feed.changes(self._revision, self._wait_ms())
        self._watch_task = asyncio.get_running_loop().create_task(watch)
        try:
            return await self._watch_task
        except asyncio.CancelledError:
            if not self._is_watch_stale or asyncio.current_task().cancelling():
                raise
            log_decision(log, "watch is silent, asking anew", revision=self._revision)
            return None
        finally:
            self._watch_task.cancel()
            self._watch_task = None

    def _may_be_cut(self):
        """Return whether a failed call may only be a watch that was cut."""
        if self._is_checking or not self._is_reachable or self._revision is None:
            return False
        return self.age_ms is not None and self.age_ms < MAX_CUT_AGE_MS

    def _wait_ms(self):
        """Return the longest time for the next watch, in milliseconds."""
        if self._is_checking or self._is_reachable is False:
            return CHECK_WAIT_MS
        if self._reread_ms is None:
            return self.watch_ms
        left_ms = self._reread_ms - self._clock.now_ms()
        if left_ms <= 0:
            self._reread_ms = None
            raise HistoryLost("what the store's copy lacks may be written again by now")
        return min(self.watch_ms, left_ms)

    def _cancel_stale_watch(self, revision):
        """Cancel the running watch if it has not delivered ``revision`` yet."""
        if self._watch_task is None or self._revision is None or self._revision >= revision:
            return
        self._is_watch_stale = True
        self._watch_task.cancel()

    def _set_revision(self, revision):
        is_newer = self._revision is None or revision > self._revision
        self._revision = revision
        self._followed_revision = revision
        self._set_newest(revision)
        if is_newer and self.on_revision is not None:
            self.on_revision(revision)

    def _apply(self, update, is_current):
        """Apply one update; an error must not keep the others out."""
        try:
            apply_update(update, self, is_current)
        except Exception:
            self._metrics.incr("store.updates_failed")
            log.exception("follow: update not applied: %s", type(update).__name__)

    def _set_newest(self, revision):
        if self._newest_revision is None or revision > self._newest_revision:
            self._newest_revision = revision

    def _apply_snapshot(self, view, is_restored):
        is_current = not is_restored and self._is_current(view)
        servers = []
        evacuated = {}
        for update in view.updates:
            if isinstance(update, ServerUpdate):
                servers.append(update.server)
                continue
            if isinstance(update, EvacuationUpdate):
                evacuated[update.data_centre] = update.revision
                continue
            self._apply(update, is_current)
        self.registry.replace(servers, is_current)
        if view.has_evacuations:
            self._replace_evacuations(evacuated, view.revision, is_restored)
        log_decision(log, "store read", revision=view.revision, servers=len(servers))

    def _replace_evacuations(self, evacuated, revision, is_restored):
        missing = self.evacuations.active - evacuated.keys()
        if is_restored and missing:
            # The operators write them again; those that are still missing then have ended.
            self._reread_ms = self._clock.now_ms() + REREGISTRATION_MS
            evacuated = {**evacuated, **dict.fromkeys(missing, revision)}
        self.evacuations.replace(evacuated, revision, self.source)

    def _on_store_reached(self, view):
        self._is_checking = False
        self.in_force.position = view.revision
        if view.age_ms is not None:
            self._on_confirmed(self._clock.now_ms() - view.age_ms)
        if self._is_reachable:
            return
        if self._is_reachable is False:
            log_decision(log, "store regained", revision=self._revision)
        self._is_reachable = True
        self.registry.outage_ended()

    def _on_confirmed(self, confirmed_ms):
        if self._confirmed_ms is not None:
            unconfirmed_ms = self.age_ms
            self._unconfirmed_ms = round(unconfirmed_ms)
            self._metrics.timing("store.unconfirmed_ms", unconfirmed_ms)
        self._confirmed_ms = confirmed_ms
        self.change_log.notify()

    def _on_store_lost(self, error):
        self._is_checking = False
        self.registry.outage_began()
        if self._is_reachable is not False:
            log_decision(
                log, "store lost", level=logging.WARNING, error=str(error), age_ms=self.age_ms
            )
        self._is_reachable = False
        self.change_log.notify()
