"""Gossip of the accounts that are near their limits."""

from ..gossip import GossipEntry

KIND = "quota-tight"
# Longer than wall clocks differ; the reader decides how long an account counts as near its limit.
RETENTION_MS = 60_000


class TightGossip:
    """Publishes which owned accounts are near their limits and applies what other owners say.

    :param quota: :class:`~auburnhollow.accounts.quota.Quota`.
    :param owner: id of this node; each owner has entries of its own.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_gossiper", "_owner", "_quota")

    def __init__(self, quota, owner, gossiper, table, clock):
        self._quota = quota
        self._owner = owner
        self._gossiper = gossiper
        self._clock = clock
        quota.on_tight = self._publish
        table.on(KIND, self._on_entry)

    def _publish(self, name):
        wall_ms = self._clock.wall_ms()
        entry = GossipEntry(
            kind=KIND,
            key=f"{name}/{self._owner}",
            version=wall_ms,
            value=[name],
            expires_ms=wall_ms + RETENTION_MS,
        )
        self._gossiper.publish(entry)
        self._gossiper.push_pending()

    def _on_entry(self, entry):
        (name,) = entry.value
        self._quota.hear_tight(name)
