"""Tells from log files when each node put each version of the configuration in force."""

from .formatting import format_names, format_time

IN_FORCE = "follow: configuration in force"
STORE = "store"


class Spread:
    """The lines of all nodes that put one version in force.

    ``changes`` are those of nodes that had a version before, ``starts`` those of nodes that had
    none: a node that starts later is not late.
    """

    __slots__ = ("changes", "starts", "version")

    def __init__(self, version):
        self.version = version
        self.changes = []
        self.starts = []

    @property
    def nodes(self):
        """The ids of the nodes that put the version in force."""
        return {line["node"] for line in (*self.changes, *self.starts)}

    def add(self, line):
        """Add a line."""
        lines = self.starts if line.get("before") is None else self.changes
        lines.append(line)

    def to_map(self, seen):
        """Return the spread as a dictionary for JSON.

        :param seen: ids of all nodes that have lines in the files.
        """
        lines = sorted(self.changes or self.starts, key=lambda line: line["at_ms"])
        slowest = lines[-1]
        nodes = self.nodes
        return {
            "version": self.version,
            "nodes": len(nodes),
            "nodes_seen": len(seen),
            "starts": len(self.starts),
            "first_ms": lines[0]["at_ms"],
            "last_ms": slowest["at_ms"],
            "slowest": slowest["node"],
            "through": slowest.get("through") or STORE,
            "heard_ms": slowest.get("heard_ms"),
            "unconfirmed_ms": slowest.get("unconfirmed_ms"),
            "without": sorted(seen - nodes),
        }


def spread_of(lines):
    """Return a dictionary for each version that nodes put in force, the lowest version first.

    :param lines: dictionaries as returned by ``request_trace.read_lines``.
    """
    spreads = {}
    seen = set()
    for line in lines:
        node = line.get("node")
        if not isinstance(node, str):
            continue
        seen.add(node)
        version = line.get("version")
        if line["text"] != IN_FORCE or not isinstance(version, int):
            continue
        if not isinstance(line["at_ms"], int):
            continue
        spreads.setdefault(version, Spread(version)).add(line)
    return [spread.to_map(seen) for _, spread in sorted(spreads.items())]


def format_spread(spreads):
    """Return the dictionaries of :func:`spread_of` as text, one line for each version."""
    return "\n".join(_format_version(spread) for spread in spreads)


def _format_version(spread):
    parts = [
        f"version {spread['version']}: {spread['nodes']} of {spread['nodes_seen']} nodes",
        f"first {format_time(spread['first_ms'])}",
        f"last {format_time(spread['last_ms'])} (+{spread['last_ms'] - spread['first_ms']} ms)",
        f"slowest {spread['slowest']} through {spread['through']}",
    ]
    if spread["heard_ms"] is not None:
        parts.append(f"which had heard of it {spread['heard_ms']} ms before")
    if spread["starts"]:
        parts.append(f"{spread['starts']} at a start")
    if spread["without"]:
        parts.append(f"not at {format_names(spread['without'])}")
    return ", ".join(parts)
