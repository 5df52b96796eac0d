"""Computes the delay after which a hedge is sent."""

from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 120_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1_000.0
WINDOW_MS = 10_000
MIN_SAMPLES = 50
DEFAULT_FACTOR = 3.0
REFRESH_MS = 100.0


class HedgeDelay:
    """Computes how long a call may take before a hedge is sent.

    The delay is the typical latency of the server plus a quantile of the excess latency of recent
    calls, that is, of their latency beyond their server's typical one. The work varies, not the
    network latency, so one quantile serves for near and far servers. It is taken from the current
    window, or from the previous one while the current one has too few samples, and is updated at
    most every ``REFRESH_MS``.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param quantile: 0 to 1.

    >>> delay = HedgeDelay(clock, quantile=0.98)
    >>> delay.observe(latency_ms=3.2, typical_ms=2.0)
    >>> delay.current_ms(typical_ms=2.0)
    6.0
    """

    __slots__ = (
        "_clock",
        "_current",
        "_excess_ms",
        "_percentile",
        "_previous",
        "_read_ms",
        "_rotated_ms",
    )

    def __init__(self, clock, quantile):
        self._clock = clock
        self._percentile = quantile * 100.0
        self._current = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
        self._previous = HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)
        self._rotated_ms = None
        self._read_ms = None
        self._excess_ms = None

    @property
    def excess_ms(self):
        """Quantile of the excess latency in milliseconds; ``None`` with too few samples."""
        now_ms = self._clock.now_ms()
        if self._read_ms is not None and now_ms - self._read_ms < REFRESH_MS:
            return self._excess_ms
        self._read_ms = now_ms
        histogram = self._current
        if histogram.get_total_count() < MIN_SAMPLES:
            histogram = self._previous
        if histogram.get_total_count() >= MIN_SAMPLES:
            self._excess_ms = histogram.get_value_at_percentile(self._percentile) / US_PER_MS
        return self._excess_ms

    def observe(self, latency_ms, typical_ms):
        """Record the latency of a call and the typical latency of its server."""
        self._rotate()
        excess_us = int((latency_ms - typical_ms) * US_PER_MS)
        self._current.record_value(min(MAX_US, max(MIN_US, excess_us)))

    def current_ms(self, typical_ms):
        """Return the delay in milliseconds after which to hedge a call to a server."""
        excess_ms = self.excess_ms
        if excess_ms is None:
            return DEFAULT_FACTOR * typical_ms
        return typical_ms + excess_ms

    def _rotate(self):
        now_ms = self._clock.now_ms()
        if self._rotated_ms is None:
            self._rotated_ms = now_ms
        if now_ms - self._rotated_ms < WINDOW_MS:
            return
        self._current, self._previous = self._previous, self._current
        self._current.reset()
        self._rotated_ms = now_ms
