"""An order's way: claim the key, send, keep the outcome."""

import asyncio
import logging
from contextlib import contextmanager

import orjson

from ..backends import OrderCall
from ..configuration.schema import ORDER
from ..exceptions import (
    BackendError,
    BackendFault,
    BackendRejected,
    DeadlinePassed,
    KeyExpired,
    KeyReused,
    NoShardMatched,
    OutcomeUnknown,
    Overloaded,
    PeerError,
    QueryError,
    Ran,
    StoreError,
    Unavailable,
)
from ..hashing import first_ranked
from ..identifiers import new_id
from ..quarantine import fingerprint_of
from ..records import Record
from ..retry import spread_ms
from ..routing.calls import finish_call, next_server
from ..routing.plan import find_service, plan_request
from .claims import CLAIMED, DONE, FAULT, UNKNOWN, VOID, Claim, attempt_of, node_of
from .messages import AttemptAnswer, AttemptAsk, ClaimAnswer, ClaimAsk, SettleAsk
from .requests import MOST_SKEW_MS, NONE, NOT_RUN, OrderResult, body_hash, parse_key

log = logging.getLogger("once")

OWNER_TIMEOUT_MS = 1_500.0
ATTEMPT_TIMEOUT_MS = 300.0
LAST_MS = 100.0
STORE_RETRY_MS = 2_000.0
LOOK_AGAIN_MS = 5_000.0
UNAVAILABLE_RETRY_MS = 500.0
PAUSE_MS = 5.0
SETTLE_TRIES = 6
SETTLE_PAUSE_MS = 500.0
CLAIM_TRIES = 4
KEPT_ATTEMPTS = 20_000
LARGEST_OUTCOME = 16_384

ABANDONED = "abandoned"
RUNNING = "running"
ENDED = "ended"
NEVER_HEARD = "unknown"


class Attempt:
    """One try of this node to run an order. It may send only while it is not given up."""

    __slots__ = ("claim_state", "ended", "name", "outcome", "state")

    def __init__(self, name):
        self.name = name
        self.state = RUNNING
        self.claim_state = None
        self.outcome = None
        self.ended = asyncio.Event()

    def abandon(self):
        """Promise that this attempt is never sent."""
        self.state = ABANDONED
        self.ended.set()

    def end(self, claim_state, outcome):
        """Keep what came of sending."""
        self.state = ENDED
        self.claim_state = claim_state
        self.outcome = outcome
        self.ended.set()


class Running(Record):
    """An order in progress at this node."""

    __slots__ = ("body_hash", "task")


class Orders:
    """Runs orders, each key at most once over all nodes.

    :param tier: :class:`~auburnhollow.scatter.coordinator.Tier`.
    :param ledger: :class:`~auburnhollow.once.Ledger` of this node.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param start: a number that no earlier start of this node had.
    :param window_ms: how old a key may be, in milliseconds.

    >>> result = await orders.run(order)
    """

    __slots__ = (
        "_attempts",
        "_ledger",
        "_membership",
        "_owners",
        "_peers",
        "_ranked_nodes",
        "_running",
        "_settling",
        "_start",
        "_tier",
        "_window_ms",
    )

    def __init__(self, tier, ledger, peers, membership, start, window_ms):
        self._tier = tier
        self._ledger = ledger
        self._peers = peers
        self._membership = membership
        self._start = start
        self._window_ms = window_ms
        self._attempts = {}
        self._owners = {}
        self._ranked_nodes = None
        self._running = {}
        self._settling = set()

    async def run(self, order):
        """Return the :class:`OrderResult` of an :class:`Order`.

        :raises QueryError: when there is none; ``ran`` speaks of the key, not of this try alone.
        """
        key = parse_key(order.caller, order.key)
        self._check_age(order, key)
        self._set_deadline(order)
        wanted = body_hash(order)
        running = self._running.get(key.id)
        if running is None:
            task = asyncio.create_task(self._admit(order, key, wanted))
            running = Running(body_hash=wanted, task=task)
            self._running[key.id] = running
            task.add_done_callback(lambda task: self._ended(key, task))
        elif running.body_hash != wanted:
            raise _reused(order)
        return await self._wait(order, running)

    async def flush(self):
        """Wait until the outcomes of all orders that ended are kept, or can't be."""
        while self._settling or self._running:
            waiting = [running.task for running in self._running.values()]
            await asyncio.gather(*self._settling, *waiting, return_exceptions=True)

    async def on_claim(self, message):
        """Answer a :class:`ClaimAsk` of a peer."""
        claim = await self._ledger.claim(message)
        return ClaimAnswer(claim=claim.to_list())

    async def on_settle(self, message):
        """Answer a :class:`SettleAsk` of a peer."""
        claim = await self._ledger.settle(message)
        return ClaimAnswer(claim=None if claim is None else claim.to_list())

    async def on_attempt(self, message):
        """Answer an :class:`AttemptAsk` of a peer."""
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            return AttemptAnswer(state=NEVER_HEARD, claim_state=None, outcome=None)
        await _wait_for(self._tier.clock, attempt.ended, message.wait_ms)
        return AttemptAnswer(
            state=attempt.state, claim_state=attempt.claim_state, outcome=attempt.outcome
        )

    def _check_age(self, order, key):
        age_ms = self._tier.clock.wall_ms() - key.issued_ms
        if age_ms > self._window_ms:
            raise KeyExpired(
                f"the key was issued {age_ms} ms ago, keys go for {self._window_ms:.0f} ms",
                request=order,
            )
        if age_ms < -MOST_SKEW_MS:
            raise KeyExpired(f"the key is issued {-age_ms} ms ahead of now", request=order)

    def _set_deadline(self, order):
        if order.deadline_ms is not None:
            return
        with _nothing_sent(order):
            service = find_service(self._tier.configuration(), order.service, ORDER)
        order.deadline_ms = service.policy.deadline_ms

    def _ended(self, key, task):
        self._running.pop(key.id, None)
        if not task.cancelled() and task.exception() is not None:
            log.debug("once: order ended with %r", task.exception())

    async def _wait(self, order, running):
        """Wait for an order; it goes on when the caller goes away or its deadline passes."""
        try:
            async with self._tier.clock.timeout(order.deadline_ms):
                return await asyncio.shield(running.task)
        except TimeoutError:
            raise DeadlinePassed(
                "the order is still in progress; ask again under the same key",
                Ran.UNKNOWN,
                retry_after_ms=spread_ms(self._tier.random, UNAVAILABLE_RETRY_MS),
                request=order,
            ) from None

    async def _admit(self, order, key, wanted):
        with _nothing_sent(order):
            self._tier.gate.enter(order.request_class)
        try:
            return await self._claim_and_send(order, key, wanted)
        finally:
            self._tier.gate.leave()

    async def _claim_and_send(self, order, key, wanted):
        tier = self._tier
        until_ms = tier.clock.now_ms() + order.deadline_ms
        fingerprint = fingerprint_of(order.service, order.order)
        with _nothing_sent(order):
            targets = self._targets(order, key)
            tier.quarantine.check(fingerprint)
        attempt = self._new_attempt()
        try:
            claim = await self._claim(order, key, wanted, attempt, until_ms)
        except BaseException:
            attempt.abandon()
            raise
        if claim.attempt != attempt.name:
            attempt.abandon()
            return self._replay(order, claim, wanted)
        return await self._send(order, key, attempt, targets, until_ms, fingerprint)

    def _targets(self, order, key):
        """Return the service and the servers that may run the order."""
        configuration = self._tier.configuration()
        service = find_service(configuration, order.service, ORDER)
        snapshot = self._tier.snapshots.choose(service)
        plan = plan_request(configuration, service, snapshot, order.selector)
        shard = first_ranked(key.id, plan.shards)
        servers = plan.replicas.get(shard, [])
        if not servers:
            raise NoShardMatched(f"no backend server holds shard {shard}")
        return Targets(service=service, shard=shard, servers=servers)

    def _new_attempt(self):
        name = attempt_of(self._membership.me.id, self._start, new_id())
        attempt = Attempt(name)
        self._attempts[name] = attempt
        while len(self._attempts) > KEPT_ATTEMPTS:
            oldest = next(iter(self._attempts))
            if self._attempts[oldest].state == RUNNING:
                break
            del self._attempts[oldest]
        return attempt

    async def _claim(self, order, key, wanted, attempt, until_ms):
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
                raise _reused(order)
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
                remaining_ms = until_ms - self._tier.clock.now_ms()
                timeout_ms = max(1.0, min(OWNER_TIMEOUT_MS, remaining_ms / 2))
                try:
                    answer = await self._peers.ask(address, ask, timeout_ms)
                    return Claim.from_list(answer.claim)
                except PeerError as error:
                    self._tier.metrics.incr("once.direct")
                    log.info("once: %s does not claim, claiming directly: %s", owner, error)
            return await self._ledger.claim(ask)
        except StoreError as error:
            raise Unavailable(
                f"the claim can't be kept: {error}",
                _ran_before(order),
                retry_after_ms=spread_ms(self._tier.random, STORE_RETRY_MS),
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
                wait_ms = until_ms - self._tier.clock.now_ms() - LAST_MS
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
            return await self.on_attempt(ask)
        member = self._membership.members.get(node)
        if member is None:
            raise PeerError(f"{node} is not known")
        return await self._peers.ask(member.address, ask, wait_ms + ATTEMPT_TIMEOUT_MS)

    def _replay(self, order, claim, wanted):
        """Answer with what an earlier attempt came to."""
        if claim.body_hash != wanted:
            raise _reused(order)
        self._tier.metrics.incr("once.replayed")
        return _result(order, claim.state, claim.outcome, replayed=True)

    async def _send(self, order, key, attempt, targets, until_ms, fingerprint):
        """Run the order: this attempt holds the claim, and no other may ever send."""
        tier = self._tier
        tried = set()
        last = None
        while tier.clock.now_ms() < until_ms:
            server = await self._next_server(order, targets, tried, until_ms)
            if server is None:
                break
            tried.add(server.id)
            call = OrderCall(
                request_id=new_id(),
                service=targets.service.name,
                deadline_ms=max(1.0, until_ms - tier.clock.now_ms()),
                order=order.order,
            )
            try:
                answer = await finish_call(
                    tier, targets.service, server, call, targets.shard, fingerprint
                )
            except BackendFault as error:
                return self._end(order, key, attempt, FAULT, orjson.dumps(str(error)))
            except BackendError as error:
                last = error
                if error.ran is Ran.NO:
                    await tier.clock.sleep(PAUSE_MS)
                    continue
                return self._end(order, key, attempt, UNKNOWN, orjson.dumps(str(error)))
            except QueryError as error:
                return self._end(order, key, attempt, UNKNOWN, orjson.dumps(error.detail))
            return self._end(order, key, attempt, DONE, orjson.dumps(answer.outcome))
        return self._give_up(order, key, attempt, last)

    async def _next_server(self, order, targets, tried, until_ms):
        tier = self._tier
        try:
            async with tier.clock.timeout(until_ms - tier.clock.now_ms()):
                return await next_server(
                    tier, targets.service, targets.servers, tried, order.request_class
                )
        except TimeoutError:
            return None

    def _end(self, order, key, attempt, state, outcome):
        attempt.end(state, outcome)
        kept = outcome if len(outcome) <= LARGEST_OUTCOME else None
        self._settle(key, attempt, state, kept)
        self._tier.events.record("order-ended", key=order.key, state=state, service=order.service)
        return _result(order, state, outcome, replayed=False)

    def _give_up(self, order, key, attempt, last):
        attempt.abandon()
        self._settle(key, attempt, VOID, None)
        raise Unavailable(
            f"no backend server took the order: {last or 'none takes work'}",
            Ran.NO,
            retry_after_ms=spread_ms(self._tier.random, UNAVAILABLE_RETRY_MS),
            request=order,
        )

    def _settle(self, key, attempt, state, outcome):
        ask = SettleAsk(
            record_key=key.record_key,
            key=key.id,
            attempt=attempt.name,
            state=state,
            outcome=outcome,
        )
        task = asyncio.create_task(self._keep(key, ask))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _keep(self, key, ask):
        """Write the end of an attempt; while that fails, peers still learn it by asking here."""
        pause_ms = SETTLE_PAUSE_MS
        for _ in range(SETTLE_TRIES):
            owner = self._owner(key)
            try:
                if owner == self._membership.me.id:
                    await self._ledger.settle(ask)
                else:
                    address = self._membership.members[owner].address
                    await self._peers.ask(address, ask, OWNER_TIMEOUT_MS)
                return
            except (StoreError, PeerError, Overloaded) as error:
                log.info("once: the end of %s is not kept yet: %s", ask.attempt, error)
            await self._tier.clock.sleep(pause_ms)
            pause_ms *= 2


class Targets(Record):
    """Where an order may run."""

    __slots__ = ("service", "shard", "servers")


def _ran_before(order):
    """Return what is true of the key while this try has sent nothing."""
    return Ran.NO if order.earlier in (NONE, NOT_RUN) else Ran.UNKNOWN


@contextmanager
def _nothing_sent(order):
    """Let a refusal say of the key what the caller knows: this try has sent nothing yet."""
    try:
        yield
    except QueryError as error:
        error.ran = _ran_before(order)
        raise


def _reused(order):
    return KeyReused("the key was used for another order", Ran.NO, request=order)


def _result(order, state, outcome, replayed):
    if state == DONE:
        if outcome is None:
            raise BackendRejected("the order ran; its outcome was too large to keep", request=order)
        return OrderResult(
            key=order.key,
            service=order.service,
            outcome=orjson.loads(outcome),
            replayed=replayed,
        )
    text = orjson.loads(outcome) if outcome else ""
    if state == FAULT:
        raise BackendRejected(f"a backend server failed the order: {text}", request=order)
    raise OutcomeUnknown(f"the order may have run: {text}", request=order)


async def _wait_for(clock, event, wait_ms):
    try:
        async with clock.timeout(wait_ms):
            await event.wait()
    except TimeoutError:
        return
