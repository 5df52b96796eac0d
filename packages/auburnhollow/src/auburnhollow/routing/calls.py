"""One call to one backend server, with everything that it teaches."""

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

FAILING = (BackendUnreachable, BackendDied, BackendCut, BackendSilent, BackendMismatch)
PENALTY_MS = 1_000.0


async def next_server(tier, service, servers, tried, request_class):
    """Return a server to ask, or ``None`` when none may be asked.

    Where all that may be asked are busy, this waits until one has room.

    :param servers: the replicas of the shard.
    :param tried: ids of servers not to ask again.
    """
    while True:
        configuration = tier.configuration()
        server = tier.replicas.choose(configuration, service, servers, tried)
        if server is not None:
            return server
        busy = tier.replicas.eligible_servers(configuration, servers, tried)
        if not busy:
            return None
        await tier.shares.room(busy, request_class)


async def call_server(tier, service, server, call, shard, fingerprint, as_canary=False):
    """Send ``call`` to ``server`` and note what comes of it.

    :param tier: the parts of the node, :class:`~auburnhollow.scatter.coordinator.Tier`.
    :param shard: name of the shard, for the blame when the server dies.
    :param as_canary: whether the request is a suspect that runs on this server alone.
    :raises BackendError: as :meth:`~auburnhollow.backends.BackendClient.call` does.
    """
    started_ms = tier.clock.now_ms()
    tier.shares.enter(server)
    tier.quarantine.started(server.id, fingerprint)
    try:
        answer = await tier.backends.call(server, call, service.policy.silent_ms)
    except BackendDied:
        tier.ejection.failed(server.id)
        tier.metrics.incr("backends.died")
        tier.events.record("server-died", server=server.id, request_id=call.request_id)
        tier.quarantine.died(server.id, shard, fingerprint, as_canary)
        raise
    except asyncio.CancelledError:
        # Another replica was quicker: this one takes at least as long as it has taken so far.
        lasted_ms = tier.clock.now_ms() - started_ms
        tier.replicas.observe_cancelled(tier.configuration(), server, lasted_ms)
        raise
    except BackendError as error:
        _learn_from_error(tier, service, server, error)
        raise
    finally:
        tier.shares.leave(server)
        tier.quarantine.ended(server.id, fingerprint)
    latency_ms = tier.clock.now_ms() - started_ms
    tier.ejection.worked(server.id)
    tier.quarantine.answered(fingerprint, shard)
    tier.leaving.mark_seen(server.id, answer.incarnation)
    load = getattr(answer, "load", None)
    tier.replicas.observe(server, latency_ms, load, answer.incarnation)
    if isinstance(call, ShardCall):
        typical_ms = tier.replicas.typical_ms(tier.configuration(), server)
        tier.policy(service).observe(latency_ms, typical_ms)
    return answer


def _learn_from_error(tier, service, server, error):
    if isinstance(error, FAILING):
        tier.ejection.failed(server.id)
    if isinstance(error, BackendTimeout | BackendSilent):
        tier.replicas.observe(server, PENALTY_MS)
    if isinstance(error, BackendSilent):
        tier.events.record("connection-silent", server=server.id)
    if isinstance(error, BackendRefused):
        _learn_from_refusal(tier, service, server, error)
    tier.metrics.incr(f"backends.{error.kind}")


def _learn_from_refusal(tier, service, server, refusal):
    if refusal.reason == "draining":
        tier.leaving.mark_leaving(server.id, refusal.incarnation, source="refusal")
        return
    if refusal.reason == "overload":
        tier.replicas.observe_overload(tier.configuration(), service, server)
        tier.limiter.record_overload()
        tier.policy(service).overloaded()
