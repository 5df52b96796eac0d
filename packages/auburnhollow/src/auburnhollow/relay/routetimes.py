"""The usual times of a route's calls."""

from .latency import LatencyWindow

# Objectives are set at several times the usual work.
FIRST_WORK_SHARE = 0.2
FIRST_SPREAD = 1.5
# Up to a quarter of the calls may meet slow or paused servers without moving this quantile far; the
# factor leads from there to what nineteen of twenty calls of sound servers keep to.
LATE_QUANTILE = 0.75
LATE_FACTOR = 1.45
LEAST_SPREAD = 1.0
MOST_SPREAD = 2.5
# A hedge that starts later can't be back by the objective.
LATEST_SHARE = 0.4
# The delay before a hedge must not grow with a server that is known to be slow.
MOST_SPEED = 1.5
LEAST_MS = 1.0


class RouteTimes:
    """What the calls of one route usually take, distance left out.

    :param objective_ms: of the route; the first guess until calls are seen.
    """

    __slots__ = ("_objective_ms", "_spread", "_work")

    def __init__(self, objective_ms):
        self._objective_ms = objective_ms
        self._work = LatencyWindow(objective_ms * FIRST_WORK_SHARE)
        self._spread = LatencyWindow(FIRST_SPREAD)

    @property
    def work_ms(self):
        """Median time of the work in milliseconds."""
        return max(LEAST_MS, self._work.quantile(0.5))

    def observe(self, work_ms, slowdown):
        """Take the time of an answered call.

        :returns: its ratio to the usual time.
        """
        ratio = max(0.0, work_ms) / self.work_ms
        self._work.observe(max(0.0, work_ms))
        self._spread.observe(ratio / slowdown)
        return ratio

    def late_after_ms(self, distance_ms, slowdown):
        """Return the time that nearly all calls to a server keep to.

        :param slowdown: how many times as long as usual the server takes.
        """
        spread = min(MOST_SPREAD, max(LEAST_SPREAD, self._spread.quantile(LATE_QUANTILE)))
        usual_ms = distance_ms + self.work_ms
        late_ms = distance_ms + self.work_ms * min(MOST_SPEED, slowdown) * spread * LATE_FACTOR
        return min(late_ms, max(usual_ms, self._objective_ms * LATEST_SHARE))
