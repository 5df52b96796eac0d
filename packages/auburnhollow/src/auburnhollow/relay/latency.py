"""Quantiles over the most recent samples."""

from bisect import bisect_left, insort
from collections import deque

MAX_SAMPLES = 256
# With fewer samples, quantiles are the default.
MIN_SAMPLES = 24


class LatencyWindow:
    """Computes quantiles of the most recent samples.

    :param default: value of every quantile while there are too few samples.

    >>> window = LatencyWindow(default=30.0)
    >>> window.observe(12.5)
    >>> window.quantile(0.95)
    30.0
    """

    __slots__ = ("_default", "_newest", "_sorted")

    def __init__(self, default):
        self._default = default
        self._newest = deque()
        self._sorted = []

    def observe(self, sample):
        """Add a sample; a full window drops its oldest one."""
        if len(self._newest) == MAX_SAMPLES:
            oldest = self._newest.popleft()
            del self._sorted[bisect_left(self._sorted, oldest)]
        self._newest.append(sample)
        insort(self._sorted, sample)

    def quantile(self, fraction):
        """Return the quantile at ``fraction``, 0 to 1."""
        count = len(self._sorted)
        if count < MIN_SAMPLES:
            return self._default
        return self._sorted[min(count - 1, int(count * fraction))]
