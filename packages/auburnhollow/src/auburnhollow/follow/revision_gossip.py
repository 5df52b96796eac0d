"""Telling other nodes how far the store has come."""

from ..gossip import GossipEntry

KIND = "revision"
KEY = "store"
# By then every watch has ended and was asked anew.
KEPT_MS = 60_000


class RevisionGossip:
    """Tells peers of the store's newest revision, so that a silent watch is found at once.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param spreader: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param is_needed: function that tells whether the nodes ask the store themselves.
    """

    __slots__ = ("_clock", "_is_needed", "_gossiper")

    def __init__(self, follower, gossiper, table, clock, is_needed):
        self._clock = clock
        self._is_needed = is_needed
        self._gossiper = gossiper
        follower.tell = self._tell
        table.on(KIND, lambda entry: follower.hear(entry.version))

    def _tell(self, revision):
        if not self._is_needed():
            return
        expires_ms = self._clock.wall_ms() + KEPT_MS
        entry = GossipEntry(kind=KIND, key=KEY, version=revision, value=[], expires_ms=expires_ms)
        self._gossiper.publish(entry)
