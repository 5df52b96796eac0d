"""Counts, gauges and durations, kept in memory and sent by statsd."""

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


# Enough for 350 routes with several outcomes each; a collector reads all series every few seconds.
MAX_SERIES = 2_000
OTHER = "other"


class Histogram:
    """Counts durations in the buckets of :data:`BUCKETS_MS` and one for longer durations."""

    __slots__ = ("counts", "sum_ms")

    def __init__(self):
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def observe(self, duration_ms):
        """Count one duration."""
        self.counts[bisect_left(BUCKETS_MS, duration_ms)] += 1
        self.sum_ms += duration_ms


class Metrics:
    """Counts, gauges and durations, sent to a statsd server if one is configured.

    Counts and durations are also kept in memory, for ``status`` and the metrics endpoint.

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
        """For each name, counts by tuples of ``(label, value)`` pairs."""
        return {name: dict(counts) for name, counts in self._labelled_counts.items()}

    @property
    def labelled_histograms(self):
        """For each name, :class:`Histogram` by tuples of ``(label, value)`` pairs."""
        return {name: dict(histograms) for name, histograms in self._labelled_histograms.items()}

    @property
    def histograms(self):
        """:class:`Histogram` of all durations since the start, by name."""
        return dict(self._histograms)

    def incr(self, name, count=1):
        """Add to a count."""
        self._counts[name] = self._counts.get(name, 0) + count
        if self._client is not None:
            self._client.incr(name, count)

    def incr_labelled(self, name, **labels):
        """Add one to the count of ``name`` with these labels; it is not sent to statsd.

        After :data:`MAX_SERIES` combinations of labels, new ones are counted as ``other``.
        """
        counts = self._labelled_counts.setdefault(name, {})
        key = _bounded_key(counts, labels)
        counts[key] = counts.get(key, 0) + 1

    def timing_labelled(self, name, duration_ms, **labels):
        """Record a duration of ``name`` with these labels, as :meth:`incr_labelled` does."""
        histograms = self._labelled_histograms.setdefault(name, {})
        histograms.setdefault(_bounded_key(histograms, labels), Histogram()).observe(duration_ms)

    def gauge(self, name, value):
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name, duration_ms):
        """Record and send a duration in milliseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = Histogram()
        histogram.observe(duration_ms)
        if self._client is not None:
            self._client.timing(name, duration_ms)


def _bounded_key(series, labels):
    key = tuple(labels.items())
    if key in series or len(series) < MAX_SERIES:
        return key
    return tuple((label, OTHER) for label in labels)


@contextmanager
def timed(metrics, clock, name):
    """Record the duration of the block."""
    started_ms = clock.now_ms()
    try:
        yield
    finally:
        metrics.timing(name, clock.now_ms() - started_ms)
