"""Calls a backend server and records the outcome in the node's state."""

import asyncio

from ..backends import ShardCall
from ..backends.messages import read_notice
from ..exceptions import (
    BackendCut,
    BackendDied,
    BackendError,
    BackendMismatch,
    BackendRefused,
    BackendSilent,
    BackendTimeout,
    BackendUnreachable,
)

EJECTING_ERRORS = (BackendUnreachable, BackendDied, BackendCut, BackendSilent, BackendMismatch)
TIMEOUT_LATENCY_MS = 1_000.0
# A cancelled call that took this many times the typical latency of its server counts as unanswered.
UNANSWERED_FACTOR = 3.0
# A shard whose servers have all named rates is left out rather than waited for any longer.
MAX_TURN_WAIT_MS = 250.0


async def next_server(components, service, servers, tried, request_class):
    """Return a server to call, or ``None`` if none is eligible.

    Waits for a free connection if all eligible servers are busy, and for this node's turn if they
    have named rates.

    :param servers: the replicas of the shard.
    :param tried: ids of servers not to call again.
    """
    while True:
        configuration = components.configuration()
        server = components.replicas.choose(configuration, service, servers, tried)
        if server is not None:
            return server
        eligible = components.replicas.eligible_servers(configuration, servers, tried)
        wait_ms = components.replicas.least_wait_ms(service, eligible)
        if wait_ms <= MAX_TURN_WAIT_MS:
            await components.clock.sleep(wait_ms)
            continue
        busy = components.replicas.without_room(service, eligible)
        if not busy:
            return None
        await components.shares.wait_for_room(busy, request_class)


async def call_server(components, service, server, call, shard, fingerprint, as_canary=False):
    """Send ``call`` to ``server``, record the outcome and return the answer.

    :param components: :class:`~auburnhollow.scatter.coordinator.Components` of this node.
    :param shard: name of the shard, for the quarantine if the server dies.
    :param as_canary: whether the request is suspect and runs on this server alone.
    :raises BackendError: as :meth:`~auburnhollow.backends.BackendClient.call` does.
    """
    started_ms = components.clock.now_ms()
    components.shares.enter(server)
    components.quarantine.record_start(server.id, fingerprint)
    try:
        answer = await components.backends.call(server, call, service.policy.silent_ms)
    except BackendDied:
        components.reach.record_refusal(server)
        confirmation = _confirm_death(components, server, call, shard, fingerprint, as_canary)
        with components.quarantine.confirming(fingerprint):
            await asyncio.shield(confirmation)
        raise
    except asyncio.CancelledError as cancellation:
        components.quarantine.record_abandoned(server.id, fingerprint)
        if isinstance(cancellation.__cause__, BackendDied):
            _confirm_death(components, server, call, shard, fingerprint, as_canary)
            raise
        # Another replica was faster; the time so far is a lower bound of this one's latency.
        lasted_ms = components.clock.now_ms() - started_ms
        configuration = components.configuration()
        components.replicas.observe_cancelled(configuration, server, lasted_ms)
        typical_ms = components.replicas.typical_ms(configuration, server)
        if lasted_ms >= UNANSWERED_FACTOR * typical_ms:
            components.reach.record_silence(server)
            _check_end(components, server, call, shard, fingerprint, as_canary)
        raise
    except BackendError as error:
        components.replicas.hear(server, error.notice, started_ms)
        _record_reach(components.reach, server, error)
        _record_error(components, service, server, error)
        if isinstance(error, BackendTimeout | BackendSilent):
            _check_end(components, server, call, shard, fingerprint, as_canary)
        raise
    finally:
        components.shares.leave(server)
        components.quarantine.record_end(server.id, fingerprint)
    latency_ms = components.clock.now_ms() - started_ms
    components.replicas.hear(server, read_notice(server.id, answer.rate_per_s), started_ms)
    components.end_checks.record_answer(server)
    components.reach.record_answer()
    components.ejection.record_success(server.id)
    components.quarantine.record_answer(fingerprint, shard, as_canary)
    components.leaving.mark_seen(server.id, answer.incarnation)
    load = getattr(answer, "load", None)
    components.replicas.observe(server, latency_ms, load, answer.incarnation)
    if isinstance(call, ShardCall):
        typical_ms = components.replicas.typical_ms(components.configuration(), server)
        components.budgets(service).observe(latency_ms, typical_ms)
    return answer


def _record_death(components, server, call, shard, fingerprint, as_canary, is_silent=False):
    components.ejection.record_failure(server.id)
    components.metrics.incr("backends.died")
    components.events.record("server-died", server=server.id, request_id=call.request_id)
    components.quarantine.record_death(
        server.id, shard, fingerprint, as_canary, is_silent=is_silent
    )


def _confirm_death(components, server, call, shard, fingerprint, as_canary):
    """Record the death of a server, unless this node's links are at fault; return the task."""
    components.quarantine.mark_lost(server.id, fingerprint)

    def on_ended():
        _record_death(components, server, call, shard, fingerprint, as_canary)

    return components.end_checks.confirm(server, on_ended)


def _check_end(components, server, call, shard, fingerprint, as_canary):
    """Check whether the server that left a call unanswered has ended without a sign."""

    def on_ended():
        _record_death(components, server, call, shard, fingerprint, as_canary, is_silent=True)

    components.end_checks.check(server, on_ended)


def _record_reach(reach, server, error):
    if isinstance(error, BackendUnreachable):
        reach.record_refusal(server)
    elif isinstance(error, BackendTimeout | BackendSilent):
        reach.record_silence(server)
    elif isinstance(error, BackendRefused):
        reach.record_answer()


def _record_error(components, service, server, error):
    if isinstance(error, EJECTING_ERRORS):
        components.ejection.record_failure(server.id)
    if isinstance(error, BackendTimeout | BackendSilent):
        components.replicas.observe(server, TIMEOUT_LATENCY_MS)
    if isinstance(error, BackendSilent):
        components.events.record("connection-silent", server=server.id)
    if isinstance(error, BackendRefused):
        _record_refusal(components, service, server, error)
    components.metrics.incr(f"backends.{error.kind}")


def _record_refusal(components, service, server, refusal):
    if refusal.reason == "draining":
        components.leaving.mark_leaving(server.id, refusal.incarnation, source="refusal")
        return
    if refusal.reason == "overload":
        components.replicas.observe_overload(components.configuration(), service, server)
        components.limiter.record_overload()
        components.budgets(service).mark_overloaded()
