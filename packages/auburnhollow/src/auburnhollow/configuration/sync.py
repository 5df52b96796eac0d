"""How a configuration reaches every node: a few watch the store, the rest learn from peers."""

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
FETCH_TRIES = 3
MOST_FETCHES = 3
WATCH_CHECK_MS = 500.0
FIRST_PAUSE_MS = 250.0
LONGEST_PAUSE_MS = 2_000.0
RANK_SUBJECT = "watch"


class ConfigurationSync:
    """Brings new revisions to this node and on to its peers.

    The nodes that rank highest by rendezvous hashing over the list of live nodes watch the store.
    Two nodes with different lists may both watch, or a list may be out of date for a moment;
    either costs a call or a second, never a revision, since every node takes only higher ones.

    :param configuration_holder: :class:`ConfigurationHolder`.
    :param store: :class:`~auburnhollow.backing.Store`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param watchers: how many nodes watch the store.
    """

    __slots__ = (
        "_clock",
        "_is_watcher",
        "_configuration_holder",
        "_membership",
        "_peers",
        "_random",
        "_ranked_nodes",
        "_gossiper",
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
        self._ranked_nodes = None
        self._is_watcher = False
        self._tasks = set()
        configuration_holder.on_change(self._publish)
        table.set_filter(KIND, self._hear)

    @property
    def is_watcher(self):
        """Whether this node is one of those that watch the store now."""
        nodes = self._membership.answering()
        if nodes is not self._ranked_nodes:
            self._ranked_nodes = nodes
            watching = ranked(RANK_SUBJECT, nodes)[: self._watchers]
            self._is_watcher = self._membership.me.id in watching
        return self._is_watcher

    async def run(self):
        """Watch the store while it is this node's turn, until cancelled."""
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
                pause_ms = min(LONGEST_PAUSE_MS, pause_ms * 2)
            # A store that ends each watch at once must not be asked without a pause.
            await self._clock.sleep(pause_ms * self._random.uniform(0.5, 1.5))

    async def start(self):
        """Get a first configuration from the store, or else from any peer."""
        if await self._configuration_holder.read_store(self._store) is not None:
            return
        await self.ask_peers()

    async def ask_peers(self):
        """Ask a few random peers for a newer configuration."""
        targets = self._membership.targets()
        timeout_ms = FETCH_TIMEOUT_MS
        for address in self._random.sample(targets, min(FETCH_TRIES, len(targets))):
            timeout_ms *= 2
            if await self._fetch(address, timeout_ms):
                return

    async def on_fetch(self, message):
        """Answer a :class:`FetchConfiguration`."""
        if self._configuration_holder.number <= message.above:
            return ConfigurationBytes(data=None)
        return ConfigurationBytes(data=self._configuration_holder.data)

    async def _watch(self):
        """Read the store, then take changes until the watch ends or is another node's."""
        revision = await self._configuration_holder.read_store(self._store)
        if revision is None:
            await self.ask_peers()
            raise StoreError("no answer to a read")
        changes = self._store.watch(CURRENT_KEY, revision)
        take = asyncio.ensure_future(self._take_changes(changes))
        try:
            while not take.done() and self.is_watcher:
                await asyncio.wait({take}, timeout=WATCH_CHECK_MS / 1000)
            if take.done():
                take.result()
        finally:
            take.cancel()
            await asyncio.gather(take, return_exceptions=True)

    async def _take_changes(self, changes):
        async for entry in changes:
            self._configuration_holder.offer(entry.value, FROM_STORE)

    def _publish(self, stored):
        fact = GossipEntry(
            kind=KIND,
            key=KEY,
            version=stored.number,
            value=[stored.fingerprint, stored.change_id],
            expires_ms=0,
        )
        self._gossiper.publish(fact)
        self._membership.announce(revision=stored.number)

    def _hear(self, fact, sender):
        """Fetch what a peer tells of; the fact itself is published once it is in force here."""
        if fact.version > self._configuration_holder.number and len(self._tasks) < MOST_FETCHES:
            task = asyncio.get_running_loop().create_task(self._catch_up(sender))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return False

    async def _catch_up(self, sender):
        """Fetch from the sender; when that is slow, from others, with more time for each."""
        if await self._fetch(sender, FETCH_TIMEOUT_MS):
            return
        await self.ask_peers()

    async def _fetch(self, address, timeout_ms):
        ask = FetchConfiguration(above=self._configuration_holder.number)
        try:
            answer = await self._peers.ask(address, ask, timeout_ms)
        except PeerError as error:
            log.info("configuration: no revision from %s: %s", address, error)
            return False
        if answer.data is None:
            return False
        return self._configuration_holder.offer(answer.data, FROM_PEER)
