"""Typical durations of a route's calls."""

from .latency import LatencyWindow

# Objectives are set at several times the typical work time.
DEFAULT_WORK_SHARE = 0.2
# Spread: the ratio of a call's work time to the time expected of its server.
DEFAULT_SPREAD = 1.5
# The third quartile moves little while up to a quarter of the calls meet slow or paused servers;
# multiplied by the factor, it estimates the 95th percentile of calls to healthy servers.
LATE_QUANTILE = 0.75
LATE_FACTOR = 1.45
MIN_SPREAD = 1.0
MAX_SPREAD = 2.5
# A hedge that is sent later cannot be answered by the objective.
MAX_HEDGE_DELAY_SHARE = 0.4
# Bounds how far a known slow server lengthens the delay before a hedge.
MAX_SLOWDOWN = 1.5
MIN_WORK_MS = 1.0


class RouteTimes:
    """Tracks how long the calls of one route take, without the network round trip.

    :param objective_ms: the route's objective; default times derive from it until calls are seen.
    """

    __slots__ = ("_objective_ms", "_spread", "_work")

    def __init__(self, objective_ms):
        self._objective_ms = objective_ms
        self._work = LatencyWindow(objective_ms * DEFAULT_WORK_SHARE)
        self._spread = LatencyWindow(DEFAULT_SPREAD)

    @property
    def work_ms(self):
        """Median work time in milliseconds."""
        return max(MIN_WORK_MS, self._work.quantile(0.5))

    def observe(self, work_ms, slowdown):
        """Record the work time of an answered call.

        :param slowdown: the server's slowdown factor when the call was sent.
        :returns: the ratio of the work time to the median.
        """
        ratio = max(0.0, work_ms) / self.work_ms
        self._work.observe(max(0.0, work_ms))
        self._spread.observe(ratio / slowdown)
        return ratio

    def late_after_ms(self, round_trip_ms, slowdown):
        """Return the time in milliseconds after which a call to a server counts as late.

        :param slowdown: the server's slowdown factor.
        """
        spread = min(MAX_SPREAD, max(MIN_SPREAD, self._spread.quantile(LATE_QUANTILE)))
        usual_ms = round_trip_ms + self.work_ms
        late_ms = round_trip_ms + self.work_ms * min(MAX_SLOWDOWN, slowdown) * spread * LATE_FACTOR
        return min(late_ms, max(usual_ms, self._objective_ms * MAX_HEDGE_DELAY_SHARE))
