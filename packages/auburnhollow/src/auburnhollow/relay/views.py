"""What this node's own calls have shown of each backend server."""

import math

# One call may meet a pause or a long piece of work; it takes two to call a server slow.
SPEED_STEP = 0.25
SLOWEST_SAMPLE = 3.0
FASTEST = 0.3
SLOWEST = 12.0
# A slow server is tried again after several seconds: slowness lasts seconds.
FORGET_MS = 5_000.0
LOAD_FRESH_MS = 250.0
# Servers close idle connections after some seconds. One that is not used within this time is of no
# use to this node, and takes a place from other nodes while it is open.
REGULAR_MS = 4_000.0
COLD_FACTOR = 1.6
FAILURES_TO_EJECT = 2
# Some ten calls tell the share of failures; less would take chance for a fault.
TROUBLE_STEP = 0.15
FIRST_EJECTION_MS = 700.0
LONGEST_EJECTION_MS = 6_000.0


class ServerView:
    """One backend server as this node's calls have met it.

    ``calls`` maps each call in progress to the time at which it began, oldest first.
    """

    __slots__ = (
        "_began_ms",
        "_cold_until_ms",
        "_ejected_until_ms",
        "_ejections",
        "_failures",
        "_is_down",
        "_late_since_ms",
        "_load",
        "_load_ms",
        "_seen_ms",
        "_speed",
        "_trouble",
        "_troubled_ms",
        "calls",
    )

    def __init__(self, server, now_ms):
        self._began_ms = None
        self._cold_until_ms = now_ms + server.warm_up_ms
        self._ejected_until_ms = 0.0
        self._ejections = 0
        self._failures = 0
        self._is_down = False
        self._late_since_ms = None
        self._load = 0
        self._load_ms = -LOAD_FRESH_MS
        self._seen_ms = now_ms
        self._speed = 1.0
        self._trouble = 0.0
        self._troubled_ms = now_ms
        self.calls = {}

    @property
    def is_down(self):
        """Whether it took no connection when it was last tried."""
        return self._is_down

    def slowdown(self, now_ms):
        """Return how many times as long as usual its work takes, faded towards 1."""
        faded = math.exp((self._seen_ms - now_ms) / FORGET_MS)
        slowdown = 1.0 + (self._speed - 1.0) * faded
        if now_ms < self._cold_until_ms:
            return slowdown * COLD_FACTOR
        return slowdown

    def failing_share(self, now_ms):
        """Return the share of its calls that fail or are refused, 0 to 1, faded towards 0."""
        return self._trouble * math.exp((self._troubled_ms - now_ms) / FORGET_MS)

    def busy(self, now_ms):
        """Return how many requests it has, by its own word or by our calls."""
        if now_ms - self._load_ms < LOAD_FRESH_MS:
            return max(self._load, len(self.calls))
        return len(self.calls)

    def lateness_ms(self, now_ms):
        """Return how long a late call has lasted that has not ended yet.

        As long again is what can be expected of what holds it up.
        """
        if self._late_since_ms is None:
            return 0.0
        return now_ms - self._late_since_ms

    def take_down(self):
        """Note that it takes no connections."""
        self._is_down = True

    def bring_up(self):
        """Note that it takes connections again."""
        self._is_down = False
        self._ejected_until_ms = 0.0

    def is_ejected(self, now_ms):
        """Return whether it takes no connections, or its calls have failed in a row."""
        return self._is_down or now_ms < self._ejected_until_ms

    def began(self, call, now_ms):
        """Note a call that begins; returns whether this node calls the server all the time."""
        before_ms, self._began_ms = self._began_ms, now_ms
        self.calls[call] = now_ms
        return before_ms is not None and now_ms - before_ms < REGULAR_MS

    def late(self, began_ms):
        """Note that a call in progress takes longer than nearly all do.

        :param began_ms: when it began.
        """
        if self._late_since_ms is None:
            self._late_since_ms = began_ms

    def answered(self, call, ratio, load, now_ms):
        """Note an answer.

        :param ratio: its time by the time that is usual, distance left out.
        :param load: how many requests the server says that it has, or ``None``.
        """
        began_ms = self.calls.pop(call, now_ms)
        self._failures = 0
        self._ejections = 0
        self._is_down = False
        self._note_trouble(0.0, now_ms)
        if load is not None:
            self._load = load
            self._load_ms = now_ms
        if began_ms < self._seen_ms and ratio > 1.0 and self._late_since_ms is None:
            # Calls that waited out the same pause are one sign, not several.
            return
        self._late_since_ms = None
        self._learn(ratio, now_ms)

    def gave_up(self, call, ratio, now_ms):
        """Note a call that was ended without an answer after ``ratio`` times the usual time."""
        self.calls.pop(call, None)
        if not self.calls:
            self._late_since_ms = None
        if ratio > 1.0:
            self._learn(ratio, now_ms)

    def shed(self, call, slots, now_ms):
        """Note that the server had no room for a call."""
        self.calls.pop(call, None)
        self._note_trouble(1.0, now_ms)
        self._load = max(self._load, 2 * slots)
        self._load_ms = now_ms

    def failed(self, call, now_ms, is_certain=False):
        """Note a call that failed; returns for how long the server is passed over, or 0.

        :param is_certain: whether one such failure is enough, as when nothing listens there.
        """
        self.calls.pop(call, None)
        self._note_trouble(1.0, now_ms)
        if not self.calls:
            self._late_since_ms = None
        self._failures += 1
        is_over = is_certain or self._failures >= FAILURES_TO_EJECT
        if not is_over or now_ms < self._ejected_until_ms:
            return 0.0
        duration_ms = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2**self._ejections)
        self._ejections += 1
        self._ejected_until_ms = now_ms + duration_ms
        return duration_ms

    def _note_trouble(self, outcome, now_ms):
        known = self.failing_share(now_ms)
        self._trouble = known + TROUBLE_STEP * (outcome - known)
        self._troubled_ms = now_ms

    def _learn(self, ratio, now_ms):
        slowdown = 1.0 + (self._speed - 1.0) * math.exp((self._seen_ms - now_ms) / FORGET_MS)
        sample = min(SLOWEST_SAMPLE * max(1.0, slowdown), max(FASTEST, ratio))
        self._speed = min(SLOWEST, slowdown + SPEED_STEP * (sample - slowdown))
        self._seen_ms = now_ms
