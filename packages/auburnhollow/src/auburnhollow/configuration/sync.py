"""Distributes the configuration: a few nodes watch the store, the others get it from peers."""

import asyncio
import logging

from ..exceptions import PeerError, StoreError
from ..gossip import GossipEntry
from ..hashing import ranked
from .holder import FROM_PEER, FROM_STORE
from .messages import ConfigurationBytes, FetchConfiguration
from .records import CURRENT_KEY

log = logging.getLogger("configuration")

KIND = "configuration"
KEY = "current"
FETCH_TIMEOUT_MS = 500.0
PEERS_TO_ASK = 3
MAX_CONCURRENT_FETCHES = 3
WATCH_CHECK_MS = 500.0
# A change that a watch does not deliver is delivered by the next one.
WATCH_RENEWAL_MS = 3_000.0
# A store that has come back from a copy gives out earlier revisions, which no watch delivers.
READ_INTERVAL_MS = 60_000.0
FIRST_PAUSE_MS = 250.0
MAX_PAUSE_MS = 2_000.0
RANK_SUBJECT = "watch"


class ConfigurationSync:
    """Gets new revisions from the store or from peers and gossips them.

    The first nodes by rendezvous hashing over the list of live nodes watch the store. While nodes
    disagree on that list, too many or too few may watch. That costs an extra call or some delay,
    but no revision is lost or reverted, since a node accepts only higher revisions.

    :param configuration_holder: :class:`ConfigurationHolder`.
    :param store: :class:`~auburnhollow.backing.Store`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param watchers: how many nodes watch the store.
    """

    __slots__ = (
        "_cached_nodes",
        "_clock",
        "_configuration_holder",
        "_gossiper",
        "_is_watcher",
        "_membership",
        "_peers",
        "_random",
        "_store",
        "_tasks",
        "_watchers",
    )

    def __init__(
        self,
        configuration_holder,
        store,
        membership,
        gossiper,
        table,
        peers,
        clock,
        random,
        watchers,
    ):
        self._configuration_holder = configuration_holder
        self._store = store
        self._membership = membership
        self._gossiper = gossiper
        self._peers = peers
        self._clock = clock
        self._random = random
        self._watchers = watchers
        self._cached_nodes = None
        self._is_watcher = False
        self._tasks = set()
        configuration_holder.on_change(self._publish)
        table.set_filter(KIND, self._on_entry)

    @property
    def is_watcher(self):
        """Whether this node should watch the store now."""
        nodes = self._membership.answering()
        if nodes is not self._cached_nodes:
            self._cached_nodes = nodes
            watching = ranked(RANK_SUBJECT, nodes)[: self._watchers]
            self._is_watcher = self._membership.me.id in watching
        return self._is_watcher

    async def run(self):
        """Watch the store whenever this node is a watcher, until cancelled."""
        pause_ms = FIRST_PAUSE_MS
        while True:
            if not self.is_watcher:
                await self._clock.sleep(WATCH_CHECK_MS)
                continue
            try:
                await self._watch()
                pause_ms = FIRST_PAUSE_MS
            except StoreError as error:
                log.warning("configuration: the store can't be watched: %s", error)
                pause_ms = min(MAX_PAUSE_MS, pause_ms * 2)
            # Pause even after a normal end: the store may end each watch at once.
            await self._clock.sleep(pause_ms * self._random.uniform(0.5, 1.5))

    async def start(self):
        """Get the first configuration from the store or, failing that, from peers."""
        if await self._configuration_holder.read_store(self._store) is not None:
            return
        await self.ask_peers()

    async def ask_peers(self):
        """Ask a few random peers for a newer configuration."""
        targets = self._membership.targets()
        timeout_ms = FETCH_TIMEOUT_MS
        for address in self._random.sample(targets, min(PEERS_TO_ASK, len(targets))):
            timeout_ms *= 2
            if await self._fetch(address, timeout_ms):
                return

    async def on_fetch(self, message):
        """Answer a :class:`FetchConfiguration`."""
        if self._configuration_holder.number <= message.above:
            return ConfigurationBytes(data=None)
        return ConfigurationBytes(data=self._configuration_holder.data)

    async def _watch(self):
        """Read the store, then follow changes until the watch ends or this node stops watching."""
        revision = await self._configuration_holder.read_store(self._store)
        if revision is None:
            await self.ask_peers()
            raise StoreError("the store can't be read")
        read_again_ms = self._clock.now_ms() + READ_INTERVAL_MS
        while self.is_watcher and revision is not None and self._clock.now_ms() < read_again_ms:
            revision = await self._watch_after(revision)

    async def _watch_after(self, revision):
        """Follow changes after ``revision`` until the watch is due for renewal.

        :returns: the newest revision delivered, or ``None`` if the watch has ended by itself.
        """
        watch = _Watch(self._store.watch(CURRENT_KEY, revision), revision)
        watch_task = asyncio.ensure_future(self._offer_changes(watch))
        renewal_ms = self._clock.now_ms() + WATCH_RENEWAL_MS
        try:
            while self.is_watcher and self._clock.now_ms() < renewal_ms:
                await asyncio.wait({watch_task}, timeout=WATCH_CHECK_MS / 1000)
                if watch_task.done():
                    watch_task.result()
                    return None
            return watch.revision
        finally:
            watch_task.cancel()
            await asyncio.gather(watch_task, return_exceptions=True)

    async def _offer_changes(self, watch):
        async for entry in watch.changes:
            self._configuration_holder.offer(entry.value, FROM_STORE)
            watch.revision = max(watch.revision, entry.revision)

    def _publish(self, stored):
        entry = GossipEntry(
            kind=KIND,
            key=KEY,
            version=stored.number,
            value=[stored.fingerprint, stored.change_id],
            expires_ms=0,
        )
        self._gossiper.publish(entry)
        self._membership.announce(revision=stored.number)

    def _on_entry(self, entry, sender):
        """Fetch a newer revision that a peer gossips.

        Return ``False`` so that the entry is not stored: this node publishes it once the revision
        is in force here.
        """
        if (
            entry.version > self._configuration_holder.number
            and len(self._tasks) < MAX_CONCURRENT_FETCHES
        ):
            task = asyncio.get_running_loop().create_task(self._fetch_newer(sender))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return False

    async def _fetch_newer(self, sender):
        """Fetch from the sender; if that fails, from other peers with longer timeouts."""
        if await self._fetch(sender, FETCH_TIMEOUT_MS):
            return
        await self.ask_peers()

    async def _fetch(self, address, timeout_ms):
        ask = FetchConfiguration(above=self._configuration_holder.number)
        try:
            answer = await self._peers.ask(address, ask, timeout_ms)
        except PeerError as error:
            log.info("configuration: peer %s did not send a revision: %s", address, error)
            return False
        if answer.data is None:
            return False
        return self._configuration_holder.offer(answer.data, FROM_PEER)


class _Watch:
    """A watch of the store and the newest ``revision`` that it has delivered."""

    __slots__ = ("changes", "revision")

    def __init__(self, changes, revision):
        self.changes = changes
        self.revision = revision
