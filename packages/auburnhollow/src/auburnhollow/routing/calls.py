"""Calls a backend server and records the outcome in the node's state."""

import asyncio

from ..backends import ShardCall
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


async def next_server(tier, service, servers, tried, request_class):
    """Return a server to call, or ``None`` if none is eligible.

    Waits for a free connection if all eligible servers are busy.

    :param servers: the replicas of the shard.
    :param tried: ids of servers not to call again.
    """
    while True:
        configuration = tier.configuration()
        server = tier.replicas.choose(configuration, service, servers, tried)
        if server is not None:
            return server
        busy = tier.replicas.eligible_servers(configuration, servers, tried)
        if not busy:
            return None
        await tier.shares.wait_for_room(busy, request_class)


async def call_server(tier, service, server, call, shard, fingerprint, as_canary=False):
    """Send ``call`` to ``server``, record the outcome and return the answer.

    :param tier: the parts of the node, :class:`~auburnhollow.scatter.coordinator.Tier`.
    :param shard: name of the shard, for the quarantine if the server dies.
    :param as_canary: whether the request is suspect and runs on this server alone.
    :raises BackendError: as :meth:`~auburnhollow.backends.BackendClient.call` does.
    """
    started_ms = tier.clock.now_ms()
    tier.shares.enter(server)
    tier.quarantine.started(server.id, fingerprint)
    try:
        answer = await tier.backends.call(server, call, service.policy.silent_ms)
    except BackendDied:
        tier.ejection.record_failure(server.id)
        tier.metrics.incr("backends.died")
        tier.events.record("server-died", server=server.id, request_id=call.request_id)
        tier.quarantine.died(server.id, shard, fingerprint, as_canary)
        raise
    except asyncio.CancelledError:
        # Another replica was faster; the time so far is a lower bound of this one's latency.
        lasted_ms = tier.clock.now_ms() - started_ms
        tier.replicas.observe_cancelled(tier.configuration(), server, lasted_ms)
        raise
    except BackendError as error:
        _record_error(tier, service, server, error)
        raise
    finally:
        tier.shares.leave(server)
        tier.quarantine.ended(server.id, fingerprint)
    latency_ms = tier.clock.now_ms() - started_ms
    tier.ejection.record_success(server.id)
    tier.quarantine.answered(fingerprint, shard)
    tier.leaving.mark_seen(server.id, answer.incarnation)
    load = getattr(answer, "load", None)
    tier.replicas.observe(server, latency_ms, load, answer.incarnation)
    if isinstance(call, ShardCall):
        typical_ms = tier.replicas.typical_ms(tier.configuration(), server)
        tier.policy(service).observe(latency_ms, typical_ms)
    return answer


def _record_error(tier, service, server, error):
    if isinstance(error, EJECTING_ERRORS):
        tier.ejection.record_failure(server.id)
    if isinstance(error, BackendTimeout | BackendSilent):
        tier.replicas.observe(server, TIMEOUT_LATENCY_MS)
    if isinstance(error, BackendSilent):
        tier.events.record("connection-silent", server=server.id)
    if isinstance(error, BackendRefused):
        _record_refusal(tier, service, server, error)
    tier.metrics.incr(f"backends.{error.kind}")


def _record_refusal(tier, service, server, refusal):
    if refusal.reason == "draining":
        tier.leaving.mark_leaving(server.id, refusal.incarnation, source="refusal")
        return
    if refusal.reason == "overload":
        tier.replicas.observe_overload(tier.configuration(), service, server)
        tier.limiter.record_overload()
        tier.policy(service).overloaded()
