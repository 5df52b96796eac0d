"""What a relay node tells operators of its state and of a request's way."""

from auburnhollow.exceptions import NoRoute, NotReady


def status_of(node):
    """Return a JSON object with what the node knows and holds."""
    routes = node.routes
    return {
        "id": node.settings.id,
        "data_centre": node.settings.data_centre,
        "ready": node.is_ready,
        "stopping": node.is_stopping,
        "in_progress": node.in_progress,
        "version": None if routes is None else routes.version,
        "routes": 0 if routes is None else len(routes.routes),
        "store": {
            "reachable": node.follower.is_reachable,
            "age_ms": _rounded(node.follower.age_ms),
            "asks_directly": node.follower.is_direct,
        },
        "members": _members(node),
        "servers": _servers(node),
        "budgets_left": node.dispatcher.budgets_left(),
        "quarantined": node.quarantine.refused,
    }


def explain(node, host, path):
    """Return where a request for ``host`` and ``path`` would go now, and why.

    :raises QueryError: as the request itself would.
    """
    routes = node.routes
    if routes is None:
        raise NotReady("no configuration is known yet")
    route = routes.find(host.lower(), path)
    if route is None:
        raise NoRoute(f"no route for {host} {path} in version {routes.version}")
    services = route.shards or [branch.service for branch in route.branches]
    return {
        "version": routes.version,
        "route": route.name,
        "prefix": route.prefix,
        "repeatable": route.repeatable,
        "attempts": route.attempts,
        "objective_ms": route.objective_ms,
        "time_limit_ms": route.time_limit_ms,
        "weights": {branch.service: branch.weight for branch in route.branches},
        "least_share": route.least_share if route.shards else None,
        "usual_work_ms": _rounded(node.dispatcher.times(route).work_ms),
        "services": {name: _candidates(node, route, name) for name in services},
        "asked_through": _aggregators(node, route),
    }


def _candidates(node, route, service):
    """Return the servers of a service, the one that would be asked first."""
    dispatcher = node.dispatcher
    choice = dispatcher.choice
    work_ms = dispatcher.times(route).work_ms
    found = []
    for server in dispatcher.registry.usable(service):
        found.append({**_server(node, server), "cost_ms": round(choice.cost_ms(server, work_ms))})
    found.sort(key=lambda candidate: candidate["cost_ms"])
    return found


def _aggregators(node, route):
    """Return by data centre the node that its shards are asked through; ``None`` for none."""
    if not route.shards:
        return {}
    centres = set()
    for shard in route.shards:
        centres |= {server.data_centre for server in node.registry.usable(shard)}
    found = {}
    for centre in sorted(centres):
        member = node.dispatcher.aggregators.choose_aggregator(centre)
        found[centre] = None if member is None else member.id
    return found


def _members(node):
    found = []
    for name, member in sorted(node.fleet.membership.members.items()):
        found.append(
            {
                "id": name,
                "address": member.address,
                "data_centre": member.data_centre,
                "state": member.state,
            }
        )
    return found


def _servers(node):
    found = {}
    for server in node.registry.servers:
        found.setdefault(server.service, []).append(_server(node, server))
    return found


def _server(node, server):
    now_ms = node.clock.now_ms()
    view = node.dispatcher.choice.view(server)
    return {
        "id": server.id,
        "address": server.address,
        "data_centre": server.data_centre,
        "state": server.state,
        "calls": len(view.calls),
        "speed": round(view.slowdown(now_ms), 2),
        "failing_share": round(view.failing_share(now_ms), 2),
        "late_ms": round(view.lateness_ms(now_ms)),
        "passed_over": view.is_ejected(now_ms),
    }


def _rounded(duration_ms):
    return None if duration_ms is None else round(duration_ms)
