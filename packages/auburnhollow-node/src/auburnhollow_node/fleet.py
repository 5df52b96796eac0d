"""A node's membership and gossip."""

from auburnhollow.gossip import Gossiper, GossipTable, Push, SyncAsk
from auburnhollow.gossip.messages import Fetch
from auburnhollow.membership import Membership
from auburnhollow.membership.messages import NearbyAsk, Ping, PingRequest

URGENT_KINDS = (
    "configuration",
    "server",
    "leaving",
    "ending",
    "survived",
    "cleared",
    "revision",
    "reach",
    "quota-tight",
)


class Fleet:
    """Creates and connects the membership and gossip of one node.

    :param me: :class:`~auburnhollow.membership.Member` that describes this node.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    """

    __slots__ = ("membership", "gossiper", "table")

    def __init__(self, me, peers, clock, random, events, metrics):
        self.table = GossipTable(clock)
        self.membership = Membership(me, self.table, peers, clock, random, events, metrics)
        self.gossiper = Gossiper(
            self.table,
            peers,
            me.address,
            self.membership.targets,
            random,
            clock,
            metrics,
            urgent=URGENT_KINDS,
            near=self.membership.near_targets,
        )

    def register_handlers(self, peer_server):
        """Register the handlers of membership and gossip messages with ``peer_server``."""
        peer_server.on(Ping, self.membership.on_ping)
        peer_server.on(PingRequest, self.membership.on_ping_request)
        peer_server.on(NearbyAsk, self.membership.on_nearby_ask)
        peer_server.on(Push, self.gossiper.on_push)
        peer_server.on(SyncAsk, self.gossiper.on_sync_ask)
        peer_server.on(Fetch, self.gossiper.on_fetch)
