"""Status and route explanations of a node, for operators."""

from auburnhollow.labels import describe
from auburnhollow.routing.plan import find_by_labels, find_service, plan_request


def status_of(node):
    """Return the state of a node and its view of the fleet as a dictionary for JSON."""
    components = node.components
    stored = node.configuration_holder.stored
    return {
        "id": node.settings.id,
        "data_centre": node.settings.data_centre,
        "started_ms": node.started_ms,
        "ready": node.is_ready,
        "stopping": node.is_stopping,
        "revision": node.configuration_holder.number,
        "change_id": None if stored is None else stored.change_id,
        "revision_from": node.configuration_holder.source,
        "watches_store": node.configuration_sync.is_watcher,
        "busy": components.limiter.busy,
        "limit": components.limiter.limit,
        "shed": components.limiter.shed,
        "leaving": components.leaving.servers,
        "draining": sorted(node.configuration_holder.configuration.draining) if stored else [],
        "ejected": components.ejection.ejected,
        "quarantined": components.quarantine.refused,
        "members": _member_statuses(node),
        "services": {
            name: _service_status(budgets)
            for name, budgets in components.budgets_by_service.items()
        },
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


def _service_status(budgets):
    return {
        "hedges": budgets.hedges,
        "retries": budgets.retries,
        "hedge_beyond_ms": budgets.hedge_beyond_ms,
    }


def explain_route(node, kind, service_name, selector):
    """Return the shards and replicas that a request would be sent to.

    :param kind: ``search`` or ``check``.
    :param service_name: name of the service; ``None`` to find it by ``selector``.
    :raises QueryError: if no service or shard matches, as for the request itself.
    """
    components = node.components
    configuration = components.configuration()
    if service_name is None:
        service = find_by_labels(configuration, selector, kind)
    else:
        service = find_service(configuration, service_name, kind)
    snapshot = components.snapshots.choose(service)
    plan = plan_request(configuration, service, snapshot, selector)
    shards = []
    for shard in plan.shards:
        replicas = []
        for server in plan.replicas.get(shard, []):
            replicas.append(_explain_replica(components, configuration, service, server))
        shards.append({"shard": shard, "replicas": replicas})
    return {
        "service": service.name,
        "revision": node.configuration_holder.number,
        "snapshot": snapshot.version,
        "selector": describe(selector),
        "shards": shards,
    }


def _explain_replica(components, configuration, service, server):
    reasons = []
    if server.id in configuration.draining:
        reasons.append("draining by configuration")
    if components.leaving.is_leaving(server.id):
        reasons.append("leaving")
    if server.id in components.ejection.ejected:
        reasons.append("ejected")
    if not components.shares.has_room(server, service.connections):
        reasons.append("this node's share of connections is used up")
    return {
        "server": server.id,
        "address": server.address,
        "data_centre": server.data_centre,
        "expected_ms": round(components.replicas.cost(configuration, service, server), 2),
        "busy": components.shares.busy(server),
        "share": components.shares.share(server, service.connections),
        "passed_over": reasons,
    }
