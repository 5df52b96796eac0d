"""Gossip of the rates that backend servers name."""

from ..gossip import GossipEntry

KIND = "rate"
# A server that has ended names none any more; its entry is dropped after this time.
RETENTION_MS = 600_000


class RateGossip:
    """Publishes what servers tell this node and applies what they tell its peers.

    :param rates: :class:`~auburnhollow.limits.server_rates.ServerRates`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_gossiper", "_rates")

    def __init__(self, rates, gossiper, table, clock):
        self._rates = rates
        self._gossiper = gossiper
        self._clock = clock
        rates.on_change = self._publish
        table.on(KIND, self._on_entry)

    def _publish(self, incarnation, rate_per_s, age_ms):
        asked_ms = self._clock.wall_ms() - int(age_ms)
        server, started = incarnation
        self._gossiper.publish(
            GossipEntry(
                kind=KIND,
                key=f"{server}/{started}",
                version=asked_ms,
                value=[server, started, rate_per_s],
                expires_ms=asked_ms + RETENTION_MS,
            )
        )

    def _on_entry(self, entry):
        server, started, rate_per_s = entry.value
        age_ms = max(0.0, self._clock.wall_ms() - entry.version)
        self._rates.hear_from_peer((server, started), rate_per_s, self._clock.now_ms() - age_ms)
