"""Members and their encoding as gossip entries."""

from ..gossip import GossipEntry
from ..records import Record

KIND = "member"

ALIVE = "alive"
SUSPECT = "suspect"
DEAD = "dead"
LEFT = "left"

STATES = (ALIVE, SUSPECT, DEAD, LEFT)
GONE_RETENTION_MS = 7_200_000


class Member(Record):
    """A node as its peers know it.

    ``incarnation`` is increased only by the node itself. ``revision`` is the configuration revision
    that the node runs. ``ready`` tells whether it accepts requests.
    """

    __slots__ = ("id", "address", "data_centre", "state", "incarnation", "revision", "ready")

    @property
    def is_present(self):
        """Whether the node counts as live; a suspect does until it is declared dead."""
        return self.state in (ALIVE, SUSPECT)


def entry_of(member, wall_ms):
    """Return the gossip entry of a member.

    Within one incarnation the worse state has the higher version and wins, as in SWIM (A. Das et
    al., 2002).
    """
    version = member.incarnation * len(STATES) + STATES.index(member.state)
    expires_ms = 0 if member.is_present else wall_ms + GONE_RETENTION_MS
    value = [member.address, member.data_centre, member.revision, member.ready]
    return GossipEntry(
        kind=KIND, key=member.id, version=version, value=value, expires_ms=expires_ms
    )


def member_of(entry):
    """Return the member encoded in a gossip entry."""
    incarnation, state = divmod(entry.version, len(STATES))
    address, data_centre, revision, ready = entry.value
    return Member(
        id=entry.key,
        address=address,
        data_centre=data_centre,
        state=STATES[state],
        incarnation=incarnation,
        revision=revision,
        ready=ready,
    )
