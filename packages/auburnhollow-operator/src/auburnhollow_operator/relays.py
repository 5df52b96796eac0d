"""What relay nodes tell, as text for people."""

from .texts import names_text


def status_text(status):
    """Return the state of one relay node."""
    store = status["store"]
    reach = "reached" if store["reachable"] else "not reached"
    way = "directly" if store["asks_directly"] else "through another node"
    present = [member["id"] for member in status["members"] if member["state"] == "alive"]
    lines = [
        f"{status['id']} in {status['data_centre']}: {_readiness(status)}",
        f"  configuration {status['version']} with {status['routes']} routes",
        f"  store {reach} {way}, confirmed {store['age_ms']} ms ago",
        f"  {status['in_progress']} requests in progress",
        f"  {len(present)} nodes answer: {names_text(present)}",
        f"  quarantined requests: {names_text(sorted(status['quarantined']))}",
    ]
    for service, servers in sorted(status["servers"].items()):
        left = status["budgets_left"].get(service, "-")
        lines.append(f"  {service}: {len(servers)} servers, {left} repeats left")
        for server in servers:
            lines.append(f"    {server_text(server)}")
    return "\n".join(lines)


def route_text(found):
    """Return where a request would go."""
    lines = [
        f"route {found['route']} of version {found['version']}, prefix {found['prefix']}",
        f"  objective {found['objective_ms']} ms, limit {found['time_limit_ms']} ms, "
        f"{found['attempts']} servers a service, "
        + ("may be repeated" if found["repeatable"] else "may not be repeated"),
    ]
    if found["least_share"] is not None:
        lines.append(
            f"  answered from {found['least_share']:.0%} of {len(found['services'])} shards"
        )
    for centre, node in found["asked_through"].items():
        lines.append(
            f"  shards in {centre}: {'asked directly' if node is None else f'through {node}'}"
        )
    for service, servers in found["services"].items():
        weight = found["weights"].get(service)
        lines.append(f"  {service}" + ("" if weight is None else f", weight {weight}"))
        for server in servers:
            lines.append(f"    {server['cost_ms']} ms  {server_text(server)}")
        if not servers:
            lines.append("    no server may get work")
    return "\n".join(lines)


def server_text(server):
    """Return what a node knows of one backend server."""
    text = f"{server['id']} {server['address']} in {server['data_centre']}, {server['state']}"
    if server["calls"]:
        text += f", {server['calls']} calls"
    if server["speed"] != 1.0:
        text += f", {server['speed']} times the usual time"
    if server["failing_share"]:
        text += f", {server['failing_share']:.0%} of calls fail"
    if server["late_ms"]:
        text += f", a call is out for {server['late_ms']} ms"
    if server["passed_over"]:
        text += ", passed over"
    return text


def _readiness(status):
    if status["stopping"]:
        return "stopping"
    return "takes requests" if status["ready"] else "takes no requests yet"
