"""Spreads entries by pushing new ones to a few peers and by comparing tables."""

import asyncio
import logging

from ..exceptions import PeerError
from .entries import read_entries
from .messages import Fetch, Push, SyncAnswer, SyncAsk
from .table import BUCKETS

log = logging.getLogger("gossip")

FANOUT = 4
# Part of FANOUT that goes to random live nodes, nearby or not.
RANDOM_FANOUT = 1
URGENT_DELAY_MS = 10.0
DELAY_MS = 500.0
SYNC_TIMEOUT_MS = 1_000.0
MAX_ENTRIES_PER_PUSH = 500
# A node with at most this many entries has just started and knows little more than itself.
FULL_SYNC_MAX_ENTRIES = 4


class Gossiper:
    """Spreads new entries to peers and repairs missed ones.

    A new entry is pushed once to ``FANOUT`` random peers, which forward it (rumour mongering).
    Entries missed that way are found by comparing table hashes with a random peer (anti-entropy).
    Both follow A. Demers et al., "Epidemic algorithms for replicated database maintenance", 1987.

    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param address: peer address of this node.
    :param targets: function that returns the peer addresses of all other live nodes.
    :param random: a :class:`random.Random`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param urgent: kinds that are pushed after ``URGENT_DELAY_MS`` rather than ``DELAY_MS``.
    :param near: function that returns those targets that are cheap to reach; all but
        ``RANDOM_FANOUT`` of the pushes go to them. ``None`` when all targets are alike.
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
        """Add an entry of this node and spread it.

        :returns: whether the entry was new.
        """
        return self._add(entry, None)

    def receive(self, entries, sender):
        """Add entries from a peer, forward the new ones, and return how many were new."""
        accepted = 0
        for entry in read_entries(entries, sender):
            accepted += self._add(entry, sender)
        return accepted

    async def run(self):
        """Push pending entries when they are due, until cancelled."""
        while True:
            if self._due_ms is None:
                self._wake.clear()
                await self._wake.wait()
                continue
            delay_ms = self._due_ms - self._clock.now_ms()
            if delay_ms > 0:
                await self._wait(delay_ms)
                continue
            self._push()

    def push_pending(self):
        """Push all pending entries now, without waiting to batch them with others."""
        if self._pending:
            self._push()

    async def sync(self, address):
        """Compare tables with one peer and exchange the entries that differ.

        :raises PeerError: when the peer does not answer.
        """
        self._metrics.incr("gossip.syncs")
        if len(self._table) <= FULL_SYNC_MAX_ENTRIES:
            await self._sync_all(address)
            return
        ask = SyncAsk(sender=self._address, buckets=self._table.buckets)
        answer = await self._peers.ask(address, ask, SYNC_TIMEOUT_MS)
        wanted, offered = self._compare(answer)
        if offered:
            self._send(address, offered)
        if wanted:
            self.receive(await self._fetch(address, wanted), address)

    async def _sync_all(self, address):
        """Exchange all entries, since comparing tables would transfer each entry's id three times.

        The received entries are not forwarded: they are new only to a node that has just started.
        """
        self._send(address, self._table.entries())
        for entry in read_entries(await self._fetch(address, None), address):
            self._table.put(entry, address)

    async def _fetch(self, address, entry_ids):
        fetch = Fetch(sender=self._address, entry_ids=entry_ids)
        answer = await self._peers.ask(address, fetch, SYNC_TIMEOUT_MS)
        return answer.entries

    async def on_push(self, message):
        """Handle a :class:`Push`."""
        self.receive(message.entries, message.sender)

    async def on_sync_ask(self, message):
        """Answer a :class:`SyncAsk`."""
        if len(message.buckets) != BUCKETS:
            raise PeerError(f"{BUCKETS} buckets expected")
        differing = []
        held = []
        for bucket, value in enumerate(self._table.buckets):
            if value == message.buckets[bucket]:
                continue
            differing.append(bucket)
            for entry in self._table.in_bucket(bucket):
                held.append([entry.kind, entry.key, entry.version])
        return SyncAnswer(sender=self._address, buckets=differing, held=held)

    async def on_fetch(self, message):
        """Answer a :class:`Fetch`."""
        entries = []
        if message.entry_ids is None:
            entries = [entry.to_list() for entry in self._table.entries()]
            return Push(sender=self._address, entries=entries)
        for kind, key in message.entry_ids:
            entry = self._table.get(kind, key)
            if entry is not None:
                entries.append(entry.to_list())
        return Push(sender=self._address, entries=entries)

    def _add(self, entry, sender):
        if not self._table.put(entry, sender):
            return False
        self._pending[entry.id] = entry
        delay_ms = URGENT_DELAY_MS if entry.kind in self._urgent else DELAY_MS
        due_ms = self._clock.now_ms() + delay_ms
        if self._due_ms is None or due_ms < self._due_ms:
            self._due_ms = due_ms
            self._wake.set()
        return True

    async def _wait(self, delay_ms):
        self._wake.clear()
        try:
            async with self._clock.timeout(delay_ms):
                await self._wake.wait()
        except TimeoutError:
            return

    def _push(self):
        pending, self._pending = list(self._pending.values()), {}
        self._due_ms = None
        for address in self._choose_targets():
            self._send(address, pending)

    def _choose_targets(self):
        """Return the addresses of the peers that the next push goes to."""
        targets = self._targets()
        near = [] if self._near is None else self._near()
        if len(near) < FANOUT:
            return self._random.sample(targets, min(FANOUT, len(targets)))
        chosen = self._random.sample(near, FANOUT - RANDOM_FANOUT)
        return chosen + self._random.sample(targets, RANDOM_FANOUT)

    def _send(self, address, entries):
        for start in range(0, len(entries), MAX_ENTRIES_PER_PUSH):
            batch = [entry.to_list() for entry in entries[start : start + MAX_ENTRIES_PER_PUSH]]
            self._metrics.incr("gossip.facts_sent", len(batch))
            self._peers.send(address, Push(sender=self._address, entries=batch))

    def _compare(self, answer):
        """Return the ids of the entries to fetch and the entries to offer to the peer."""
        theirs = {(kind, key): version for kind, key, version in answer.held}
        wanted = []
        for entry_id, version in theirs.items():
            local = self._table.get(*entry_id)
            if local is None or local.version < version:
                wanted.append(list(entry_id))
        offered = []
        for bucket in answer.buckets:
            for entry in self._table.in_bucket(bucket):
                if theirs.get(entry.id, -1) < entry.version:
                    offered.append(entry)
        return wanted, offered
