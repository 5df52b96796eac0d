"""Claims keys for attempts and stores the outcomes."""

import logging

from ..exceptions import OutcomeUnknown, Overloaded, PeerError, StoreError, Unavailable
from ..hashing import first_ranked
from ..retry import jittered_ms
from .attempts import ABANDONED, ENDED, RUNNING
from .claims import CLAIMED, VOID, Claim, parse_attempt_name
from .messages import AttemptAsk, ClaimAnswer, ClaimAsk
from .refusals import key_reused, ran_in_earlier_tries

log = logging.getLogger("once")

OWNER_TIMEOUT_MS = 1_500.0
# Timeout of an AttemptAsk in addition to its ``wait_ms``.
ATTEMPT_TIMEOUT_MS = 300.0
# Part of the deadline that is reserved for sending the response to the caller.
RESPONSE_MARGIN_MS = 100.0
STORE_RETRY_MS = 2_000.0
OUTCOME_RETRY_MS = 5_000.0
STORE_OUTCOME_TRIES = 6
# Pause after the first failed try; it doubles with each further one.
STORE_OUTCOME_BACKOFF_MS = 500.0
CLAIM_TRIES = 4


class Claimer:
    """Claims keys through the node that owns their range, or directly in the store.

    :param components: :class:`~auburnhollow.scatter.coordinator.Components`.
    :param claim_store: :class:`~auburnhollow.once.ClaimStore` of this node.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param attempts: :class:`~auburnhollow.once.Attempts` of this node.

    >>> claim = await claimer.claim(order, key, order_hash, attempt, until_ms)
    """

    __slots__ = (
        "_attempts",
        "_cached_nodes",
        "_claim_store",
        "_components",
        "_membership",
        "_owners",
        "_peers",
    )

    def __init__(self, components, claim_store, peers, membership, attempts):
        self._components = components
        self._claim_store = claim_store
        self._peers = peers
        self._membership = membership
        self._attempts = attempts
        self._owners = {}
        self._cached_nodes = None

    async def on_claim(self, message):
        """Answer a :class:`ClaimAsk` of a peer."""
        claim = await self._claim_store.claim(message)
        return ClaimAnswer(claim=claim.to_list())

    async def on_store_outcome(self, message):
        """Answer a :class:`StoreOutcomeAsk` of a peer."""
        claim = await self._claim_store.write_outcome(message)
        return ClaimAnswer(claim=None if claim is None else claim.to_list())

    async def claim(self, order, key, order_hash, attempt, until_ms):
        """Return the current claim of the key: this attempt's, or one that has ended.

        :raises OutcomeUnknown: when another attempt holds the key and its outcome is not known.
        """
        instead_of = None
        for _ in range(CLAIM_TRIES):
            ask = ClaimAsk(
                record_key=key.record_key,
                key=key.id,
                attempt=attempt.name,
                body_hash=order_hash,
                instead_of=instead_of,
            )
            claim = await self._ask_owner(order, key, ask, until_ms)
            if claim.attempt == attempt.name or claim.state not in (CLAIMED, VOID):
                return claim
            if claim.body_hash != order_hash:
                raise key_reused(order)
            ended = await self._resolve_holder(order, key, claim, until_ms)
            if ended is not None:
                return ended
            instead_of = claim.attempt
        raise OutcomeUnknown(
            "other nodes keep claiming the key", retry_after_ms=OUTCOME_RETRY_MS, request=order
        )

    async def _ask_owner(self, order, key, ask, until_ms):
        """Claim through the owner of the key's range, or directly when it does not answer."""
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
                    log.info("once: owner %s failed to claim, claiming directly: %s", owner, error)
            return await self._claim_store.claim(ask)
        except Overloaded as error:
            error.ran = ran_in_earlier_tries(order)
            raise
        except StoreError as error:
            raise Unavailable(
                f"the claim can't be stored: {error}",
                ran_in_earlier_tries(order),
                retry_after_ms=jittered_ms(self._components.random, STORE_RETRY_MS),
                request=order,
            ) from error

    def _owner(self, key):
        """Return the node that owns a key's range.

        The owner only batches writes. Claims stay correct when nodes disagree on it.
        """
        nodes = self._membership.answering()
        if nodes is not self._cached_nodes:
            self._cached_nodes = nodes
            self._owners = {}
        owner = self._owners.get(key.range)
        if owner is None:
            owner = first_ranked(f"once/{key.range}", nodes)
            self._owners[key.range] = owner
        return owner

    async def _resolve_holder(self, order, key, claim, until_ms):
        """Ask for the state of another attempt that holds the key.

        :returns: the ended claim, or ``None`` when the attempt will never send.
        """
        node, _ = parse_attempt_name(claim.attempt)
        if claim.state == VOID:
            return None
        try:
            answer = await self._ask_holder(node, key, claim, wait_ms=0.0)
            if answer.state == RUNNING:
                # The node responds, so wait for the outcome.
                wait_ms = until_ms - self._components.clock.now_ms() - RESPONSE_MARGIN_MS
                answer = await self._ask_holder(node, key, claim, max(0.0, wait_ms))
        except PeerError as error:
            raise OutcomeUnknown(
                f"the key is held by a node that does not answer: {error}",
                retry_after_ms=OUTCOME_RETRY_MS,
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
                "the order is still in progress", retry_after_ms=OUTCOME_RETRY_MS, request=order
            )
        raise OutcomeUnknown("the node that held the key has restarted", request=order)

    async def _ask_holder(self, node, key, claim, wait_ms):
        ask = AttemptAsk(key=key.id, attempt=claim.attempt, wait_ms=wait_ms)
        if node == self._membership.me.id:
            return await self._attempts.answer(ask)
        member = self._membership.members.get(node)
        if member is None:
            raise PeerError(f"node {node} is unknown")
        return await self._peers.ask(member.address, ask, wait_ms + ATTEMPT_TIMEOUT_MS)

    async def store_outcome(self, key, ask):
        """Store the outcome of an attempt, with retries.

        Until it is stored, peers get it by asking this node.
        """
        pause_ms = STORE_OUTCOME_BACKOFF_MS
        for _ in range(STORE_OUTCOME_TRIES):
            owner = self._owner(key)
            try:
                if owner == self._membership.me.id:
                    await self._claim_store.write_outcome(ask)
                else:
                    address = self._membership.members[owner].address
                    await self._peers.ask(address, ask, OWNER_TIMEOUT_MS)
                return
            except (StoreError, PeerError, Overloaded) as error:
                log.info("once: outcome of %s not stored yet: %s", ask.attempt, error)
            await self._components.clock.sleep(pause_ms)
            pause_ms *= 2
