"""When a second attempt is worth its load."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 2
US_PER_MS = 1_000.0
WINDOW_MS = 10_000
ENOUGH_SAMPLES = 50
FIRST_FACTOR = 3.0
REFRESH_MS = 100.0


class HedgeDelay:
    """How long a call may take before a second one is sent.

    That is the usual latency of its server and a quantile of what recent calls took beyond the
    usual latency of theirs: what varies is the work, not the distance, so one figure goes for near
    and far servers. The present and the last window count. The quantile is worked out afresh at
    most every ``REFRESH_MS``.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param quantile: 0 to 1.

    >>> delay = HedgeDelay(clock, quantile=0.98)
    >>> delay.observe(latency_ms=3.2, typical_ms=2.0)
    >>> delay.current_ms(typical_ms=2.0)
    6.0
    """

    __slots__ = ("_beyond_ms", "_clock", "_current", "_last", "_percentile", "_read_ms", "_turn_ms")

    def __init__(self, clock, quantile):
        self._clock = clock
        self._percentile = quantile * 100.0
        self._current = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._last = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
        self._turn_ms = None
        self._read_ms = None
        self._beyond_ms = None

    @property
    def excess_ms(self):
        """What a call may take beyond its server's usual latency; ``None`` before it is known."""
        now_ms = self._clock.now_ms()
        if self._read_ms is not None and now_ms - self._read_ms < REFRESH_MS:
            return self._beyond_ms
        self._read_ms = now_ms
        source = self._current
        if source.get_total_count() < ENOUGH_SAMPLES:
            source = self._last
        if source.get_total_count() >= ENOUGH_SAMPLES:
            self._beyond_ms = source.get_value_at_percentile(self._percentile) / US_PER_MS
        return self._beyond_ms

    def observe(self, latency_ms, typical_ms):
        """Count one latency beside the usual one of its server."""
        self._turn()
        beyond_us = int((latency_ms - typical_ms) * US_PER_MS)
        self._current.record_value(min(HIGHEST_US, max(LOWEST_US, beyond_us)))

    def current_ms(self, typical_ms):
        """Return the delay after which to hedge a call to a server."""
        excess_ms = self.excess_ms
        if excess_ms is None:
            return FIRST_FACTOR * typical_ms
        return typical_ms + excess_ms

    def _turn(self):
        now_ms = self._clock.now_ms()
        if self._turn_ms is None:
            self._turn_ms = now_ms
        if now_ms - self._turn_ms < WINDOW_MS:
            return
        self._current, self._last = self._last, self._current
        self._current.reset()
        self._turn_ms = now_ms
