"""Learning from other nodes what the store holds while it can't be reached."""

import logging

from ..clock import Clock
from ..decisions import decide
from ..exceptions import PeerError
from .messages import Known, KnownAsk, pack_servers, pack_table, unpack_servers, unpack_table

log = logging.getLogger("follow")

ASK_TIMEOUT_MS = 500.0
ASKED_NODES = 3
NO_VERSION = 0
# Packing 7,300 servers takes 30 ms, and many nodes ask at once when they have started.
PACKED_MS = 500.0


class StateExchange:
    """Asks other nodes, and answers them.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param addresses: function that returns the addresses of other nodes.
    :param random: a :class:`random.Random`.
    """

    __slots__ = (
        "_addresses",
        "_clock",
        "_follower",
        "_learned",
        "_packed",
        "_packed_ms",
        "_peers",
        "_random",
    )

    def __init__(self, follower, peers, addresses, random, clock=None):
        self._follower = follower
        self._peers = peers
        self._addresses = addresses
        self._random = random
        self._clock = clock or Clock()
        self._learned = None
        self._packed = None
        self._packed_ms = 0.0

    async def answer(self, message):
        """Answer a :class:`KnownAsk`."""
        follower = self._follower
        routes = follower.routes
        table = None
        if routes is not None and routes.version > message.version:
            table = pack_table(routes)
        revision = follower.changes.revision
        servers = None
        if follower.age_ms is not None and _is_newer(revision, message.revision):
            revision, servers = self._pack_servers(message.revision)
        return Known(revision=revision, age_ms=follower.age_ms, table=table, servers=servers)

    async def ask(self):
        """Ask a few nodes, and take what is newer than what is known; returns how many answered."""
        addresses = list(self._addresses())
        chosen = self._random.sample(addresses, min(ASKED_NODES, len(addresses)))
        answered = 0
        for address in chosen:
            routes = self._follower.routes
            version = NO_VERSION if routes is None else routes.version
            question = KnownAsk(version=version, revision=self._revision())
            try:
                known = await self._peers.ask(address, question, ASK_TIMEOUT_MS)
                self._take(address, known)
            except PeerError as error:
                decide(log, "node not asked", level=logging.DEBUG, peer=address, error=str(error))
                continue
            answered += 1
        return answered

    def _pack_servers(self, known):
        """Return a revision and the packed servers of it, as they are or were a moment ago.

        :param known: what the asker knows already.
        """
        now_ms = self._clock.now_ms()
        is_recent = self._packed is not None and now_ms - self._packed_ms < PACKED_MS
        if not is_recent or not _is_newer(self._packed[0], known):
            follower = self._follower
            self._packed = (follower.changes.revision, pack_servers(follower.registry.servers))
            self._packed_ms = now_ms
        return self._packed

    def _revision(self):
        """Return the newest revision up to which this node has heard of servers."""
        revisions = (self._follower.changes.revision, self._learned)
        return max((each for each in revisions if each is not None), default=None)

    def _take(self, address, known):
        """Take an answer whose sender heard from the store later than this node did."""
        follower = self._follower
        if known.table is not None:
            follower.keep_routes(unpack_table(known.table))
        if known.age_ms is None or known.servers is None:
            return
        if follower.age_ms is not None and follower.age_ms <= known.age_ms:
            return
        servers = unpack_servers(known.servers)
        for server in servers:
            follower.registry.put(server)
        self._learned = known.revision
        decide(
            log,
            "learned from a node",
            peer=address,
            servers=len(servers),
            age_ms=round(known.age_ms),
        )


def _is_newer(revision, known):
    return revision is None or known is None or revision > known
