"""Learning from other nodes what the store holds while it can't be reached."""

import logging

from ..decisions import decide
from ..exceptions import PeerError
from .messages import Known, KnownAsk, pack_servers, pack_table, unpack_servers, unpack_table

log = logging.getLogger("follow")

ASK_TIMEOUT_MS = 500.0
ASKED_NODES = 3
NO_VERSION = 0


class Neighbours:
    """Asks other nodes, and answers them.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param addresses: function that returns the addresses of other nodes.
    :param random: a :class:`random.Random`.
    """

    __slots__ = ("_addresses", "_follower", "_peers", "_random")

    def __init__(self, follower, peers, addresses, random):
        self._follower = follower
        self._peers = peers
        self._addresses = addresses
        self._random = random

    async def answer(self, message):
        """Answer a :class:`KnownAsk`."""
        follower = self._follower
        routes = follower.routes
        table = None
        if routes is not None and routes.version > message.version:
            table = pack_table(routes)
        return Known(
            revision=follower.changes.revision,
            age_ms=follower.age_ms,
            table=table,
            servers=pack_servers(follower.registry.servers),
        )

    async def ask(self):
        """Ask a few nodes, and take what is newer than what is known; returns how many answered."""
        addresses = list(self._addresses())
        chosen = self._random.sample(addresses, min(ASKED_NODES, len(addresses)))
        answered = 0
        for address in chosen:
            routes = self._follower.routes
            version = NO_VERSION if routes is None else routes.version
            try:
                known = await self._peers.ask(address, KnownAsk(version=version), ASK_TIMEOUT_MS)
                self._take(address, known)
            except (PeerError, ValueError) as error:
                decide(log, "node not asked", level=logging.DEBUG, peer=address, error=str(error))
                continue
            answered += 1
        return answered

    def _take(self, address, known):
        """Take an answer whose sender heard from the store later than this node did."""
        follower = self._follower
        if known.table is not None:
            follower.keep_routes(unpack_table(known.table))
        if known.age_ms is None:
            return
        if follower.age_ms is not None and follower.age_ms <= known.age_ms:
            return
        servers = unpack_servers(known.servers)
        for server in servers:
            follower.registry.put(server)
        decide(
            log,
            "learned from a node",
            peer=address,
            servers=len(servers),
            age_ms=round(known.age_ms),
        )
