"""One call to one backend server, with everything that it teaches."""

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


async def finish_call(tier, service, server, call, shard, fingerprint):
    """Send ``call`` to ``server`` and note what comes of it.

    :param tier: the parts of the node, :class:`~auburnhollow.scatter.coordinator.Tier`.
    :param shard: name of the shard, for the blame when the server dies.
    :raises BackendError: as :meth:`~auburnhollow.backends.BackendClient.call` does.
    :raises Quarantined: when the server died under the request and was not the first.
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
        tier.quarantine.died(server.id, shard, fingerprint)
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
    tier.leaving.seen(server.id, answer.incarnation)
    load = getattr(answer, "load", None)
    tier.replicas.observe(server, latency_ms, load, answer.incarnation)
    tier.policy(service).observe(latency_ms)
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
    name = type(error).__name__.removeprefix("Backend").lower()
    tier.metrics.incr(f"backends.{name}")


def _learn_from_refusal(tier, service, server, refusal):
    if refusal.reason == "draining":
        tier.leaving.sign(server.id, refusal.incarnation, source="refusal")
        return
    if refusal.reason == "overload":
        tier.gate.went_badly()
        tier.policy(service).overloaded()
