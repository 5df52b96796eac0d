"""Gossip of the shares that nodes have found for servers."""

from ..gossip import GossipEntry
from .pace import RETENTION_MS

KIND = "pace"


class PaceGossip:
    """Publishes what this node finds and applies what its peers find.

    Of two nodes that change a share at the same time, one is heard first; the other change is lost
    until the next answer, which costs a step of the pace and nothing else.

    :param pace: :class:`~auburnhollow.pace.Pace`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_gossiper", "_pace")

    def __init__(self, pace, gossiper, table, clock):
        self._pace = pace
        self._gossiper = gossiper
        self._clock = clock
        pace.on_change = self._publish
        table.on(KIND, self._on_entry)

    def _publish(self, incarnation, share, version):
        server, started = incarnation
        self._gossiper.publish(
            GossipEntry(
                kind=KIND,
                key=f"{server}/{started}",
                version=version,
                value=[server, started, share],
                expires_ms=self._clock.wall_ms() + RETENTION_MS,
            )
        )

    def _on_entry(self, entry):
        server, started, share = entry.value
        found_ms = entry.expires_ms - RETENTION_MS
        age_ms = max(0.0, self._clock.wall_ms() - found_ms)
        self._pace.hear_from_peer((server, started), float(share), entry.version, age_ms)
