"""Gossip of the quarantine's state between nodes."""

from ..gossip import GossipEntry
from .evidence import SUSPECT_MS, Ending

ENDING_KIND = "ending"
ANSWERED_KIND = "survived"
CLEARED_KIND = "cleared"


class QuarantineGossip:
    """Publishes what this node learns about suspects and applies what peers publish.

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
        quarantine.on_ending = self._publish_ending
        quarantine.on_answered = self._publish_answered
        quarantine.on_cleared = self._publish_cleared
        table.on(ENDING_KIND, self._on_ending_entry)
        table.on(ANSWERED_KIND, self._on_answered_entry)
        table.on(CLEARED_KIND, self._on_cleared_entry)

    def _publish_ending(self, ending):
        key = f"{ending.fingerprint}/{ending.server}/{ending.incarnation}"
        self._publish(ENDING_KIND, key, ending.to_list())

    def _publish_answered(self, fingerprint):
        self._publish(ANSWERED_KIND, fingerprint, [])

    def _publish_cleared(self, fingerprint):
        self._publish(CLEARED_KIND, fingerprint, [])

    def _publish(self, kind, key, value):
        now_ms = self._clock.wall_ms()
        self._gossiper.publish(
            GossipEntry(
                kind=kind,
                key=key,
                version=now_ms,
                value=value,
                expires_ms=now_ms + int(SUSPECT_MS),
            )
        )

    def _on_ending_entry(self, entry):
        self._quarantine.add_peer_ending(Ending.from_list(entry.value), self._published_ms(entry))

    def _on_answered_entry(self, entry):
        self._quarantine.on_peer_answered(entry.key, self._published_ms(entry))

    def _on_cleared_entry(self, entry):
        self._quarantine.on_peer_cleared(entry.key, self._published_ms(entry))

    def _published_ms(self, entry):
        """Return when an entry was published, on this node's clock."""
        age_ms = self._clock.wall_ms() - entry.version
        return self._clock.now_ms() - max(0.0, age_ms)
