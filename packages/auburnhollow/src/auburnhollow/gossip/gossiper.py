"""Spreading facts: news at once to a few, the rest by comparing tables."""

import asyncio
import logging

from ..exceptions import PeerError
from .entries import GossipEntry
from .messages import Fetch, Push, SyncAnswer, SyncAsk
from .table import BUCKETS

log = logging.getLogger("gossip")

FANOUT = 4
# Of these, so many go to any peer, near or not.
FAR = 1
URGENT_PAUSE_MS = 10.0
PAUSE_MS = 500.0
SYNC_TIMEOUT_MS = 1_000.0
MAX_ENTRIES_PER_PUSH = 500
# A node that has just started knows of itself, and hardly anything else.
FULL_SYNC_MAX_ENTRIES = 4


class Gossiper:
    """Tells peers what is new and finds what was missed.

    News goes once to ``FANOUT`` random peers, which pass it on (rumour mongering); what that
    misses is found by comparing hashes with a random peer (anti-entropy). Both after A. Demers et
    al., "Epidemic algorithms for replicated database maintenance", 1987.

    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param address: peer address of this node.
    :param targets: function that returns the addresses of all other live nodes.
    :param random: a :class:`random.Random`.
    :param urgent: kinds that are passed on at once.
    :param near: function that returns those of the targets that are cheap to reach; most news goes
        to them, and to one other peer. ``None`` when all are alike.
    """

    __slots__ = (
        "_address",
        "_clock",
        "_due_ms",
        "_metrics",
        "_near",
        "_pending",
        "_peers",
        "_random",
        "_table",
        "_targets",
        "_urgent",
        "_wake",
    )

    def __init__(
        self, table, peers, address, targets, random, clock, metrics, urgent=(), near=None
    ):
        self._table = table
        self._peers = peers
        self._address = address
        self._targets = targets
        self._random = random
        self._clock = clock
        self._metrics = metrics
        self._urgent = frozenset(urgent)
        self._near = near
        self._pending = {}
        self._due_ms = None
        self._wake = asyncio.Event()

    def publish(self, entry):
        """Take a fact of this node and spread it.

        :returns: whether it was news.
        """
        return self._take(entry, None)

    def take(self, entries, sender):
        """Take facts from a peer, pass on what is news, and return how many were."""
        taken = 0
        for values in entries:
            taken += self._take(GossipEntry.from_list(values), sender)
        return taken

    async def run(self):
        """Pass news on until cancelled."""
        while True:
            if self._due_ms is None:
                self._wake.clear()
                await self._wake.wait()
            pause_ms = self._due_ms - self._clock.now_ms()
            if pause_ms > 0:
                await self._wait(pause_ms)
                continue
            self._push()

    def push_pending(self):
        """Pass all news on without waiting for more."""
        if self._pending:
            self._push()

    async def sync(self, address):
        """Compare tables with one peer and exchange what differs.

        :raises PeerError: when the peer does not answer.
        """
        self._metrics.incr("gossip.syncs")
        if len(self._table) <= FULL_SYNC_MAX_ENTRIES:
            await self._sync_fresh(address)
            return
        ask = SyncAsk(sender=self._address, buckets=self._table.buckets)
        answer = await self._peers.ask(address, ask, SYNC_TIMEOUT_MS)
        wanted, offered = self._compare(answer)
        if offered:
            self._send(address, offered)
        if wanted:
            self.take(await self._fetch(address, wanted), address)

    async def _sync_fresh(self, address):
        """Exchange all facts: comparing would name each of them three times.

        What a node learns as it starts is news to itself only.
        """
        self._send(address, self._table.entries())
        for values in await self._fetch(address, None):
            self._table.put(GossipEntry.from_list(values), address)

    async def _fetch(self, address, places):
        fetch = Fetch(sender=self._address, places=places)
        answer = await self._peers.ask(address, fetch, SYNC_TIMEOUT_MS)
        return answer.entries

    async def on_push(self, message):
        """Take a :class:`Push`."""
        self.take(message.entries, message.sender)

    async def on_sync_ask(self, message):
        """Answer a :class:`SyncAsk`."""
        if len(message.buckets) != BUCKETS:
            raise PeerError(f"{BUCKETS} buckets expected")
        differing = []
        held = []
        for number, value in enumerate(self._table.buckets):
            if value == message.buckets[number]:
                continue
            differing.append(number)
            for entry in self._table.in_bucket(number):
                held.append([entry.kind, entry.key, entry.version])
        return SyncAnswer(sender=self._address, buckets=differing, held=held)

    async def on_fetch(self, message):
        """Answer a :class:`Fetch`."""
        entries = []
        if message.places is None:
            entries = [entry.to_list() for entry in self._table.entries()]
            return Push(sender=self._address, entries=entries)
        for kind, key in message.places:
            entry = self._table.get(kind, key)
            if entry is not None:
                entries.append(entry.to_list())
        return Push(sender=self._address, entries=entries)

    def _take(self, entry, sender):
        if not self._table.put(entry, sender):
            return False
        self._pending[entry.place] = entry
        pause_ms = URGENT_PAUSE_MS if entry.kind in self._urgent else PAUSE_MS
        due_ms = self._clock.now_ms() + pause_ms
        if self._due_ms is None or due_ms < self._due_ms:
            self._due_ms = due_ms
            self._wake.set()
        return True

    async def _wait(self, pause_ms):
        self._wake.clear()
        try:
            async with self._clock.timeout(pause_ms):
                await self._wake.wait()
        except TimeoutError:
            return

    def _push(self):
        news, self._pending = list(self._pending.values()), {}
        self._due_ms = None
        for address in self._choose():
            self._send(address, news)

    def _choose(self):
        """Return the addresses of the peers that news goes to."""
        targets = self._targets()
        near = [] if self._near is None else self._near()
        if len(near) < FANOUT:
            return self._random.sample(targets, min(FANOUT, len(targets)))
        chosen = self._random.sample(near, FANOUT - FAR)
        return chosen + self._random.sample(targets, FAR)

    def _send(self, address, entries):
        for start in range(0, len(entries), MAX_ENTRIES_PER_PUSH):
            part = [entry.to_list() for entry in entries[start : start + MAX_ENTRIES_PER_PUSH]]
            self._metrics.incr("gossip.facts_sent", len(part))
            self._peers.tell(address, Push(sender=self._address, entries=part))

    def _compare(self, answer):
        """Return the places to fetch and the facts to offer."""
        theirs = {(kind, key): version for kind, key, version in answer.held}
        wanted = []
        for place, version in theirs.items():
            known = self._table.get(*place)
            if known is None or known.version < version:
                wanted.append(list(place))
        offered = []
        for number in answer.buckets:
            for entry in self._table.in_bucket(number):
                if theirs.get(entry.place, -1) < entry.version:
                    offered.append(entry)
        return wanted, offered
