"""When callers that were refused for lack of room come back."""

from collections import deque

from ..clock import MS_PER_SECOND
from ..retry import jittered_ms

MIN_RETRY_MS = 100.0
MAX_RETRY_MS = 5_000.0
# Starts are counted over this time.
RATE_MS = 1_000.0
MAX_STARTS = 512
# Callers that were told a time and come this much earlier still count as punctual.
EARLY_MS = 20.0
MAX_PROMISES = 2_048


class Returns:
    """Tells refused callers when to come back, each after those that were told before.

    It answers the surge of callers that were all told the same time: the time is that in which the
    queue drains, and that in which those told before can start.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    """

    __slots__ = ("_clock", "_promises", "_random", "_starts")

    def __init__(self, clock, random):
        self._clock = clock
        self._random = random
        self._starts = deque(maxlen=MAX_STARTS)
        self._promises = {}

    @property
    def starts_per_s(self):
        """How many requests have started in the last second."""
        since_ms = self._clock.now_ms() - RATE_MS
        while self._starts and self._starts[0] < since_ms:
            self._starts.popleft()
        return len(self._starts) * MS_PER_SECOND / RATE_MS

    def count_start(self):
        """Count a request that starts."""
        self._starts.append(self._clock.now_ms())

    def retry_ms(self, request_id, drain_ms):
        """Return when the caller should come back, in milliseconds from now.

        :param drain_ms: in which time the servers' queues drain enough.
        """
        now_ms = self._clock.now_ms()
        self._drop_past(now_ms)
        before_ms = len(self._promises) * MS_PER_SECOND / max(1.0, self.starts_per_s)
        retry_ms = min(MAX_RETRY_MS, max(MIN_RETRY_MS, drain_ms + before_ms))
        retry_ms = jittered_ms(self._random, retry_ms)
        if len(self._promises) < MAX_PROMISES:
            self._promises[request_id] = now_ms + retry_ms
        return retry_ms

    def is_returning(self, request_id):
        """Return whether a request was refused, and has come back no earlier than it was told."""
        due_ms = self._promises.pop(request_id, None)
        return due_ms is not None and self._clock.now_ms() >= due_ms - EARLY_MS

    def _drop_past(self, now_ms):
        """Drop the times that have passed long enough for the caller to have come back."""
        for request_id in list(self._promises):
            if self._promises[request_id] > now_ms - RATE_MS:
                break
            del self._promises[request_id]
