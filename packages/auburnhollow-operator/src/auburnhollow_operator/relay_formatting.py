"""Formatting of a relay node's status and route explanations as text."""

from .formatting import format_names


def format_status(status):
    """Return the status of one relay node."""
    store = status["store"]
    reachability = "reached" if store["reachable"] else "not reached"
    access = "directly" if store["asks_directly"] else "through another node"
    present = [member["id"] for member in status["members"] if member["state"] == "alive"]
    lines = [
        f"{status['id']} in {status['data_centre']}: {_readiness(status)}",
        f"  configuration {status['version']} with {status['routes']} routes",
        f"  store {reachability} {access}, confirmed {store['age_ms']} ms ago",
        f"  {status['in_progress']} requests in progress",
        f"  {len(present)} nodes alive: {format_names(present)}",
        f"  quarantined requests: {format_names(sorted(status['quarantined']))}",
    ]
    for service, servers in sorted(status["servers"].items()):
        left = status["budgets_left"].get(service, "-")
        lines.append(f"  {service}: {len(servers)} servers, {left} repeats left")
        for server in servers:
            lines.append(f"    {format_server(server)}")
    return "\n".join(lines)


def format_route(route):
    """Return the route of a request and the servers it would be sent to."""
    lines = [
        f"route {route['route']} of version {route['version']}, prefix {route['prefix']}",
        f"  objective {route['objective_ms']} ms, limit {route['time_limit_ms']} ms, "
        f"{route['attempts']} servers per service, "
        + ("may be repeated" if route["repeatable"] else "may not be repeated"),
    ]
    if route["least_share"] is not None:
        lines.append(
            f"  answered from {route['least_share']:.0%} of {len(route['services'])} shards"
        )
    for data_centre, node in route["asked_through"].items():
        lines.append(
            f"  shards in {data_centre}: {'asked directly' if node is None else f'through {node}'}"
        )
    for service, servers in route["services"].items():
        weight = route["weights"].get(service)
        lines.append(f"  {service}" + ("" if weight is None else f", weight {weight}"))
        for server in servers:
            lines.append(f"    {server['cost_ms']} ms  {format_server(server)}")
        if not servers:
            lines.append("    no usable server")
    return "\n".join(lines)


def format_server(server):
    """Return a node's view of one backend server."""
    text = f"{server['id']} {server['address']} in {server['data_centre']}, {server['state']}"
    if server["calls"]:
        text += f", {server['calls']} calls"
    if server["speed"] != 1.0:
        text += f", {server['speed']} times the usual time"
    if server["failing_share"]:
        text += f", {server['failing_share']:.0%} of calls fail"
    if server["late_ms"]:
        text += f", a late call in progress for {server['late_ms']} ms"
    if server["passed_over"]:
        text += ", passed over"
    # Nodes of earlier builds do not say it.
    if server.get("cold_turn_in_ms"):
        text += f", cold, next turn in {server['cold_turn_in_ms']} ms"
    if server.get("withheld"):
        text += f", gets nothing: {server['withheld']}"
    return text


def _readiness(status):
    if status["stopping"]:
        return "stopping"
    return "takes requests" if status["ready"] else "takes no requests yet"
