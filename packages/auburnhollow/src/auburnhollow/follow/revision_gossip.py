"""Gossips the newest store revision to other nodes."""

from ..gossip import GossipEntry

KIND = "revision"
KEY = "store"
# Longer than any watch lasts before it is restarted.
RETENTION_MS = 60_000


class RevisionGossip:
    """Gossips the newest store revision, so that a node detects an unresponsive watch quickly.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param is_needed: function that returns whether all nodes watch the store directly.
    """

    __slots__ = ("_clock", "_gossiper", "_is_needed")

    def __init__(self, follower, gossiper, table, clock, is_needed):
        self._clock = clock
        self._is_needed = is_needed
        self._gossiper = gossiper
        follower.on_revision = self._publish
        table.on(KIND, lambda entry: follower.on_peer_revision(entry.version))

    def _publish(self, revision):
        if not self._is_needed():
            return
        expires_ms = self._clock.wall_ms() + RETENTION_MS
        entry = GossipEntry(kind=KIND, key=KEY, version=revision, value=[], expires_ms=expires_ms)
        self._gossiper.publish(entry)
