"""Gossip of the servers that have said in their answers that they leave."""

from ..gossip import GossipEntry

KIND = "leaving"
# A server that leaves has ended by then; a new incarnation has another key.
RETENTION_MS = 600_000


class LeavingGossip:
    """Publishes which servers have told this node that they leave, and applies what peers say.

    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_gossiper", "_registry")

    def __init__(self, registry, gossiper, table, clock):
        self._registry = registry
        self._gossiper = gossiper
        self._clock = clock
        registry.on_leaving = self._publish
        table.on(KIND, self._on_entry)

    def _publish(self, incarnation):
        server, started_ms = incarnation
        now_ms = self._clock.wall_ms()
        self._gossiper.publish(
            GossipEntry(
                kind=KIND,
                key=f"{server}/{started_ms}",
                version=now_ms,
                value=[server, started_ms],
                expires_ms=now_ms + RETENTION_MS,
            )
        )

    def _on_entry(self, entry):
        server, started_ms = entry.value
        self._registry.mark_leaving((server, started_ms), "peer")
