"""Metrics by statsd."""

from contextlib import contextmanager

import statsd

PREFIX = "auburnhollow"


class Metrics:
    """Counts, gauges and timings; sent to a statsd server where one is set.

    The counts are also kept here, so that ``status`` can show them.

    :param address: ``host:port`` of the statsd server, or ``None``.

    >>> metrics = Metrics()
    >>> metrics.incr("scatter.hedges")
    """

    __slots__ = ("_client", "_counts")

    def __init__(self, address=None):
        self._client = None
        self._counts = {}
        if address is not None:
            host, _, port = address.rpartition(":")
            self._client = statsd.StatsClient(host, int(port), prefix=PREFIX)

    @property
    def counts(self):
        """All counts since the start, by name."""
        return dict(self._counts)

    def incr(self, name, count=1):
        """Add to a count."""
        self._counts[name] = self._counts.get(name, 0) + count
        if self._client is not None:
            self._client.incr(name, count)

    def gauge(self, name, value):
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name, duration_ms):
        """Send a duration in milliseconds."""
        if self._client is not None:
            self._client.timing(name, duration_ms)


@contextmanager
def timed(metrics, clock, name):
    """Send how long the block took."""
    started_ms = clock.now_ms()
    try:
        yield
    finally:
        metrics.timing(name, clock.now_ms() - started_ms)
