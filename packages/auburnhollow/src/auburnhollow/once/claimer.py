"""Claiming a key for one attempt, and keeping what became of it."""

import logging

from ..exceptions import OutcomeUnknown, Overloaded, PeerError, StoreError, Unavailable
from ..hashing import first_ranked
from ..retry import jittered_ms
from .attempts import ABANDONED, ENDED, RUNNING
from .claims import CLAIMED, VOID, Claim, node_of
from .messages import AttemptAsk, ClaimAnswer, ClaimAsk
from .refusals import ran_before, reused

log = logging.getLogger("once")

OWNER_TIMEOUT_MS = 1_500.0
ATTEMPT_TIMEOUT_MS = 300.0
LAST_MS = 100.0
STORE_RETRY_MS = 2_000.0
LOOK_AGAIN_MS = 5_000.0
SETTLE_TRIES = 6
SETTLE_PAUSE_MS = 500.0
CLAIM_TRIES = 4


class Claimer:
    """Claims keys through the node that writes their range, or directly.

    :param components: :class:`~auburnhollow.scatter.coordinator.Components`.
    :param claim_store: :class:`~auburnhollow.once.ClaimStore` of this node.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param attempts: :class:`~auburnhollow.once.Attempts` of this node.

    >>> claim = await claimer.claim(order, key, body_hash, attempt, until_ms)
    """

    __slots__ = (
        "_attempts",
        "_claim_store",
        "_membership",
        "_owners",
        "_peers",
        "_ranked_nodes",
        "_components",
    )

    def __init__(self, components, claim_store, peers, membership, attempts):
        self._components = components
        self._claim_store = claim_store
        self._peers = peers
        self._membership = membership
        self._attempts = attempts
        self._owners = {}
        self._ranked_nodes = None

    async def on_claim(self, message):
        """Answer a :class:`ClaimAsk` of a peer."""
        claim = await self._claim_store.claim(message)
        return ClaimAnswer(claim=claim.to_list())

    async def on_settle(self, message):
        """Answer a :class:`SettleAsk` of a peer."""
        claim = await self._claim_store.settle(message)
        return ClaimAnswer(claim=None if claim is None else claim.to_list())

    async def claim(self, order, key, wanted, attempt, until_ms):
        """Return the claim that stands for the key: this attempt's, or one that has ended.

        :raises OutcomeUnknown: when another attempt holds the key and its end is not known.
        """
        instead_of = None
        for _ in range(CLAIM_TRIES):
            ask = ClaimAsk(
                record_key=key.record_key,
                key=key.id,
                attempt=attempt.name,
                body_hash=wanted,
                instead_of=instead_of,
            )
            claim = await self._ask_owner(order, key, ask, until_ms)
            if claim.attempt == attempt.name or claim.state not in (CLAIMED, VOID):
                return claim
            if claim.body_hash != wanted:
                raise reused(order)
            ended = await self._follow(order, key, claim, until_ms)
            if ended is not None:
                return ended
            instead_of = claim.attempt
        raise OutcomeUnknown(
            "other nodes go on claiming the key", retry_after_ms=LOOK_AGAIN_MS, request=order
        )

    async def _ask_owner(self, order, key, ask, until_ms):
        """Claim through the node that writes this range now, or else directly."""
        owner = self._owner(key)
        try:
            if owner != self._membership.me.id:
                address = self._membership.members[owner].address
                remaining_ms = until_ms - self._components.clock.now_ms()
                timeout_ms = max(1.0, min(OWNER_TIMEOUT_MS, remaining_ms / 2))
                try:
                    answer = await self._peers.ask(address, ask, timeout_ms)
                    return Claim.from_list(answer.claim)
                except PeerError as error:
                    self._components.metrics.incr("once.direct")
                    log.info("once: %s does not claim, claiming directly: %s", owner, error)
            return await self._claim_store.claim(ask)
        except Overloaded as error:
            error.ran = ran_before(order)
            raise
        except StoreError as error:
            raise Unavailable(
                f"the claim can't be kept: {error}",
                ran_before(order),
                retry_after_ms=jittered_ms(self._components.random, STORE_RETRY_MS),
                request=order,
            ) from error

    def _owner(self, key):
        """Return the node that writes the claims of a key's range; only load rests on it."""
        nodes = self._membership.answering()
        if nodes is not self._ranked_nodes:
            self._ranked_nodes = nodes
            self._owners = {}
        owner = self._owners.get(key.range)
        if owner is None:
            owner = first_ranked(f"once/{key.range}", nodes)
            self._owners[key.range] = owner
        return owner

    async def _follow(self, order, key, claim, until_ms):
        """Learn what became of another attempt that holds the key.

        :returns: the ended claim, or ``None`` when the attempt was given up for good.
        """
        node, _ = node_of(claim.attempt)
        if claim.state == VOID:
            return None
        try:
            answer = await self._ask_node(node, key, claim, wait_ms=0.0)
            if answer.state == RUNNING:
                # The node is there: its answer is worth waiting for.
                wait_ms = until_ms - self._components.clock.now_ms() - LAST_MS
                answer = await self._ask_node(node, key, claim, max(0.0, wait_ms))
        except PeerError as error:
            raise OutcomeUnknown(
                f"the key is held by a node that does not answer: {error}",
                retry_after_ms=LOOK_AGAIN_MS,
                request=order,
            ) from error
        if answer.state == ABANDONED:
            return None
        if answer.state == ENDED:
            return Claim(
                attempt=claim.attempt,
                body_hash=claim.body_hash,
                state=answer.claim_state,
                outcome=answer.outcome,
            )
        if answer.state == RUNNING:
            raise OutcomeUnknown(
                "the order is still in progress", retry_after_ms=LOOK_AGAIN_MS, request=order
            )
        raise OutcomeUnknown("the node that held the key has started anew", request=order)

    async def _ask_node(self, node, key, claim, wait_ms):
        ask = AttemptAsk(key=key.id, attempt=claim.attempt, wait_ms=wait_ms)
        if node == self._membership.me.id:
            return await self._attempts.answer(ask)
        member = self._membership.members.get(node)
        if member is None:
            raise PeerError(f"{node} is not known")
        return await self._peers.ask(member.address, ask, wait_ms + ATTEMPT_TIMEOUT_MS)

    async def keep(self, key, ask):
        """Write the end of an attempt; while that fails, peers still learn it by asking here."""
        pause_ms = SETTLE_PAUSE_MS
        for _ in range(SETTLE_TRIES):
            owner = self._owner(key)
            try:
                if owner == self._membership.me.id:
                    await self._claim_store.settle(ask)
                else:
                    address = self._membership.members[owner].address
                    await self._peers.ask(address, ask, OWNER_TIMEOUT_MS)
                return
            except (StoreError, PeerError, Overloaded) as error:
                log.info("once: the end of %s is not kept yet: %s", ask.attempt, error)
            await self._components.clock.sleep(pause_ms)
            pause_ms *= 2
