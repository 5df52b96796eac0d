"""What the command line prints for people."""

import time

SHORTEST_LIST = 6


def at_text(at_ms):
    """Return a wall time in milliseconds as text, in UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at_ms / 1000)) + f".{at_ms % 1000:03d}"


def names_text(names):
    """Return names as a list that is cut when it is long."""
    if not names:
        return "none"
    if len(names) <= SHORTEST_LIST:
        return ", ".join(names)
    return f"{', '.join(names[:SHORTEST_LIST])} and {len(names) - SHORTEST_LIST} more"


def effects_text(effects):
    """Return what a change does to each service's servers."""
    lines = []
    for effect in effects:
        line = f"{effect.service}: {len(effect.before)} -> {len(effect.after)} servers"
        if effect.gained:
            line += f"; gains {names_text(effect.gained)}"
        if effect.lost:
            line += f"; loses {names_text(effect.lost)}"
        lines.append(line)
    return "\n".join(lines)


def differences_text(differences):
    """Return differences, one a line."""
    if not differences:
        return "no difference"
    return "\n".join(f"  {difference}" for difference in differences)


def stored_text(stored):
    """Return one revision on one line."""
    return (
        f"revision {stored.number}  {at_text(stored.at_ms)}  {stored.author}  "
        f"{stored.note}  (change {stored.change_id})"
    )


def status_text(status):
    """Return the fleet as one node sees it."""
    lines = [
        f"{status['id']} in {status['data_centre']}, since {at_text(status['started_ms'])}",
        f"  revision {status['revision']} from {status['revision_from']}"
        + (", watches the store" if status["watches_store"] else ""),
        f"  {status['busy']} of {status['limit']} requests in progress, {status['shed']} shed",
        f"  leaving: {names_text(status['leaving'])}",
        f"  draining by configuration: {names_text(status['draining'])}",
        f"  ejected: {_timed_text(status['ejected'])}",
        f"  quarantined requests: {_timed_text(status['quarantined'])}",
        f"  {'node':<20} {'data centre':<14} {'state':<8} {'revision':>8}  ready",
    ]
    for member in status["members"]:
        lines.append(
            f"  {member['id']:<20} {member['data_centre']:<14} {member['state']:<8} "
            f"{member['revision']:>8}  {'yes' if member['ready'] else 'no'}"
        )
    return "\n".join(lines)


def _timed_text(entries):
    return names_text([f"{name} ({ms / 1000:.0f} s more)" for name, ms in sorted(entries.items())])


def route_text(route):
    """Return where a request would go and why."""
    lines = [
        f"{route['service']} at revision {route['revision']}, snapshot {route['snapshot']}, "
        f"shards with {route['selector']}:"
    ]
    for shard in route["shards"]:
        lines.append(f"  shard {shard['shard']}")
        for replica in sorted(shard["replicas"], key=lambda replica: replica["expected_ms"]):
            note = "; ".join(replica["passed_over"])
            lines.append(
                f"    {replica['server']:<28} {replica['data_centre']:<12} "
                f"{replica['expected_ms']:>8.2f} ms  {replica['busy']}/{replica['share']} busy"
                + (f"  passed over: {note}" if note else "")
            )
    return "\n".join(lines)


def event_text(event):
    """Return one event on one line."""
    details = " ".join(f"{name}={value}" for name, value in event["details"].items())
    return f"{at_text(event['at_ms'])}  {event['process']:<12} {event['kind']:<24} {details}"
