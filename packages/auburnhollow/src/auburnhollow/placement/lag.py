"""How much time to reserve for this node's own delay before an answer leaves it.

It answers the load of a busy node: its timers fire late, so an answer that was held for its last
parts until shortly before the objective would leave after it.
"""

# As for retransmission timers: the mean and its deviation follow some recent samples.
MEAN_SMOOTHING = 0.125
DEVIATION_SMOOTHING = 0.25
DEVIATIONS = 4.0
# A longer stall is rare; reserving for it would leave parts out of all answers.
MAX_SAMPLE_MS = 50.0
# Above this share of the objective, more is lost by the parts left out than by late answers.
MAX_OBJECTIVE_SHARE = 0.15


class LagReserve:
    """Follows how late this node's timers fire.

    >>> lag = LagReserve()
    >>> lag.reserve_ms(objective_ms=200.0)
    0.0
    """

    __slots__ = ("_deviation_ms", "_mean_ms")

    def __init__(self):
        self._mean_ms = 0.0
        self._deviation_ms = 0.0

    def observe(self, late_ms):
        """Record that a timer fired ``late_ms`` milliseconds late."""
        late_ms = min(MAX_SAMPLE_MS, max(0.0, late_ms))
        error_ms = late_ms - self._mean_ms
        self._mean_ms += MEAN_SMOOTHING * error_ms
        self._deviation_ms += DEVIATION_SMOOTHING * (abs(error_ms) - self._deviation_ms)

    def reserve_ms(self, objective_ms):
        """Return the time to reserve in an answer with this objective, in milliseconds."""
        reserve_ms = self._mean_ms + DEVIATIONS * self._deviation_ms
        return min(reserve_ms, objective_ms * MAX_OBJECTIVE_SHARE)
