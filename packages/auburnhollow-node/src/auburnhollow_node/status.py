"""Status and route explanations of a node, for operators."""

from auburnhollow.labels import describe
from auburnhollow.routing.plan import find_by_labels, find_service, plan_request


def status_of(node):
    """Return the state of a node and its view of the fleet as a dictionary for JSON."""
    tier = node.tier
    stored = node.keeper.stored
    return {
        "id": node.settings.id,
        "data_centre": node.settings.data_centre,
        "started_ms": node.started_ms,
        "ready": node.is_ready,
        "stopping": node.is_stopping,
        "revision": node.keeper.number,
        "change_id": None if stored is None else stored.change_id,
        "revision_from": node.keeper.source,
        "watches_store": node.configurations.is_watcher,
        "busy": tier.limiter.busy,
        "limit": tier.limiter.limit,
        "shed": tier.limiter.shed,
        "leaving": tier.leaving.servers,
        "draining": sorted(node.keeper.configuration.draining) if stored else [],
        "ejected": tier.ejection.ejected,
        "quarantined": tier.quarantine.refused,
        "members": _member_statuses(node),
        "services": {name: _service_status(policy) for name, policy in tier.policies.items()},
        "counts": node.metrics.counts,
        "events": node.events.counts,
    }


def _member_statuses(node):
    members = []
    for name in sorted(node.membership.members):
        member = node.membership.members[name]
        members.append(
            {
                "id": member.id,
                "address": member.address,
                "data_centre": member.data_centre,
                "state": member.state,
                "revision": member.revision,
                "ready": member.ready,
            }
        )
    return members


def _service_status(policy):
    return {
        "hedges": policy.hedges,
        "retries": policy.retries,
        "hedge_beyond_ms": policy.hedge_beyond_ms,
    }


def explain_route(node, kind, service_name, selector):
    """Return the shards and replicas that a request would be sent to.

    :param kind: ``search`` or ``check``.
    :param service_name: name of the service; ``None`` to find it by ``selector``.
    :raises QueryError: if no service or shard matches, as for the request itself.
    """
    tier = node.tier
    configuration = tier.configuration()
    if service_name is None:
        service = find_by_labels(configuration, selector, kind)
    else:
        service = find_service(configuration, service_name, kind)
    snapshot = tier.snapshots.choose(service)
    plan = plan_request(configuration, service, snapshot, selector)
    shards = []
    for shard in plan.shards:
        replicas = []
        for server in plan.replicas.get(shard, []):
            replicas.append(_explain_replica(tier, configuration, service, server))
        shards.append({"shard": shard, "replicas": replicas})
    return {
        "service": service.name,
        "revision": node.keeper.number,
        "snapshot": snapshot.version,
        "selector": describe(selector),
        "shards": shards,
    }


def _explain_replica(tier, configuration, service, server):
    reasons = []
    if server.id in configuration.draining:
        reasons.append("draining by configuration")
    if tier.leaving.is_leaving(server.id):
        reasons.append("leaving")
    if server.id in tier.ejection.ejected:
        reasons.append("ejected")
    if not tier.shares.has_room(server, service.connections):
        reasons.append("this node's share of connections is used up")
    return {
        "server": server.id,
        "address": server.address,
        "data_centre": server.data_centre,
        "expected_ms": round(tier.replicas.cost(configuration, service, server), 2),
        "busy": tier.shares.busy(server),
        "share": tier.shares.share(server, service.connections),
        "passed_over": reasons,
    }
