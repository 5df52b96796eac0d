"""Following the store through a few nodes, so that its calls do not grow with the fleet."""

import asyncio
import logging
import math
from collections import deque

from ..decisions import decide
from ..exceptions import PeerError, StoreUnavailable
from ..hashing import first_ranked, ranked
from .feed import ConfigurationUpdate, Feed, HistoryLost, ServerUpdate, StoreView
from .messages import (
    Changes,
    ChangesAsk,
    KnownAsk,
    pack_update,
    unpack_servers,
    unpack_table,
    unpack_update,
)

log = logging.getLogger("follow")

# Up to this many nodes, each asks the store itself: a few calls buy independence.
MAX_DIRECT_NODES = 12
WATCHERS = 5
SUBJECT = "store"
KEPT_CHANGES = 400
# Calls between nodes are not priced, and a silent one must be noticed within the second.
PEER_WAIT_MS = 1_000.0
PEER_SLACK_MS = 500.0
# A watcher must find within two seconds that its own watch is silent.
WATCHER_WAIT_MS = 1_200.0
TRIED_WATCHERS = 3
# What a watcher knows must not be older than a change may take, less the way here.
FRESH_MS = 2_500.0
# While no watcher hears from the store, the others try it now and then: it may refuse some nodes.
DIRECT_EVERY_MS = 2_000.0
NO_VERSION = 0


class ChangeLog:
    """The newest changes of the store, for the nodes that do not ask it themselves."""

    __slots__ = ("_changed", "_changes", "_from", "revision")

    def __init__(self):
        self._changes = deque()
        self._changed = asyncio.Event()
        self._from = None
        self.revision = None

    def restart(self, revision):
        """Take that everything was read anew at ``revision``."""
        self._changes.clear()
        self._from = revision
        self._moved(revision)

    def add(self, revision, updates):
        """Take the changes up to ``revision``."""
        if updates:
            self._changes.append((revision, updates))
        while len(self._changes) > KEPT_CHANGES:
            self._from = self._changes.popleft()[0]
        self._moved(revision)

    def wake(self):
        """End all waits: the store was lost."""
        self._changed.set()
        self._changed = asyncio.Event()

    def after(self, revision):
        """Return the statements after ``revision``, or ``None`` when they are not kept."""
        if self._from is None or revision < self._from:
            return None
        found = []
        for number, updates in self._changes:
            if number > revision:
                found.extend(updates)
        return found

    async def wait(self, clock, wait_ms):
        """Wait for the next change."""
        changed = self._changed
        try:
            async with clock.timeout(wait_ms):
                await changed.wait()
        except TimeoutError:
            return

    def _moved(self, revision):
        is_new = revision != self.revision
        self.revision = revision
        if is_new:
            self.wake()


class SharedFeed(Feed):
    """Asks the store if this node is one of its watchers, and else one of them.

    In a fleet of more than ``ALONE_UP_TO`` nodes, the nodes that rank first in each data centre,
    ``WATCHERS`` or a few more in all, ask the store and answer the others. A node turns to those of
    its own data centre first, since links between data centres are costly, and asks the store
    itself when the watchers do not answer.

    :param store: the :class:`Feed` of the store itself.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    """

    __slots__ = (
        "_clock",
        "_is_direct",
        "_membership",
        "_peers",
        "_random",
        "_store",
        "_tried_ms",
    )

    def __init__(self, store, peers, membership, clock, random):
        self._clock = clock
        self._tried_ms = None
        self._store = store
        self._peers = peers
        self._membership = membership
        self._random = random
        self._is_direct = True

    @property
    def is_direct(self):
        """Whether the last answer came from the store itself."""
        return self._is_direct

    async def read(self):
        """Return a :class:`StoreView` of all that the store holds now."""
        watchers = self._watchers()
        for address in watchers:
            view = await self._read_from(address)
            if view is not None:
                self._is_direct = False
                return view
        self._go_direct(watchers)
        return await self._store.read()

    async def changes(self, revision, wait_ms):
        """Return a :class:`StoreView` of what has changed after ``revision``."""
        watchers = self._watchers()
        for address in watchers:
            view = await self._changes_from(address, revision)
            if view is not None:
                self._is_direct = False
                return view
        self._go_direct(watchers)
        if self._has_followers() or self._ranks_first():
            wait_ms = min(wait_ms, WATCHER_WAIT_MS)
        return await self._store.changes(revision, wait_ms)

    async def _read_from(self, address):
        """Return what a watcher knows, or ``None`` when it does not hear from the store."""
        ask = KnownAsk(version=NO_VERSION, revision=None)
        try:
            known = await self._peers.ask(address, ask, PEER_WAIT_MS + PEER_SLACK_MS)
            if known.table is None or known.age_ms is None or known.age_ms > FRESH_MS:
                return None
            updates = [ConfigurationUpdate(table=unpack_table(known.table))]
            for server in unpack_servers(known.servers):
                updates.append(ServerUpdate(server=server))
        except PeerError as error:
            self._passed_over(address, error)
            return None
        return StoreView(updates=updates, revision=known.revision)

    async def _changes_from(self, address, revision):
        """Return the changes that a watcher tells, or ``None`` when it tells none."""
        ask = ChangesAsk(revision=revision, wait_ms=PEER_WAIT_MS)
        try:
            changes = await self._peers.ask(address, ask, PEER_WAIT_MS + PEER_SLACK_MS)
            if changes.updates is None:
                raise HistoryLost(f"{address}: changes since {revision} are not kept")
            updates = [unpack_update(packed) for packed in changes.updates]
        except PeerError as error:
            self._passed_over(address, error)
            return None
        return StoreView(updates=updates, revision=max(revision, changes.revision))

    def _go_direct(self, watchers):
        """Let this node ask the store itself, now and then only while there are watchers.

        :raises StoreUnavailable: when it has asked a moment ago.
        """
        now_ms = self._clock.now_ms()
        if watchers and self._tried_ms is not None and now_ms - self._tried_ms < DIRECT_EVERY_MS:
            raise StoreUnavailable("no watcher hears from the store")
        self._tried_ms = now_ms
        self._is_direct = True

    def _watchers(self):
        """Return the addresses of some watchers, none when this node is to ask the store."""
        ids = self._membership.answering()
        if len(ids) <= MAX_DIRECT_NODES:
            return []
        members = self._membership.members
        by_centre = {}
        for name in ids:
            by_centre.setdefault(members[name].data_centre, []).append(name)
        count = math.ceil(WATCHERS / len(by_centre))
        near = []
        far = []
        for centre, names in by_centre.items():
            first = ranked(SUBJECT, names)[:count]
            if self._membership.me.id in first:
                return []
            group = near if centre == self._membership.me.data_centre else far
            group.extend(first)
        self._random.shuffle(near)
        self._random.shuffle(far)
        return [members[name].address for name in (near + far)[:TRIED_WATCHERS]]

    def _has_followers(self):
        return len(self._membership.answering()) > MAX_DIRECT_NODES

    def _ranks_first(self):
        """Return whether this node looks after the others' watches, where all ask the store.

        What it hears it tells; of watches that all fall silent at once, its own is found first.
        """
        ids = self._membership.answering()
        return first_ranked(SUBJECT, ids) == self._membership.me.id

    def _passed_over(self, address, error):
        decide(log, "watcher passed over", level=logging.DEBUG, peer=address, error=str(error))


class ChangeServer:
    """Answers the nodes that do not ask the store themselves.

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

        :raises StoreUnavailable: when this node does not hear from the store itself just now.
        """
        changes = self._follower.changes
        self._check()
        if changes.revision <= message.revision:
            await changes.wait(self._clock, message.wait_ms)
            self._check()
        updates = changes.after(message.revision)
        if updates is not None:
            updates = [pack_update(update) for update in updates]
        return Changes(revision=changes.revision, updates=updates)

    def _check(self):
        follower = self._follower
        if (
            not follower.is_reachable
            or not self._feed.is_direct
            or follower.changes.revision is None
        ):
            raise StoreUnavailable("this node does not hear from the store itself")
