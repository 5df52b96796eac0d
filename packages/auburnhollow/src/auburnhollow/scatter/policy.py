"""One service's budgets and hedge delay at this node."""

from ..retry import Budget, HedgeDelay

OVERLOAD_PAUSE_MS = 1_000.0
LEAST_HEDGE_MS = 1.0
HEDGE_BURST = 60.0


class ServicePolicy:
    """Bounds the extra load that this node puts on one service.

    Hedges stop for ``OVERLOAD_PAUSE_MS`` after a server of the service said that it is
    overloaded.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param policy: :class:`~auburnhollow.configuration.model.Policy`.
    """

    __slots__ = ("_clock", "_delay", "_hedges", "_overload_ms", "_policy", "_retries")

    def __init__(self, clock, policy):
        self._clock = clock
        self._policy = policy
        self._hedges = Budget(policy.hedge_fraction, burst=HEDGE_BURST)
        self._retries = Budget(policy.retry_fraction)
        self._delay = HedgeDelay(clock, policy.hedge_quantile)
        self._overload_ms = None

    @property
    def hedges(self):
        """How many hedges were sent."""
        return self._hedges.spent

    @property
    def retries(self):
        """How many retries were charged to the budget."""
        return self._retries.spent

    def follows(self, policy):
        """Return whether this one was made for an equal :class:`Policy`."""
        if policy is self._policy:
            return True
        if policy != self._policy:
            return False
        self._policy = policy
        return True

    def earn(self):
        """Count one first attempt."""
        self._hedges.earn()
        self._retries.earn()

    def observe(self, latency_ms, typical_ms):
        """Count the latency of one answered call, beside the usual one of its server."""
        self._delay.observe(latency_ms, typical_ms)

    def overloaded(self):
        """Note that a server of the service is overloaded."""
        self._overload_ms = self._clock.now_ms()

    @property
    def hedge_beyond_ms(self):
        """What a call may take beyond its server's usual latency before a second one is sent."""
        return self._delay.excess_ms

    def hedge_delay_ms(self, typical_ms):
        """Return how long to wait before a second call, or ``None`` for never.

        :param typical_ms: usual latency of the server that was called.
        """
        if self._policy.hedge_fraction == 0 or self._is_overloaded():
            return None
        return max(LEAST_HEDGE_MS, self._delay.current_ms(typical_ms))

    def may_hedge(self):
        """Spend one hedge, if one is left."""
        return not self._is_overloaded() and self._hedges.try_spend()

    def may_retry(self):
        """Spend one retry, if one is left."""
        return not self._is_overloaded() and self._retries.try_spend()

    def may_retry_elsewhere(self):
        """Spend one retry on another replica after one has shed, if one is left."""
        return self._retries.try_spend()

    def _is_overloaded(self):
        if self._overload_ms is None:
            return False
        return self._clock.now_ms() - self._overload_ms < OVERLOAD_PAUSE_MS
