"""How long calls of a route take."""

from bisect import bisect_left, insort
from collections import deque

SAMPLES = 256
# Until that many calls were seen, the figures given at the start hold.
ENOUGH = 24


class LatencyWindow:
    """Quantiles of the newest samples.

    :param first: what every quantile is taken to be before there are samples.

    >>> window = LatencyWindow(first=30.0)
    >>> window.observe(12.5)
    >>> window.quantile(0.95)
    30.0
    """

    __slots__ = ("_first", "_newest", "_sorted")

    def __init__(self, first):
        self._first = first
        self._newest = deque()
        self._sorted = []

    def observe(self, sample):
        """Add a sample; the oldest makes room for it."""
        if len(self._newest) == SAMPLES:
            oldest = self._newest.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._newest.append(sample)
        insort(self._sorted, sample)

    def quantile(self, share):
        """Return the sample below which ``share`` of all lie."""
        count = len(self._sorted)
        if count < ENOUGH:
            return self._first
        return self._sorted[min(count - 1, int(count * share))]
