"""The state of each backend server, as learned from the calls of this node."""

import math

from ..placement.slowness import MachineSlowness

# One call may meet a pause or a long request; a server counts as slow only after two.
SLOWDOWN_SMOOTHING = 0.25
MAX_SAMPLE_GROWTH = 3.0
MIN_SAMPLE = 0.3
MAX_SLOWDOWN = 12.0
# Slowness typically lasts seconds, so a slow server is tried again after several seconds.
DECAY_MS = 5_000.0
LOAD_FRESH_MS = 250.0
# Servers close idle connections after some seconds. A connection that is unlikely to be reused by
# then is closed at once, because it takes a slot from other nodes while it is open.
KEEP_ALIVE_MS = 4_000.0
WARM_UP_SLOWDOWN = 1.6
FAILURES_TO_EJECT = 2
# Averages over about ten calls; over fewer, chance failures would count as a fault.
FAILING_SHARE_SMOOTHING = 0.15
FIRST_EJECTION_MS = 700.0
MAX_EJECTION_MS = 6_000.0


class ServerView:
    """Load, slowdown, failures and ejection of one backend server, as seen by this node's calls.

    ``calls`` maps each call in progress to its start time, oldest first.
    """

    __slots__ = (
        "_began_ms",
        "_ejected_until_ms",
        "_ejections",
        "_failing_share",
        "_failing_share_ms",
        "_failures",
        "_is_down",
        "_late_since_ms",
        "_load",
        "_load_ms",
        "_machine",
        "_slowdown",
        "_slowdown_ms",
        "_warm_up_until_ms",
        "calls",
    )

    def __init__(self, server, now_ms):
        self._began_ms = None
        self._warm_up_until_ms = now_ms + server.warm_up_ms
        self._ejected_until_ms = 0.0
        self._ejections = 0
        self._failures = 0
        self._is_down = False
        self._late_since_ms = None
        self._load = 0
        self._load_ms = -math.inf
        self._slowdown_ms = now_ms
        self._slowdown = 1.0
        self._failing_share = 0.0
        self._failing_share_ms = now_ms
        self._machine = MachineSlowness()
        self.calls = {}

    @property
    def is_down(self):
        """Whether it did not accept a connection at the last attempt."""
        return self._is_down

    def slowdown(self, now_ms):
        """Return the ratio of its work time to the typical one, decaying towards 1."""
        decay = math.exp((self._slowdown_ms - now_ms) / DECAY_MS)
        slowdown = 1.0 + (self._slowdown - 1.0) * decay
        if self._machine.is_reported:
            slowdown *= self._machine.factor(now_ms)
        if now_ms < self._warm_up_until_ms:
            return slowdown * WARM_UP_SLOWDOWN
        return slowdown

    def failing_share(self, now_ms):
        """Return the share of its calls that fail or are refused, 0 to 1, decaying towards 0."""
        return self._failing_share * math.exp((self._failing_share_ms - now_ms) / DECAY_MS)

    def load(self, now_ms):
        """Return its requests in progress: the reported load, but at least this node's calls."""
        if now_ms - self._load_ms < LOAD_FRESH_MS:
            return max(self._load, len(self.calls))
        return len(self.calls)

    def reported_load(self, now_ms, max_age_ms):
        """Return the load that it last reported, ``None`` if that is older than ``max_age_ms``."""
        return self._load if now_ms - self._load_ms <= max_age_ms else None

    def forget_trouble(self, now_ms):
        """Forget slowness and failures of before, since the server has recovered."""
        self._failures = 0
        self._failing_share = 0.0
        self._failing_share_ms = now_ms
        self._slowdown = 1.0
        self._slowdown_ms = now_ms
        self._late_since_ms = None

    def lateness_ms(self, now_ms):
        """Return the age in milliseconds of the late call in progress, 0 without one.

        A stall is expected to last as long again as it has lasted so far.
        """
        if self._late_since_ms is None:
            return 0.0
        return now_ms - self._late_since_ms

    def mark_down(self):
        """Record that it does not accept connections."""
        self._is_down = True

    def mark_up(self):
        """Record that it accepts connections again."""
        self._is_down = False
        self._ejected_until_ms = 0.0

    def is_ejected(self, now_ms):
        """Return whether it is down, or passed over because its calls failed in a row."""
        return self._is_down or now_ms < self._ejected_until_ms

    def began(self, call, now_ms):
        """Record the start of a call; return whether to keep its connection open afterwards."""
        before_ms, self._began_ms = self._began_ms, now_ms
        self.calls[call] = now_ms
        return before_ms is not None and now_ms - before_ms < KEEP_ALIVE_MS

    def mark_late(self, began_ms):
        """Record that a call in progress is late.

        :param began_ms: when the call began.
        """
        if self._late_since_ms is None:
            self._late_since_ms = began_ms

    def answered(self, call, ratio, load, now_ms, slowness=None):
        """Record an answer.

        :param ratio: its work time divided by the typical one.
        :param load: how many requests the server reports to have, or ``None``.
        :param slowness: the slowness of its machine that the server reports, or ``None``.
        """
        began_ms = self.calls.pop(call, now_ms)
        self._failures = 0
        self._ejections = 0
        self._is_down = False
        self._update_failing_share(0.0, now_ms)
        if load is not None:
            self._load = load
            self._load_ms = now_ms
        if slowness is not None:
            self._machine.hear(slowness, now_ms)
            # What the machine's spell explains is over sooner than what the calls teach.
            ratio /= self._machine.factor(now_ms)
        if began_ms < self._slowdown_ms and ratio > 1.0 and self._late_since_ms is None:
            # Calls delayed by the same pause count once.
            return
        self._late_since_ms = None
        self._update_slowdown(ratio, now_ms)

    def cancelled(self, call, ratio, now_ms):
        """Record a call that was cancelled after ``ratio`` times the typical time."""
        self.calls.pop(call, None)
        if not self.calls:
            self._late_since_ms = None
        if ratio > 1.0:
            self._update_slowdown(ratio, now_ms)

    def shed(self, call, slots, now_ms):
        """Record that the server refused a call because it is overloaded."""
        self.calls.pop(call, None)
        self._update_failing_share(1.0, now_ms)
        self._load = max(self._load, 2 * slots)
        self._load_ms = now_ms

    def failed(self, call, now_ms, eject_at_once=False):
        """Record a failed call; return for how many milliseconds the server is ejected, or 0.

        :param eject_at_once: whether one failure is enough, as when nothing listens there.
        """
        self.calls.pop(call, None)
        self._update_failing_share(1.0, now_ms)
        if not self.calls:
            self._late_since_ms = None
        self._failures += 1
        should_eject = eject_at_once or self._failures >= FAILURES_TO_EJECT
        if not should_eject or now_ms < self._ejected_until_ms:
            return 0.0
        duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2**self._ejections)
        self._ejections += 1
        self._ejected_until_ms = now_ms + duration_ms
        return duration_ms

    def _update_failing_share(self, outcome, now_ms):
        known = self.failing_share(now_ms)
        self._failing_share = known + FAILING_SHARE_SMOOTHING * (outcome - known)
        self._failing_share_ms = now_ms

    def _update_slowdown(self, ratio, now_ms):
        slowdown = 1.0 + (self._slowdown - 1.0) * math.exp((self._slowdown_ms - now_ms) / DECAY_MS)
        sample = min(MAX_SAMPLE_GROWTH * max(1.0, slowdown), max(MIN_SAMPLE, ratio))
        self._slowdown = min(MAX_SLOWDOWN, slowdown + SLOWDOWN_SMOOTHING * (sample - slowdown))
        self._slowdown_ms = now_ms
