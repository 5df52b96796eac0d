"""Gossips the newest configuration version, so that a node that has missed it fetches it."""

import asyncio
import logging

from ..clock import MS_PER_SECOND
from ..decisions import log_decision
from ..gossip import GossipEntry
from .positions import era_of

log = logging.getLogger("follow")

KIND = "version"
# Longer than a node that starts takes to hear all entries.
RETENTION_MS = 60_000
# A version reaches all nodes in touch in less time; one that is behind then has missed it.
GRACE_MS = 1_000.0
# A node that could not fetch a version asks again after this long, three times as long each time.
FIRST_RETRY_MS = 2_000.0
MAX_RETRIES = 2


class VersionGossip:
    """Compares versions of the configuration between nodes, whatever their positions say.

    Answers whatever makes one node miss a change that others have received: it would stay on the
    older version until the next change. Nodes that the store itself has told of a version gossip
    it; a node that does not have it in force soon after fetches it, from the node that told first
    and then from others. Versions of an era before the node's own are left out.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param state_exchange: :class:`~auburnhollow.follow.StateExchange`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param address: peer address of this node.
    """

    __slots__ = ("_address", "_clock", "_follower", "_gossiper", "_state_exchange", "_tasks")

    def __init__(self, follower, state_exchange, gossiper, table, clock, address):
        self._address = address
        self._clock = clock
        self._follower = follower
        self._gossiper = gossiper
        self._state_exchange = state_exchange
        self._tasks = set()
        follower.on_version = self._publish
        table.on(KIND, self._on_entry)

    def _publish(self, version, position):
        self._gossiper.publish(
            GossipEntry(
                kind=KIND,
                key=str(era_of(position)),
                version=version,
                value=[self._address],
                expires_ms=self._clock.wall_ms() + RETENTION_MS,
            )
        )

    def _on_entry(self, entry):
        (address,) = entry.value
        era = int(entry.key)
        if address != self._address:
            self._follower.in_force.hear(entry.version, era)
        if not self._is_missed(entry.version, era):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(GRACE_MS / MS_PER_SECOND, self._start_fetch, entry, address)

    def _start_fetch(self, entry, address):
        if not self._is_missed(entry.version, int(entry.key)):
            return
        task = asyncio.get_running_loop().create_task(
            self._fetch(entry.version, int(entry.key), address)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch(self, version, era, address):
        """Ask for a version until this node has it or a newer one, a few times at most."""
        exchange = self._state_exchange
        log_decision(
            log,
            "configuration missed, asking for it",
            level=logging.WARNING,
            version=version,
            known=exchange.version,
            peer=address,
        )
        if not await exchange.catch_up(address, version):
            await exchange.ask()
        pause_ms = FIRST_RETRY_MS
        for _ in range(MAX_RETRIES):
            await self._clock.sleep(pause_ms)
            pause_ms *= 3
            if not self._is_missed(version, era):
                return
            await exchange.ask(nodes=1)

    def _is_missed(self, version, era):
        newest = self._follower.newest_revision
        if newest is not None and era < era_of(newest):
            return False
        return version > self._state_exchange.version
