"""Gossip of which nodes reach the backend servers."""

from ..gossip import GossipEntry
from ..hashing import ranked

KIND = "reach"
# Entries are published on demand, so old ones are dropped.
RETENTION_MS = 3_600_000
# In entries of builds that compare the versions of configurations when they answer for others.
COMPARES_VERSIONS = True
# Nodes of each data centre that say that they reach servers, when another one does not.
MAX_HELPERS = 16


class ReachGossip:
    """Publishes whether this node is cut off and tracks what its peers publish.

    Nothing is published until a node is cut off. Then the others say that they are not, so that
    only nodes of builds that know of this are taken for helpers. Nodes that get no answers check
    their own links then.

    :param reach: :class:`~auburnhollow.reach.Reach`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param clock: :class:`~auburnhollow.clock.Clock`.

    ``on_change`` is called without arguments after a peer has published.
    """

    __slots__ = (
        "_clock",
        "_comparing",
        "_cut_off",
        "_gossiper",
        "_membership",
        "_published_ms",
        "_reach",
        "_states",
        "on_change",
    )

    def __init__(self, reach, gossiper, table, membership, clock):
        self._reach = reach
        self._gossiper = gossiper
        self._membership = membership
        self._clock = clock
        self._comparing = set()
        self._cut_off = set()
        self._published_ms = 0
        self._states = {}
        self.on_change = None
        table.on(KIND, self._on_entry)

    def publish(self):
        """Publish whether this node is cut off."""
        self._published_ms = max(self._published_ms + 1, self._clock.wall_ms())
        self._gossiper.publish(
            GossipEntry(
                kind=KIND,
                key=self._membership.me.id,
                version=self._published_ms,
                value=[self._reach.is_cut_off, COMPARES_VERSIONS],
                expires_ms=self._published_ms + RETENTION_MS,
            )
        )

    def without_cut_off(self, members):
        """Return the members that have not said that they reach no server."""
        if not self._cut_off:
            return members
        return [member for member in members if not self._is_cut_off(member.id)]

    def reaching(self):
        """Return the :class:`~auburnhollow.membership.Member` of each peer that reaches servers."""
        if not self._states:
            return []
        me = self._membership.me.id
        members = self._membership.members
        found = []
        for name in self._membership.answering():
            if name != me and self._state(name) is False:
                found.append(members[name])
        return found

    def compares_versions(self, name):
        """Return whether a node reads the version in a delegated request."""
        return name in self._comparing

    def count_cut_off(self, data_centre):
        """Return how many live nodes of a data centre have said that they reach no server."""
        members = self._membership.members
        count = 0
        for name in self._cut_off:
            if self._is_cut_off(name) and members[name].data_centre == data_centre:
                count += 1
        return count

    def _is_cut_off(self, name):
        return name in self._cut_off and self._state(name) is True

    def _state(self, name):
        """Return the last state that a node has published since its start, or ``None``."""
        is_cut_off, version_ms = self._states.get(name, (None, 0))
        if is_cut_off is None or version_ms + RETENTION_MS < self._clock.wall_ms():
            return None
        member = self._membership.members.get(name)
        return None if member is None or version_ms < member.incarnation else is_cut_off

    def _on_entry(self, entry):
        is_cut_off, *features = entry.value
        self._states[entry.key] = (is_cut_off, entry.version)
        if features:
            self._comparing.add(entry.key)
        else:
            self._comparing.discard(entry.key)
        if is_cut_off:
            self._cut_off.add(entry.key)
        else:
            self._cut_off.discard(entry.key)
        if entry.key == self._membership.me.id:
            return
        if is_cut_off:
            self._reach.hear_of_cut()
        if is_cut_off and self._should_answer():
            self.publish()
        if self.on_change is not None:
            self.on_change()

    def _should_answer(self):
        """Return whether this node should say that it reaches servers."""
        age_ms = self._clock.wall_ms() - self._published_ms
        if self._reach.is_cut_off or age_ms < RETENTION_MS / 2:
            return False
        me = self._membership.me
        members = self._membership.members
        names = [
            name
            for name in self._membership.answering()
            if members[name].data_centre == me.data_centre
        ]
        return me.id in ranked(KIND, names)[:MAX_HELPERS]
