"""Runs an order: claim the key, send to a backend server, store the outcome."""

import asyncio
import logging

import orjson

from ..backends import OrderCall
from ..configuration.schema import ORDER
from ..exceptions import (
    BackendError,
    BackendFault,
    BackendRejected,
    DeadlinePassed,
    KeyExpired,
    NoShardMatched,
    OutcomeUnknown,
    QueryError,
    Ran,
    Unavailable,
)
from ..hashing import first_ranked
from ..identifiers import new_id
from ..quarantine import fingerprint_of
from ..records import Record
from ..retry import jittered_ms
from ..routing.calls import call_server, next_server
from ..routing.plan import find_service, plan_request
from .claims import DONE, FAULT, STATE_NAMES, UNKNOWN, VOID
from .messages import StoreOutcomeAsk
from .refusals import before_sending, key_reused
from .requests import MAX_CLOCK_SKEW_MS, OrderResult, body_hash, parse_key

log = logging.getLogger("once")

UNAVAILABLE_RETRY_MS = 500.0
RETRY_PAUSE_MS = 5.0
MAX_OUTCOME_BYTES = 16_384


class RunningOrder(Record):
    """An order in progress at this node."""

    __slots__ = ("body_hash", "task")


class Orders:
    """Runs orders, each key at most once over all nodes.

    :param components: :class:`~auburnhollow.scatter.coordinator.Components`.
    :param claimer: :class:`~auburnhollow.once.Claimer`.
    :param attempts: :class:`~auburnhollow.once.Attempts` of this node.
    :param window_ms: how old a key may be, in milliseconds.

    >>> result = await orders.run(order)
    """

    __slots__ = (
        "_attempts",
        "_claimer",
        "_components",
        "_outcome_tasks",
        "_running",
        "_window_ms",
    )

    def __init__(self, components, claimer, attempts, window_ms):
        self._components = components
        self._claimer = claimer
        self._attempts = attempts
        self._window_ms = window_ms
        self._running = {}
        self._outcome_tasks = set()

    async def run(self, order):
        """Return the :class:`OrderResult` of an :class:`Order`.

        :raises QueryError: when there is none; its ``ran`` covers all tries with the key.
        """
        key = parse_key(order.caller, order.key)
        self._check_age(order, key)
        self._set_deadline(order)
        order_hash = body_hash(order)
        running = self._running.get(key.id)
        if running is None:
            task = asyncio.create_task(self._admit(order, key, order_hash))
            running = RunningOrder(body_hash=order_hash, task=task)
            self._running[key.id] = running
            task.add_done_callback(lambda task: self._on_task_done(key, task))
        elif running.body_hash != order_hash:
            raise key_reused(order)
        return await self._wait(order, running)

    async def flush(self):
        """Wait until all running orders have ended and the writes of their outcomes too."""
        while self._outcome_tasks or self._running:
            waiting = [running.task for running in self._running.values()]
            await asyncio.gather(*self._outcome_tasks, *waiting, return_exceptions=True)

    def _check_age(self, order, key):
        age_ms = self._components.clock.wall_ms() - key.issued_ms
        if age_ms > self._window_ms:
            raise KeyExpired(
                f"the key was issued {age_ms} ms ago, keys are valid for {self._window_ms:.0f} ms",
                request=order,
            )
        if age_ms < -MAX_CLOCK_SKEW_MS:
            raise KeyExpired(f"the key's issue time is {-age_ms} ms in the future", request=order)

    def _set_deadline(self, order):
        if order.deadline_ms is not None:
            return
        with before_sending(order):
            service = find_service(self._components.configuration(), order.service, ORDER)
        order.deadline_ms = service.policy.deadline_ms

    def _on_task_done(self, key, task):
        self._running.pop(key.id, None)
        if not task.cancelled() and task.exception() is not None:
            log.debug("once: order ended with %r", task.exception())

    async def _wait(self, order, running):
        """Wait for an order, which continues if the caller disconnects or its deadline passes."""
        try:
            async with self._components.clock.timeout(order.deadline_ms):
                return await asyncio.shield(running.task)
        except TimeoutError:
            raise DeadlinePassed(
                "the order is still in progress; retry with the same key",
                Ran.UNKNOWN,
                retry_after_ms=jittered_ms(self._components.random, UNAVAILABLE_RETRY_MS),
                request=order,
            ) from None

    async def _admit(self, order, key, order_hash):
        with before_sending(order):
            self._components.limiter.enter(order.request_class)
        try:
            return await self._claim_and_send(order, key, order_hash)
        finally:
            self._components.limiter.leave()

    async def _claim_and_send(self, order, key, order_hash):
        components = self._components
        until_ms = components.clock.now_ms() + order.deadline_ms
        fingerprint = fingerprint_of(order.service, order.order)
        with before_sending(order):
            targets = self._targets(order, key)
            components.quarantine.check(fingerprint)
        attempt = self._attempts.new()
        try:
            claim = await self._claimer.claim(order, key, order_hash, attempt, until_ms)
        except BaseException:
            attempt.abandon()
            raise
        if claim.attempt != attempt.name:
            attempt.abandon()
            return self._replay(order, claim, order_hash)
        return await self._send(order, key, attempt, targets, until_ms, fingerprint)

    def _targets(self, order, key):
        """Return the service and the servers that may run the order."""
        configuration = self._components.configuration()
        service = find_service(configuration, order.service, ORDER)
        snapshot = self._components.snapshots.choose(service)
        plan = plan_request(configuration, service, snapshot, order.selector)
        shard = first_ranked(key.id, plan.shards)
        servers = plan.replicas.get(shard, [])
        if not servers:
            raise NoShardMatched(f"no backend server holds shard {shard}")
        return Targets(service=service, shard=shard, servers=servers)

    def _replay(self, order, claim, order_hash):
        """Return the outcome of an earlier attempt."""
        if claim.body_hash != order_hash:
            raise key_reused(order)
        self._components.metrics.incr("once.replayed")
        return _result(order, claim.state, claim.outcome, replayed=True)

    async def _send(self, order, key, attempt, targets, until_ms, fingerprint):
        """Send the order to servers until one runs it; only the attempt with the claim may send."""
        components = self._components
        tried = set()
        last_error = None
        while components.clock.now_ms() < until_ms:
            server = await self._next_server(order, targets, tried, until_ms)
            if server is None:
                break
            tried.add(server.id)
            call = OrderCall(
                request_id=new_id(),
                service=targets.service.name,
                deadline_ms=max(1.0, until_ms - components.clock.now_ms()),
                order=order.order,
            )
            try:
                answer = await call_server(
                    components, targets.service, server, call, targets.shard, fingerprint
                )
            except BackendFault as error:
                return self._finish(order, key, attempt, FAULT, orjson.dumps(str(error)))
            except BackendError as error:
                last_error = error
                if error.ran is Ran.NO:
                    await components.clock.sleep(RETRY_PAUSE_MS)
                    continue
                return self._finish(order, key, attempt, UNKNOWN, orjson.dumps(str(error)))
            except QueryError as error:
                return self._finish(order, key, attempt, UNKNOWN, orjson.dumps(error.detail))
            return self._finish(order, key, attempt, DONE, orjson.dumps(answer.outcome))
        return self._abandon(order, key, attempt, last_error)

    async def _next_server(self, order, targets, tried, until_ms):
        components = self._components
        try:
            async with components.clock.timeout(until_ms - components.clock.now_ms()):
                return await next_server(
                    components, targets.service, targets.servers, tried, order.request_class
                )
        except TimeoutError:
            return None

    def _finish(self, order, key, attempt, state, outcome):
        attempt.end(state, outcome)
        stored_outcome = outcome if len(outcome) <= MAX_OUTCOME_BYTES else None
        self._store_outcome(key, attempt, state, stored_outcome)
        self._components.events.record(
            "order-ended", key=order.key, state=STATE_NAMES[state], service=order.service
        )
        return _result(order, state, outcome, replayed=False)

    def _abandon(self, order, key, attempt, last_error):
        attempt.abandon()
        self._store_outcome(key, attempt, VOID, None)
        raise Unavailable(
            f"no backend server accepted the order: {last_error or 'none accepts work'}",
            Ran.NO,
            retry_after_ms=jittered_ms(self._components.random, UNAVAILABLE_RETRY_MS),
            request=order,
        )

    def _store_outcome(self, key, attempt, state, outcome):
        ask = StoreOutcomeAsk(
            record_key=key.record_key,
            key=key.id,
            attempt=attempt.name,
            state=state,
            outcome=outcome,
        )
        task = asyncio.create_task(self._claimer.store_outcome(key, ask))
        self._outcome_tasks.add(task)
        task.add_done_callback(self._outcome_tasks.discard)


class Targets(Record):
    """The service, shard and servers that may run an order."""

    __slots__ = ("service", "shard", "servers")


def _result(order, state, outcome, replayed):
    if state == DONE:
        if outcome is None:
            raise BackendRejected(
                "the order ran; its outcome was too large to store", request=order
            )
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
