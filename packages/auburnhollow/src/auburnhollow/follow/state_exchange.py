"""Exchanges store state between nodes, so that they can catch up while the store is unreachable."""

import asyncio
import logging

from ..clock import Clock
from ..decisions import log_decision
from ..exceptions import PeerError
from .messages import (
    NO_REVISION,
    StateAnswer,
    StateAsk,
    pack_servers,
    pack_table,
    unpack_servers,
    unpack_table,
)
from .positions import era_of, for_asker, position_of

log = logging.getLogger("follow")

ASK_TIMEOUT_MS = 500.0
NODES_ASKED = 3
NO_VERSION = 0
# Packing 7,300 servers takes 30 ms, and many nodes send requests at once after a start.
CACHE_MS = 500.0


class StateExchange:
    """Requests store state from other nodes and serves the local state to them.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param addresses: function that returns the peer addresses of other nodes.
    :param random: a :class:`random.Random`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = (
        "_addresses",
        "_asking",
        "_cached",
        "_cached_ms",
        "_clock",
        "_follower",
        "_peers",
        "_random",
    )

    def __init__(self, follower, peers, addresses, random, clock=None):
        self._follower = follower
        self._peers = peers
        self._addresses = addresses
        self._random = random
        self._clock = clock or Clock()
        self._asking = {}
        self._cached = None
        self._cached_ms = 0.0

    @property
    def version(self):
        """The version of the configuration in force, 0 before the first."""
        routes = self._follower.routes
        return NO_VERSION if routes is None else routes.version

    async def answer(self, message):
        """Answer a :class:`StateAsk`."""
        follower = self._follower
        routes = follower.routes
        table = None
        if routes is not None and routes.version > message.version:
            table = pack_table(routes)
        revision = follower.change_log.revision
        servers = None
        asked = message.revision
        if asked is not None and not era_of(asked) and revision is not None:
            # Builds that know of no eras ask by the revision alone.
            asked = position_of(era_of(revision), asked)
        # A watch that has missed the version in force may have missed servers too.
        age_ms = follower.age_ms if follower.has_delivered else None
        if age_ms is not None and _is_newer(revision, asked):
            revision, servers = self._pack_servers(asked)
        return StateAnswer(
            revision=for_asker(revision, message.revision),
            age_ms=age_ms,
            table=table,
            servers=servers,
            evacuations=follower.evacuations.known() or ([] if message.has_evacuations else None),
        )

    async def ask(self, nodes=NODES_ASKED):
        """Request state from a few random nodes and apply what is newer than the local state.

        :param nodes: how many to ask.
        :returns: how many nodes answered.
        """
        addresses = list(self._addresses())
        chosen = self._random.sample(addresses, min(nodes, len(addresses)))
        answered = 0
        for address in chosen:
            answered += await self._ask_node(address, ASK_TIMEOUT_MS)
        return answered

    async def catch_up(self, address, version, timeout_ms=ASK_TIMEOUT_MS):
        """Ask one node that knows ``version`` of the configuration, unless this node does too.

        Calls for the same node share one question.

        :returns: whether this node has that version, or a newer one, now.
        """
        if self.version < version:
            asking = self._asking.get(address)
            if asking is None:
                work = self._ask_node(address, timeout_ms)
                asking = asyncio.get_running_loop().create_task(work)
                self._asking[address] = asking
                asking.add_done_callback(lambda _task: self._asking.pop(address))
            await asyncio.shield(asking)
        return self.version >= version

    async def _ask_node(self, address, timeout_ms):
        """Apply what one node knows beyond the local state; return whether it answered."""
        known_revision = self._follower.newest_revision
        request = StateAsk(
            version=self.version,
            revision=NO_REVISION if known_revision is None else known_revision,
        )
        try:
            answer = await self._peers.ask(address, request, timeout_ms)
            self._apply(address, answer)
        except (PeerError, TypeError, ValueError) as error:
            log_decision(
                log, "no state from node", level=logging.DEBUG, peer=address, error=str(error)
            )
            return False
        return True

    def _pack_servers(self, known_revision):
        """Return a revision and the packed servers of that revision, at most ``CACHE_MS`` old.

        The cache is bypassed when it is not newer than ``known_revision``.

        :param known_revision: the revision that the requester already has, or ``None``.
        """
        now_ms = self._clock.now_ms()
        is_recent = self._cached is not None and now_ms - self._cached_ms < CACHE_MS
        if not is_recent or not _is_newer(self._cached[0], known_revision):
            follower = self._follower
            # Each node keeps servers whose entry is missing for a while, by its own clock.
            servers = follower.registry.registered
            self._cached = (follower.change_log.revision, pack_servers(servers))
            self._cached_ms = now_ms
        return self._cached

    def _apply(self, address, answer):
        """Apply an answer; its servers only if the store confirmed them more recently.

        One from before the store came back from a copy is left out.
        """
        follower = self._follower
        if follower.is_of_older_era(answer.revision):
            log_decision(log, "state of an older era left out", peer=address)
            return
        if answer.table is not None:
            follower.apply_routes(unpack_table(answer.table), through=address)
        for data_centre, known_revision, is_active in answer.evacuations or ():
            follower.evacuations.apply(data_centre, known_revision, is_active, "peer")
        if answer.age_ms is None or answer.servers is None:
            return
        if follower.age_ms is not None and follower.age_ms <= answer.age_ms:
            return
        servers = unpack_servers(answer.servers)
        follower.learn_servers(servers, answer.revision)
        log_decision(
            log,
            "learned from a node",
            peer=address,
            servers=len(servers),
            age_ms=round(answer.age_ms),
        )


def _is_newer(revision, known_revision):
    return revision is None or known_revision is None or revision > known_revision
