"""Gossip of the data centres that operators have evacuated."""

from ..gossip import GossipEntry

KIND = "evacuation"
# An end must outlive what nodes that are behind say; there is one entry a data centre.
NEVER_EXPIRES = 0


class EvacuationGossip:
    """Passes evacuations and their ends to other nodes, ordered by the store's revision.

    Answers nodes that the store turns away, and nodes behind a watcher of a build that knows of no
    evacuations: they hear within a few gossip rounds.

    :param evacuations: :class:`~auburnhollow.gate.Evacuations`.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    """

    __slots__ = ("_evacuations", "_gossiper")

    def __init__(self, evacuations, gossiper, table):
        self._evacuations = evacuations
        self._gossiper = gossiper
        evacuations.on_change = self._publish
        table.on(KIND, self._on_entry)

    def _publish(self, fact):
        if fact.source == "gossip":
            return
        self._gossiper.publish(
            GossipEntry(
                kind=KIND,
                key=fact.data_centre,
                version=fact.revision,
                value=[fact.is_active],
                expires_ms=NEVER_EXPIRES,
            )
        )

    def _on_entry(self, entry):
        self._evacuations.apply(entry.key, entry.version, bool(entry.value[0]), "gossip")
