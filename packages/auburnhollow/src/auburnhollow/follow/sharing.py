"""Shares the store watches of a few nodes, so that store calls do not grow with the fleet."""

import asyncio
import logging
import math
from collections import deque

from ..decisions import log_decision
from ..exceptions import PeerError, PeerRefused, StoreUnavailable
from ..hashing import first_ranked, ranked
from .feed import ConfigurationUpdate, EvacuationUpdate, Feed, HistoryLost, ServerUpdate, StoreView
from .messages import (
    Changes,
    ChangesAsk,
    StateAsk,
    pack_update,
    unpack_servers,
    unpack_table,
    unpack_update,
)

log = logging.getLogger("follow")

# Up to this fleet size each node calls the store itself: it costs few calls and keeps nodes
# independent of each other.
MAX_DIRECT_NODES = 12
WATCHERS = 5
RANKING_KEY = "store"
MAX_KEPT_CHANGES = 400
# Unlike store calls, calls between nodes are not billed; an unresponsive one must be noticed within
# a second.
PEER_WATCH_MS = 1_000.0
PEER_TIMEOUT_MARGIN_MS = 500.0
# A watcher must detect within two seconds that its own watch is unresponsive.
WATCHER_TIMEOUT_MS = 1_200.0
MAX_WATCHERS_TRIED = 3
# Limit on the age of a watcher's state: the time that a change may take (3 s), less the transfer.
MAX_STATE_AGE_MS = 2_500.0
# While no watcher reaches the store, the other nodes try it at this interval, since the store may
# reject only some nodes.
DIRECT_RETRY_INTERVAL_MS = 2_000.0
NO_VERSION = 0


class ChangeLog:
    """The newest changes of the store, kept for nodes that do not call it themselves.

    ``revision`` is the newest known store revision, or ``None`` before the first read.
    """

    __slots__ = ("_changed_event", "_changes", "_oldest_revision", "revision")

    def __init__(self):
        self._changes = deque()
        self._changed_event = asyncio.Event()
        self._oldest_revision = None
        self.revision = None

    def reset(self, revision):
        """Drop all changes after a full read of the store at ``revision``."""
        self._changes.clear()
        self._oldest_revision = revision
        self._set_revision(revision)

    def add(self, revision, updates):
        """Append the changes up to ``revision``, dropping the oldest over ``MAX_KEPT_CHANGES``."""
        if updates:
            self._changes.append((revision, updates))
        while len(self._changes) > MAX_KEPT_CHANGES:
            self._oldest_revision = self._changes.popleft()[0]
        self._set_revision(revision)

    def notify(self):
        """Wake all waiters, after a change or when the store becomes unreachable."""
        self._changed_event.set()
        self._changed_event = asyncio.Event()

    def after(self, revision):
        """Return the updates after ``revision``, or ``None`` when they are no longer kept."""
        if self._oldest_revision is None or revision < self._oldest_revision:
            return None
        found = []
        for change_revision, updates in self._changes:
            if change_revision > revision:
                found.extend(updates)
        return found

    async def wait(self, clock, wait_ms):
        """Wait up to ``wait_ms`` milliseconds for :meth:`notify`."""
        changed = self._changed_event
        try:
            async with clock.timeout(wait_ms):
                await changed.wait()
        except TimeoutError:
            return

    def _set_revision(self, revision):
        is_new = revision != self.revision
        self.revision = revision
        if is_new:
            self.notify()


class SharedFeed(Feed):
    """Reads the store directly if this node is a watcher, and otherwise through a watcher.

    In a fleet of more than ``MAX_DIRECT_NODES`` nodes, the nodes that rank first by rendezvous
    hashing in each data centre, ``WATCHERS`` or a few more in total, watch the store and serve the
    others. A node prefers watchers in its own data centre, since links between data centres are
    costly, and calls the store itself when no watcher answers.

    :param store: the :class:`Feed` of the store itself.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.

    ``has_evacuations`` is a function that returns whether this node knows of evacuated data
    centres; a watcher must then tell which there are.
    """

    __slots__ = (
        "_clock",
        "_last_direct_ms",
        "_membership",
        "_peers",
        "_random",
        "_store",
        "_through",
        "has_evacuations",
    )

    def __init__(self, store, peers, membership, clock, random):
        self._clock = clock
        self._last_direct_ms = None
        self._store = store
        self._peers = peers
        self._membership = membership
        self._random = random
        self._through = None
        self.has_evacuations = lambda: False

    @property
    def is_direct(self):
        """Whether the last answer came from the store itself."""
        return self._through is None

    @property
    def through(self):
        """Peer address of the node that gave the last answer, ``None`` if it was the store."""
        return self._through

    async def read(self):
        """Return a :class:`StoreView` of the store's current content."""
        watchers = self._watchers()
        for address in watchers:
            view = await self._read_from(address)
            if view is not None:
                self._through = address
                return view
        self._switch_to_store(watchers)
        return await self._store.read()

    async def changes(self, revision, wait_ms):
        """Return a :class:`StoreView` of the changes after ``revision``."""
        watchers = self._watchers()
        for address in watchers:
            view = await self._changes_from(address, revision)
            if view is not None:
                self._through = address
                return view
        self._switch_to_store(watchers)
        if self._fleet_has_watchers() or self._ranks_first():
            wait_ms = min(wait_ms, WATCHER_TIMEOUT_MS)
        return await self._store.changes(revision, wait_ms)

    async def _read_from(self, address):
        """Return a watcher's state, or ``None`` when it has no fresh state or does not answer."""
        ask = StateAsk(version=NO_VERSION, revision=None, has_evacuations=self.has_evacuations())
        try:
            answer = await self._peers.ask(address, ask, PEER_WATCH_MS + PEER_TIMEOUT_MARGIN_MS)
            if answer.table is None or answer.age_ms is None or answer.age_ms > MAX_STATE_AGE_MS:
                return None
            updates = [ConfigurationUpdate(table=unpack_table(answer.table))]
            for server in unpack_servers(answer.servers):
                updates.append(ServerUpdate(server=server))
            for data_centre, revision, is_active in answer.evacuations or ():
                if is_active:
                    updates.append(EvacuationUpdate(data_centre=data_centre, revision=revision))
        except PeerError as error:
            self._log_passed_over(address, error)
            return None
        return StoreView(
            updates=updates,
            revision=answer.revision,
            has_evacuations=answer.evacuations is not None,
        )

    async def _changes_from(self, address, revision):
        """Return the changes from a watcher, or ``None`` when it does not answer.

        :raises HistoryLost: when the watcher no longer keeps the changes since ``revision``.
        """
        ask = ChangesAsk(revision=revision, wait_ms=PEER_WATCH_MS)
        try:
            changes = await self._peers.ask(address, ask, PEER_WATCH_MS + PEER_TIMEOUT_MARGIN_MS)
            if changes.updates is None:
                raise HistoryLost(f"{address}: changes since {revision} are not kept")
            updates = [unpack_update(packed) for packed in changes.updates]
        except PeerError as error:
            self._log_passed_over(address, error)
            return None
        return StoreView(updates=updates, revision=max(revision, changes.revision))

    def _switch_to_store(self, watchers):
        """Switch to direct calls to the store, rate-limited while the fleet has watchers.

        :raises StoreUnavailable: when the last direct call is less than
            ``DIRECT_RETRY_INTERVAL_MS`` ago.
        """
        now_ms = self._clock.now_ms()
        if (
            watchers
            and self._last_direct_ms is not None
            and now_ms - self._last_direct_ms < DIRECT_RETRY_INTERVAL_MS
        ):
            raise StoreUnavailable("no watcher reaches the store")
        self._last_direct_ms = now_ms
        self._through = None

    def _watchers(self):
        """Return the addresses of watchers to try, empty when this node calls the store itself."""
        ids = self._membership.answering()
        if len(ids) <= MAX_DIRECT_NODES:
            return []
        members = self._membership.members
        by_data_centre = {}
        for name in ids:
            by_data_centre.setdefault(members[name].data_centre, []).append(name)
        count = math.ceil(WATCHERS / len(by_data_centre))
        local = []
        remote = []
        for data_centre, names in by_data_centre.items():
            top_ranked = ranked(RANKING_KEY, names)[:count]
            if self._membership.me.id in top_ranked:
                return []
            group = local if data_centre == self._membership.me.data_centre else remote
            group.extend(top_ranked)
        self._random.shuffle(local)
        self._random.shuffle(remote)
        return [members[name].address for name in (local + remote)[:MAX_WATCHERS_TRIED]]

    def _fleet_has_watchers(self):
        return len(self._membership.answering()) > MAX_DIRECT_NODES

    def _ranks_first(self):
        """Return whether this node ranks first in a fleet where every node watches the store.

        It uses the shorter watch timeout and gossips each revision, so that when all watches stop
        responding at once, its own is detected first and the other nodes are notified.
        """
        ids = self._membership.answering()
        return first_ranked(RANKING_KEY, ids) == self._membership.me.id

    def _log_passed_over(self, address, error):
        # Watchers refuse all nodes while the store is down; one that is silent is rare.
        level = logging.DEBUG if isinstance(error, PeerRefused) else logging.INFO
        log_decision(log, "watcher passed over", level=level, peer=address, error=str(error))


class ChangeServer:
    """Serves changes to the nodes that do not call the store themselves.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param feed: :class:`SharedFeed` of the follower.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_feed", "_follower")

    def __init__(self, follower, feed, clock):
        self._follower = follower
        self._feed = feed
        self._clock = clock

    async def answer(self, message):
        """Answer a :class:`ChangesAsk`.

        :raises StoreUnavailable: when this node does not currently reach the store itself.
        """
        change_log = self._follower.change_log
        self._check()
        if change_log.revision <= message.revision:
            await change_log.wait(self._clock, message.wait_ms)
            self._check()
        updates = change_log.after(message.revision)
        if updates is not None:
            updates = [pack_update(update) for update in updates]
        return Changes(revision=change_log.revision, updates=updates)

    def _check(self):
        follower = self._follower
        if (
            not follower.is_reachable
            or not self._feed.is_direct
            or follower.change_log.revision is None
        ):
            raise StoreUnavailable("this node does not reach the store itself")
