"""When a second attempt is worth its load."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 2
US_PER_MS = 1000.0
WINDOW_MS = 10_000
ENOUGH_SAMPLES = 50
FIRST_DELAY_MS = 50.0
REFRESH_MS = 100.0


class HedgeDelay:
    """A quantile of recent latencies, in milliseconds.

    Latencies of the present and the last window count. The quantile is worked out afresh at most
    every ``REFRESH_MS``.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param quantile: 0 to 1.

    >>> delay = HedgeDelay(clock, quantile=0.95)
    >>> delay.observe(3.2)
    >>> delay.current_ms()
    50.0
    """

    __slots__ = ("_clock", "_current", "_delay_ms", "_last", "_percentile", "_read_ms", "_turn_ms")

    def __init__(self, clock, quantile):
        self._clock = clock
        self._percentile = quantile * 100.0
        self._current = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._last = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._turn_ms = None
        self._read_ms = None
        self._delay_ms = FIRST_DELAY_MS

    def observe(self, latency_ms):
        """Count one latency."""
        self._turn()
        self._current.record_value(max(LOWEST_US, int(latency_ms * US_PER_MS)))

    def current_ms(self):
        """Return the delay after which to hedge."""
        now_ms = self._clock.now_ms()
        if self._read_ms is not None and now_ms - self._read_ms < REFRESH_MS:
            return self._delay_ms
        self._read_ms = now_ms
        source = self._current
        if source.get_total_count() < ENOUGH_SAMPLES:
            source = self._last
        if source.get_total_count() < ENOUGH_SAMPLES:
            return self._delay_ms
        self._delay_ms = source.get_value_at_percentile(self._percentile) / US_PER_MS
        return self._delay_ms

    def _turn(self):
        now_ms = self._clock.now_ms()
        if self._turn_ms is None:
            self._turn_ms = now_ms
        if now_ms - self._turn_ms < WINDOW_MS:
            return
        self._current, self._last = self._last, self._current
        self._current.reset()
        self._turn_ms = now_ms
