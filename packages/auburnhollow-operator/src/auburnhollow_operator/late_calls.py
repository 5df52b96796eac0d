"""Tells from log files what late and failed calls waited for, second by second."""

import re
from bisect import bisect_left, bisect_right

from .formatting import format_time

CALLS = "relay: calls of a request"
CALL = re.compile(
    r"(?P<service>\S+) (?P<server>\S+) at (?P<sent>\d+): (?P<outcome>.*?)(?: at (?P<ended>\d+))?"
)
MS_PER_SECOND = 1_000
# A call that takes this many times the route's usual work is late.
LATE_FACTOR = 3.0
# Another node may know of a server's trouble once so many calls have ended so long before.
KNOWN_CALLS = 2
KNOWN_AFTER_MS = 200
KNOWN_FOR_MS = 3_000
MANY_SERVERS = 3


class LateCall:
    """A call that failed or was late; ``sent_ms`` and ``ended_ms`` are Unix milliseconds."""

    __slots__ = ("ended_ms", "sent_ms", "server", "service")

    def __init__(self, service, server, sent_ms, ended_ms):
        self.service = service
        self.server = server
        self.sent_ms = sent_ms
        self.ended_ms = ended_ms


class LateSecond:
    """The late calls that were sent in one second.

    ``known`` are those to servers of which several late calls had ended shortly before, at any
    node.
    """

    __slots__ = ("_servers", "calls", "known", "start_ms")

    def __init__(self, start_ms):
        self.start_ms = start_ms
        self.calls = 0
        self.known = 0
        self._servers = {}

    def add(self, call, is_known):
        """Count a call."""
        self.calls += 1
        self.known += is_known
        self._servers.setdefault(call.service, set()).add(call.server)

    def to_map(self):
        """Return the counts as a dictionary for JSON.

        ``services`` tells how many services had one, two, or more servers with late calls.
        """
        counts = [0] * MANY_SERVERS
        for servers in self._servers.values():
            counts[min(MANY_SERVERS, len(servers)) - 1] += 1
        return {
            "start_ms": self.start_ms,
            "late_calls": self.calls,
            "known": self.known,
            "services": counts,
        }


def late_seconds(lines):
    """Return a dictionary for each second in which late or failed calls were sent.

    The time of a request is that of its line, which is logged with the last of its calls.

    :param lines: dictionaries as returned by ``request_trace.read_lines``.
    """
    calls = []
    for line in lines:
        if line["text"] != CALLS or not isinstance(line["at_ms"], int):
            continue
        calls.extend(_late_calls(line))
    calls.sort(key=lambda call: call.sent_ms)
    ends_ms = {}
    for call in sorted(calls, key=lambda call: call.ended_ms):
        ends_ms.setdefault(call.server, []).append(call.ended_ms)
    seconds = {}
    for call in calls:
        start_ms = call.sent_ms // MS_PER_SECOND * MS_PER_SECOND
        second = seconds.setdefault(start_ms, LateSecond(start_ms))
        second.add(call, _is_known(call, ends_ms[call.server]))
    return [second.to_map() for second in seconds.values()]


def format_late_seconds(seconds):
    """Return the dictionaries of :func:`late_seconds` as text, one line for each second."""
    rows = []
    for second in seconds:
        one, two, more = second["services"]
        rows.append(
            f"{format_time(second['start_ms'])}: {second['late_calls']} calls late or failed,"
            f" {second['known']} to servers with such calls just before;"
            f" services with one such server {one}, two {two}, more {more}"
        )
    return "\n".join(rows)


def _late_calls(line):
    """Return the calls of a request that failed or were late."""
    found = []
    matches = []
    for text in line.get("calls") or ():
        match = CALL.fullmatch(text) if isinstance(text, str) else None
        if match is not None:
            matches.append(match)
    times_ms = [int(match["ended"] or match["sent"]) for match in matches]
    work_ms = line.get("work_ms")
    if not matches or not isinstance(work_ms, int | float):
        return found
    last_ms = max(times_ms)
    received_ms = line["at_ms"] - last_ms
    for match in matches:
        sent_ms = int(match["sent"])
        ended_ms = int(match["ended"] or last_ms)
        is_served = match["outcome"].startswith("status 2")
        if is_served and ended_ms - sent_ms <= LATE_FACTOR * work_ms:
            continue
        found.append(
            LateCall(
                match["service"], match["server"], received_ms + sent_ms, received_ms + ended_ms
            )
        )
    return found


def _is_known(call, ends_ms):
    """Return whether late calls of the same server had ended before this one was sent.

    :param ends_ms: sorted times at which late calls of the server ended.
    """
    first = bisect_left(ends_ms, call.sent_ms - KNOWN_FOR_MS)
    last = bisect_right(ends_ms, call.sent_ms - KNOWN_AFTER_MS)
    return last - first >= KNOWN_CALLS
