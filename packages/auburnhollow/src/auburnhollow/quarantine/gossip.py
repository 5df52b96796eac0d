"""Deaths under requests, spread over all nodes."""

from ..gossip import GossipEntry
from .quarantine import SUSPECT_MS, Death

KIND = "death"
SURVIVED = "survived"


class DeathGossip:
    """Tells peers of the deaths seen here, and hears of theirs.

    :param quarantine: :class:`Quarantine`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    """

    __slots__ = ("_clock", "_quarantine", "_gossiper")

    def __init__(self, quarantine, gossiper, table, clock):
        self._quarantine = quarantine
        self._gossiper = gossiper
        self._clock = clock
        quarantine.tell = self._tell
        quarantine.tell_survived = self._tell_survived
        table.on(KIND, self._hear)
        table.on(SURVIVED, self._hear_survived)

    def _tell(self, death):
        now_ms = self._clock.wall_ms()
        self._gossiper.publish(
            GossipEntry(
                kind=KIND,
                key=f"{death.fingerprint}/{death.server}",
                version=now_ms,
                value=death.to_list(),
                expires_ms=now_ms + int(SUSPECT_MS),
            )
        )

    def _hear(self, fact):
        self._quarantine.add_death(Death.from_list(fact.value))

    def _tell_survived(self, fingerprint):
        now_ms = self._clock.wall_ms()
        self._gossiper.publish(
            GossipEntry(
                kind=SURVIVED,
                key=fingerprint,
                version=now_ms,
                value=[],
                expires_ms=now_ms + int(SUSPECT_MS),
            )
        )

    def _hear_survived(self, fact):
        self._quarantine.hear_survived(fact.key)
