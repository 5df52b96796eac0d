"""Formatting of configurations, events and a node's status as text."""

import time

MAX_LISTED_NAMES = 6


def format_time(at_ms):
    """Return a wall time in milliseconds as text, in UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at_ms / 1000)) + f".{at_ms % 1000:03d}"


def format_names(names):
    """Return a comma-separated list of names, shortened if it is long."""
    if not names:
        return "none"
    if len(names) <= MAX_LISTED_NAMES:
        return ", ".join(names)
    return f"{', '.join(names[:MAX_LISTED_NAMES])} and {len(names) - MAX_LISTED_NAMES} more"


def format_effects(effects):
    """Return the servers that each service gains and loses by a change."""
    lines = []
    for effect in effects:
        line = f"{effect.service}: {len(effect.before)} -> {len(effect.after)} servers"
        if effect.gained:
            line += f"; gains {format_names(effect.gained)}"
        if effect.lost:
            line += f"; loses {format_names(effect.lost)}"
        lines.append(line)
    return "\n".join(lines)


def format_differences(differences):
    """Return differences, one per line."""
    if not differences:
        return "no difference"
    return "\n".join(f"  {difference}" for difference in differences)


def format_revision(stored):
    """Return one revision on one line."""
    return (
        f"revision {stored.number}  {format_time(stored.at_ms)}  {stored.author}  "
        f"{stored.note}  (change {stored.change_id})"
    )


def format_status(status):
    """Return the status of a node and its view of the fleet."""
    lines = [
        f"{status['id']} in {status['data_centre']}, since {format_time(status['started_ms'])}",
        f"  revision {status['revision']} from {status['revision_from']}"
        + (", watches the store" if status["watches_store"] else ""),
        f"  {status['busy']} of {status['limit']} requests in progress, {status['shed']} shed",
        f"  leaving: {format_names(status['leaving'])}",
        f"  draining by configuration: {format_names(status['draining'])}",
        f"  ejected: {_format_durations(status['ejected'])}",
        f"  quarantined requests: {_format_durations(status['quarantined'])}",
        f"  {'node':<20} {'data centre':<14} {'state':<8} {'revision':>8}  ready",
    ]
    for member in status["members"]:
        lines.append(
            f"  {member['id']:<20} {member['data_centre']:<14} {member['state']:<8} "
            f"{member['revision']:>8}  {'yes' if member['ready'] else 'no'}"
        )
    return "\n".join(lines)


def _format_durations(entries):
    return format_names(
        [f"{name} ({ms / 1000:.0f} s more)" for name, ms in sorted(entries.items())]
    )


def format_route(route):
    """Return the shards and replicas that a request would be sent to."""
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


def format_event(event):
    """Return one event on one line."""
    details = " ".join(f"{name}={value}" for name, value in event["details"].items())
    return f"{format_time(event['at_ms'])}  {event['process']:<12} {event['kind']:<24} {details}"
