"""Metrics by statsd."""

from bisect import bisect_left
from contextlib import contextmanager

import statsd

PREFIX = "auburnhollow"
# Upper bounds in milliseconds, from an answer within one data centre to the longest deadline.
BUCKETS_MS = (
    1,
    2,
    5,
    10,
    20,
    35,
    50,
    75,
    100,
    150,
    200,
    300,
    500,
    750,
    1_000,
    2_000,
    5_000,
    10_000,
)


# 350 routes with some outcomes each; a collector reads them all every few seconds.
MAX_SERIES = 2_000
OTHER = "other"


class Histogram:
    """Counts durations by :data:`BUCKETS_MS`; the last of ``counts`` is for longer ones."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def observe(self, duration_ms):
        """Count one duration."""
        self.counts[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Metrics:
    """Counts, gauges and timings; sent to a statsd server where one is set.

    Counts and durations are also kept here, for ``status`` and the metrics address.

    :param address: ``host:port`` of the statsd server, or ``None``.

    >>> metrics = Metrics()
    >>> metrics.incr("scatter.hedges")
    """

    __slots__ = ("_client", "_counts", "_histograms", "_labelled_counts", "_labelled_histograms")

    def __init__(self, address=None):
        self._client = None
        self._counts = {}
        self._histograms = {}
        self._labelled_counts = {}
        self._labelled_histograms = {}
        if address is not None:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)

    @property
    def counts(self):
        """All counts since the start, by name."""
        return dict(self._counts)

    @property
    def labelled_counts(self):
        """Counts by name, and for each by a tuple of ``(label, value)``."""
        return {name: dict(counts) for name, counts in self._labelled_counts.items()}

    @property
    def labelled_histograms(self):
        """:class:`Histogram` by name, and for each by a tuple of ``(label, value)``."""
        return {name: dict(found) for name, found in self._labelled_histograms.items()}

    @property
    def histograms(self):
        """All :class:`Histogram` since the start, by name."""
        return dict(self._histograms)

    def incr(self, name, count=1):
        """Add to a count."""
        self._counts[name] = self._counts.get(name, 0) + count
        if self._client is not None:
            self._client.incr(name, count)

    def incr_labelled(self, name, **labels):
        """Add one to the count of ``name`` with these labels; kept here only.

        Labels beyond :data:`MAX_SERIES` combinations are counted together as ``other``.
        """
        counts = self._labelled_counts.setdefault(name, {})
        key = _key_in(counts, labels)
        counts[key] = counts.get(key, 0) + 1

    def timing_labelled(self, name, duration_ms, **labels):
        """Count a duration of ``name`` with these labels, as :meth:`incr_labelled` does."""
        found = self._labelled_histograms.setdefault(name, {})
        found.setdefault(_key_in(found, labels), Histogram()).observe(duration_ms)

    def gauge(self, name, value):
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name, duration_ms):
        """Count a duration in milliseconds, and send it."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.observe(duration_ms)
        if self._client is not None:
            self._client.timing(name, duration_ms)


def _key_in(labelled_counts, labels):
    key = tuple(labels.items())
    if key in labelled_counts or len(labelled_counts) < MAX_SERIES:
        return key
    return tuple((label, OTHER) for label in labels)


@contextmanager
def timed(metrics, clock, name):
    """Send how long the block took."""
    started_ms = clock.now_ms()
    try:
        yield
    finally:
        metrics.timing(name, clock.now_ms() - started_ms)
