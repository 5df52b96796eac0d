"""Gossips reports about leaving backend servers to all nodes."""

import logging

from ..backing.instances import LEAVING
from ..exceptions import PeerError, StoreError
from ..gossip import GossipEntry

log = logging.getLogger("drain")

KIND = "server"
IS_LEAVING = 1
IS_BACK = 0
RETENTION_MS = 86_400_000
READ_INTERVAL_MS = 2_000.0


class LeavingGossip:
    """Exchanges reports about leaving servers with peers, and reads the instance list.

    Only the nodes that watch the store read the list, so that its load does not grow with the
    fleet.

    :param leaving: :class:`LeavingServers`.
    :param instances: :class:`~auburnhollow.backing.InstanceList`.
    :param is_reader: function that returns whether this node currently reads the list.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_gossiper", "_instances", "_is_reader", "_leaving", "_membership")

    def __init__(self, leaving, instances, is_reader, membership, gossiper, table, clock):
        self._leaving = leaving
        self._instances = instances
        self._is_reader = is_reader
        self._membership = membership
        self._gossiper = gossiper
        self._clock = clock
        leaving.on_change = self._publish
        table.on(KIND, self._on_entry)

    async def run(self):
        """Read the list periodically while this node is a reader, until cancelled."""
        while True:
            if self._is_reader():
                await self.read()
            await self._clock.sleep(READ_INTERVAL_MS)

    async def read(self):
        """Read the list once; nothing changes if it is unavailable."""
        try:
            entries = await self._instances.read()
        except StoreError as error:
            log.warning("drain: cannot read the instance list: %s", error)
            return
        for entry in entries:
            if entry.role == "node":
                await self._contact_node(entry)
                continue
            if entry.state == LEAVING:
                self._leaving.mark_leaving(entry.id, entry.incarnation, source="instance list")
            else:
                self._leaving.mark_seen(entry.id, entry.incarnation)

    async def _contact_node(self, entry):
        known = self._membership.members.get(entry.id)
        if entry.id == self._membership.me.id or entry.state == LEAVING:
            return
        if known is not None and known.address == entry.address:
            return
        try:
            await self._membership.contact(entry.address)
        except PeerError as error:
            log.info("drain: node %s from the instance list does not answer: %s", entry.id, error)

    def _publish(self, server, incarnation, is_leaving):
        state = IS_LEAVING if is_leaving else IS_BACK
        self._gossiper.publish(
            GossipEntry(
                kind=KIND,
                key=server,
                version=incarnation * 2 + state,
                value=[],
                expires_ms=self._clock.wall_ms() + RETENTION_MS,
            )
        )

    def _on_entry(self, entry):
        incarnation, state = divmod(entry.version, 2)
        if state == IS_LEAVING:
            self._leaving.mark_leaving(entry.key, incarnation, source="peer")
            return
        self._leaving.mark_seen(entry.key, incarnation)
