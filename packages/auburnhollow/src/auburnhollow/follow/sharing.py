"""Shares the store watches of a few nodes, so that store calls do not grow with the fleet."""

import asyncio
import logging
import math
from collections import deque
from contextlib import contextmanager

from ..decisions import log_decision
from ..exceptions import PeerError, PeerRefused, StoreUnavailable
from ..hashing import first_ranked, ranked
from .feed import ConfigurationUpdate, EvacuationUpdate, Feed, HistoryLost, ServerUpdate, StoreView
from .messages import (
    NO_REVISION,
    Changes,
    ChangesAsk,
    StateAsk,
    pack_update,
    unpack_servers,
    unpack_table,
    unpack_update,
)
from .positions import era_of, for_asker, position_of

log = logging.getLogger("follow")

# Up to this fleet size each node calls the store itself: it costs few calls and keeps nodes
# independent of each other.
MAX_DIRECT_NODES = 12
WATCHERS = 5
# So many nodes at a time, of those that need not, compare their configuration with the store's.
COMPARING_NODES = 3
RANKING_KEY = "store"
MAX_KEPT_CHANGES = 400
# The longest time for which a node relies on others without the store's confirmation. Then it asks
# the store itself, so that a change is in force within 3 s whichever watchers are faulty.
MAX_UNCONFIRMED_MS = 2_000.0
# With less of that time left, no further watcher is asked.
MIN_ASK_MS = 500.0
# An answer takes this much longer than the wait for a change.
ANSWER_MARGIN_MS = 150.0
READ_TIMEOUT_MS = 1_000.0
# A watcher that cost this much time without an answer is left alone for a while.
SILENT_MS = 250.0
AVOID_MS = 5_000.0
# Watchers confirm their state this often.
WATCHER_TIMEOUT_MS = 1_200.0
MAX_WATCHERS_TRIED = 3
# After a failed call of its own, a node that is not a watcher leaves the store alone for this long.
DIRECT_RETRY_INTERVAL_MS = 2_000.0
NO_VERSION = 0
OLDER_ERA = "the node follows an older era of the store"
NOT_CONFIRMED = "the store has not confirmed this node's state for too long"


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
        """Wake all waiters: there is a change, a confirmation, or the store is unreachable."""
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
        """Wait up to ``wait_ms`` milliseconds for :meth:`notify`; return whether it came."""
        changed = self._changed_event
        try:
            async with clock.timeout(wait_ms):
                await changed.wait()
        except TimeoutError:
            return False
        return True

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
    costly, and calls the store itself when no watcher answers, or when the store has not confirmed
    its state through them for ``MAX_UNCONFIRMED_MS``.

    :param store: the :class:`Feed` of the store itself.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.

    ``has_evacuations`` is a function that returns whether this node knows of evacuated data
    centres; a watcher must then tell which there are.
    """

    __slots__ = (
        "_avoid_until_ms",
        "_clock",
        "_confirmed_ms",
        "_era",
        "_failed_ms",
        "_membership",
        "_peers",
        "_random",
        "_store",
        "_through",
        "has_evacuations",
    )

    def __init__(self, store, peers, membership, clock, random):
        self._avoid_until_ms = {}
        self._clock = clock
        self._confirmed_ms = None
        self._era = 0
        self._failed_ms = None
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
        limit_ms = self._limit_ms()
        for address in watchers or ():
            left_ms = limit_ms - self._clock.now_ms()
            if left_ms < MIN_ASK_MS:
                break
            view = await self._read_from(address, min(left_ms, READ_TIMEOUT_MS))
            if view is not None:
                return self._received(view, address)
        with self._calling_store(watchers):
            view = await self._store.read()
        return self._received(view)

    async def changes(self, revision, wait_ms):
        """Return a :class:`StoreView` of the changes after ``revision``."""
        watchers = self._watchers()
        limit_ms = self._limit_ms()
        for address in watchers or ():
            left_ms = limit_ms - self._clock.now_ms()
            if left_ms < MIN_ASK_MS:
                break
            view = await self._changes_from(address, revision, left_ms)
            if view is not None:
                return self._received(view, address)
        if self._fleet_has_watchers() or self._ranks_first():
            wait_ms = min(wait_ms, WATCHER_TIMEOUT_MS)
        with self._calling_store(watchers):
            view = await self._store.changes(revision, wait_ms)
        return self._received(view)

    async def undelivered_configuration(self):
        """Return the store's configuration if it was not delivered; only some nodes compare."""
        if not self._compares():
            return None
        return await self._store.undelivered_configuration()

    async def _read_from(self, address, timeout_ms):
        """Return a watcher's state, or ``None`` when it has no fresh state or does not answer."""
        ask = StateAsk(
            version=NO_VERSION, revision=NO_REVISION, has_evacuations=self.has_evacuations()
        )
        started_ms = self._clock.now_ms()
        try:
            answer = await self._peers.ask(address, ask, timeout_ms)
            if answer.table is None or answer.age_ms is None or answer.age_ms > MAX_UNCONFIRMED_MS:
                return None
            if era_of(answer.revision) < self._era:
                raise PeerError(f"{address}: {OLDER_ERA}")
            updates = [ConfigurationUpdate(table=unpack_table(answer.table))]
            for server in unpack_servers(answer.servers):
                updates.append(ServerUpdate(server=server))
            for data_centre, revision, is_active in answer.evacuations or ():
                if is_active:
                    updates.append(EvacuationUpdate(data_centre=data_centre, revision=revision))
        except (PeerError, TypeError, ValueError) as error:
            self._pass_over(address, error, started_ms)
            return None
        return StoreView(
            updates=updates,
            revision=answer.revision,
            has_evacuations=answer.evacuations is not None,
            age_ms=answer.age_ms,
        )

    async def _changes_from(self, address, revision, timeout_ms):
        """Return the changes from a watcher, or ``None`` when it does not answer.

        :raises HistoryLost: when the watcher no longer keeps the changes since ``revision``.
        """
        wait_ms = timeout_ms - ANSWER_MARGIN_MS
        ask = ChangesAsk(revision=revision, wait_ms=wait_ms)
        started_ms = self._clock.now_ms()
        try:
            changes = await self._peers.ask(address, ask, timeout_ms)
            if changes.updates is None:
                raise HistoryLost(f"{address}: changes since {revision} are not kept")
            if era_of(changes.revision) != era_of(revision):
                raise PeerError(f"{address}: {OLDER_ERA}")
            updates = [unpack_update(packed) for packed in changes.updates]
        except PeerError as error:
            self._pass_over(address, error, started_ms)
            return None
        # A watcher answers sooner only with changes, or when the store has confirmed its state.
        is_confirmed = self._clock.now_ms() - started_ms < wait_ms
        return StoreView(
            updates=updates,
            revision=max(revision, changes.revision),
            age_ms=0.0 if is_confirmed else None,
        )

    def _limit_ms(self):
        """Return until when this node asks others instead of the store."""
        confirmed_ms = self._confirmed_ms
        if confirmed_ms is None:
            confirmed_ms = self._clock.now_ms()
        limit_ms = confirmed_ms + MAX_UNCONFIRMED_MS
        if self._failed_ms is None:
            return limit_ms
        return max(limit_ms, self._failed_ms + DIRECT_RETRY_INTERVAL_MS)

    def _received(self, view, through=None):
        """Return the view after noting from whom it came and when the store confirmed it."""
        self._through = through
        self._era = max(self._era, era_of(view.revision))
        self._avoid_until_ms.pop(through, None)
        if view.age_ms is not None:
            self._confirmed_ms = self._clock.now_ms() - view.age_ms
        return view

    @contextmanager
    def _calling_store(self, watchers):
        """Run the block as a call to the store, at a bounded rate while such calls fail.

        :param watchers: as returned by :meth:`_watchers`; watchers themselves are not limited.
        :raises StoreUnavailable: when the last call failed less than ``DIRECT_RETRY_INTERVAL_MS``
            ago.
        """
        now_ms = self._clock.now_ms()
        if (
            watchers is not None
            and self._failed_ms is not None
            and now_ms - self._failed_ms < DIRECT_RETRY_INTERVAL_MS
        ):
            raise StoreUnavailable("no watcher reaches the store")
        self._through = None
        try:
            yield
        except StoreUnavailable:
            self._failed_ms = self._clock.now_ms()
            raise
        self._failed_ms = None

    def _watchers(self):
        """Return the addresses of watchers to try, ``None`` when this node is to call the store."""
        ids = self._membership.answering()
        if len(ids) <= MAX_DIRECT_NODES:
            return None
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
                return None
            group = local if data_centre == self._membership.me.data_centre else remote
            group.extend(members[name].address for name in top_ranked)
        self._random.shuffle(local)
        self._random.shuffle(remote)
        return self._not_avoided(local + remote)[:MAX_WATCHERS_TRIED]

    def _not_avoided(self, addresses):
        if not self._avoid_until_ms:
            return addresses
        now_ms = self._clock.now_ms()
        for address, until_ms in list(self._avoid_until_ms.items()):
            if until_ms <= now_ms:
                del self._avoid_until_ms[address]
        return [address for address in addresses if address not in self._avoid_until_ms]

    def _fleet_has_watchers(self):
        return len(self._membership.answering()) > MAX_DIRECT_NODES

    def _compares(self):
        """Return whether this node compares its configuration with the store's this time.

        Watchers always do, or the node that ranks first in a small fleet; the store may refuse
        these for long, so others do by chance while they ask it themselves.
        """
        is_chosen = self._watchers() is None if self._fleet_has_watchers() else self._ranks_first()
        count = max(1, len(self._membership.answering()))
        return is_chosen or self._random.random() < COMPARING_NODES / count

    def _ranks_first(self):
        """Return whether this node ranks first in a fleet where every node watches the store.

        It uses the shorter watch timeout and gossips each revision, so that when all watches stop
        responding at once, its own is detected first and the other nodes are notified.
        """
        ids = self._membership.answering()
        return first_ranked(RANKING_KEY, ids) == self._membership.me.id

    def _pass_over(self, address, error, asked_ms):
        """Note that a watcher, asked at ``asked_ms``, has not answered."""
        now_ms = self._clock.now_ms()
        if not isinstance(error, PeerRefused) and now_ms - asked_ms >= SILENT_MS:
            self._avoid_until_ms[address] = now_ms + AVOID_MS
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

        The wait ends with a change, with the store's confirmation that there is none, or when this
        node's own state has not been confirmed for too long.

        :raises StoreUnavailable: when this node does not currently reach the store itself.
        """
        change_log = self._follower.change_log
        self._check()
        era = era_of(change_log.revision)
        asked = message.revision
        if era_of(asked) > era:
            raise StoreUnavailable(OLDER_ERA)
        if not era_of(asked):
            # Builds that know of no eras ask by the revision alone.
            asked = position_of(era, asked)
        if change_log.revision <= asked:
            fresh_ms = MAX_UNCONFIRMED_MS - self._follower.age_ms
            is_notified = await change_log.wait(self._clock, min(message.wait_ms, fresh_ms))
            self._check()
            if not is_notified and fresh_ms < message.wait_ms:
                raise StoreUnavailable(NOT_CONFIRMED)
        updates = change_log.after(asked)
        if updates is not None:
            updates = [pack_update(update) for update in updates]
        revision = for_asker(change_log.revision, message.revision)
        return Changes(revision=revision, updates=updates)

    def _check(self):
        follower = self._follower
        if (
            not follower.is_reachable
            or not self._feed.is_direct
            or follower.change_log.revision is None
        ):
            raise StoreUnavailable("this node does not reach the store itself")
        if follower.age_ms >= MAX_UNCONFIRMED_MS:
            raise StoreUnavailable(NOT_CONFIRMED)
