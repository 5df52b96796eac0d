"""Status and route explanations of a relay node, for operators."""

from auburnhollow.exceptions import NoRoute, NotReady


def status_of(node):
    """Return the node's state as a dictionary for JSON."""
    routes = node.routes
    return {
        "id": node.settings.id,
        "data_centre": node.settings.data_centre,
        "ready": node.is_ready,
        "stopping": node.is_stopping,
        "in_progress": node.in_progress,
        "cut_off": node.dispatcher.reach.is_cut_off,
        "version": None if routes is None else routes.version,
        "routes": 0 if routes is None else len(routes.routes),
        "store": {
            "reachable": node.follower.is_reachable,
            "age_ms": _rounded(node.follower.age_ms),
            "asks_directly": node.follower.is_direct,
        },
        "members": _member_statuses(node),
        "servers": _server_statuses(node),
        "budgets_left": node.dispatcher.budgets_left(),
        "quarantined": node.quarantine.refused,
        "evacuations": _evacuation_statuses(node),
        "quotas": node.entrance.quota.status,
    }


def explain(node, host, path):
    """Return where a request for ``host`` and ``path`` would be sent now, and why.

    :raises QueryError: if there is no configuration or no route, as for the request itself.
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
        "homes": list(route.homes),
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
    """Return the servers of a service, those that may get requests first, cheapest first."""
    dispatcher = node.dispatcher
    choice = dispatcher.choice
    work_ms = dispatcher.times(route).work_ms
    candidates = []
    homes = route.homes or None
    for server in dispatcher.registry.servers:
        if server.service != service:
            continue
        status = _server_status(node, server, homes)
        candidates.append({**status, "cost_ms": round(choice.cost_ms(server, work_ms))})
    candidates.sort(key=lambda candidate: (bool(candidate["withheld"]), candidate["cost_ms"]))
    return candidates


def _aggregators(node, route):
    """Return for each data centre the id of the node that its shards are asked through.

    ``None`` stands for asking the servers directly.
    """
    if not route.shards:
        return {}
    data_centres = set()
    for shard in route.shards:
        servers = node.gate.servers(shard, route.homes or None)
        data_centres |= {server.data_centre for server in servers}
    aggregators = {}
    for data_centre in sorted(data_centres):
        member = node.dispatcher.aggregators.choose_aggregator(data_centre)
        aggregators[data_centre] = None if member is None else member.id
    return aggregators


def _member_statuses(node):
    statuses = []
    for name, member in sorted(node.fleet.membership.members.items()):
        statuses.append(
            {
                "id": name,
                "address": member.address,
                "data_centre": member.data_centre,
                "state": member.state,
            }
        )
    return statuses


def _evacuation_statuses(node):
    evacuations = node.gate.evacuations
    statuses = {}
    for data_centre in sorted(evacuations.active):
        fact = evacuations.find(data_centre)
        statuses[data_centre] = {
            "revision": fact.revision,
            "source": fact.source,
            "age_ms": round(evacuations.age_ms(data_centre)),
        }
    return statuses


def _server_statuses(node):
    statuses = {}
    for server in node.registry.servers:
        statuses.setdefault(server.service, []).append(_server_status(node, server))
    return statuses


def _server_status(node, server, homes=None):
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
        "named_rate_per_s": node.rates.rate_per_s(server.incarnation),
        "turn_in_ms": round(node.rates.wait_ms(server.incarnation)),
        "passed_over": view.is_ejected(now_ms),
        "cold_turn_in_ms": round(node.gate.cold.wait_ms(server.incarnation)),
        "withheld": node.gate.reason(server, homes),
        "pace": round(node.dispatcher.choice.pace.share(server.incarnation), 3),
        "pace_reason": node.dispatcher.choice.pace.reason(server.incarnation),
    }


def _rounded(duration_ms):
    return None if duration_ms is None else round(duration_ms)
