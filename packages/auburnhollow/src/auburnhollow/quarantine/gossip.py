"""Gossip of the quarantine's state between nodes."""

from ..gossip import GossipEntry
from .quarantine import SUSPECT_MS, Death

DEATH_KIND = "death"
LIFTED_KIND = "survived"


class DeathGossip:
    """Publishes deaths and lifted quarantines of this node and applies those of peers.

    :param quarantine: :class:`Quarantine`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_gossiper", "_quarantine")

    def __init__(self, quarantine, gossiper, table, clock):
        self._quarantine = quarantine
        self._gossiper = gossiper
        self._clock = clock
        quarantine.on_death = self._publish_death
        quarantine.on_lifted = self._publish_lifted
        table.on(DEATH_KIND, self._on_death_entry)
        table.on(LIFTED_KIND, self._on_lifted_entry)

    def _publish_death(self, death):
        now_ms = self._clock.wall_ms()
        self._gossiper.publish(
            GossipEntry(
                kind=DEATH_KIND,
                key=f"{death.fingerprint}/{death.server}",
                version=now_ms,
                value=death.to_list(),
                expires_ms=now_ms + int(SUSPECT_MS),
            )
        )

    def _on_death_entry(self, entry):
        self._quarantine.add_death(Death.from_list(entry.value))

    def _publish_lifted(self, fingerprint):
        now_ms = self._clock.wall_ms()
        self._gossiper.publish(
            GossipEntry(
                kind=LIFTED_KIND,
                key=fingerprint,
                version=now_ms,
                value=[],
                expires_ms=now_ms + int(SUSPECT_MS),
            )
        )

    def _on_lifted_entry(self, entry):
        self._quarantine.on_peer_lifted(entry.key)
