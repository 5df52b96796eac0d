"""Retry and hedge budgets and the hedge delay of one service on this node."""

from ..retry import Budget, HedgeDelay

OVERLOAD_PAUSE_MS = 1_000.0
MIN_HEDGE_DELAY_MS = 1.0
HEDGE_BURST = 60.0


class ServiceBudgets:
    """Limits the extra load that this node puts on one service.

    No hedges are sent for ``OVERLOAD_PAUSE_MS`` after a server of the service reported overload.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param policy: :class:`~auburnhollow.configuration.model.Policy`.
    """

    __slots__ = ("_clock", "_hedge_delay", "_hedges", "_last_overload_ms", "_policy", "_retries")

    def __init__(self, clock, policy):
        self._clock = clock
        self._policy = policy
        self._hedges = Budget(policy.hedge_fraction, burst=HEDGE_BURST)
        self._retries = Budget(policy.retry_fraction)
        self._hedge_delay = HedgeDelay(clock, policy.hedge_quantile)
        self._last_overload_ms = None

    @property
    def hedges(self):
        """Number of hedges sent."""
        return self._hedges.spent

    @property
    def retries(self):
        """How many retries were charged to the budget."""
        return self._retries.spent

    def matches(self, policy):
        """Return whether this object was made for an equal :class:`Policy`."""
        if policy is self._policy:
            return True
        if policy != self._policy:
            return False
        self._policy = policy
        return True

    def earn(self):
        """Add the share of one first attempt to both budgets."""
        self._hedges.earn()
        self._retries.earn()

    def observe(self, latency_ms, typical_ms):
        """Record the latency of an answered call and the typical latency of its server."""
        self._hedge_delay.observe(latency_ms, typical_ms)

    def mark_overloaded(self):
        """Record that a server of the service reported overload."""
        self._last_overload_ms = self._clock.now_ms()

    @property
    def hedge_beyond_ms(self):
        """Time over the server's typical latency after which a hedge is sent, in milliseconds."""
        return self._hedge_delay.excess_ms

    def hedge_delay_ms(self, typical_ms):
        """Return how long to wait before a hedge, in milliseconds, or ``None`` for never.

        :param typical_ms: typical latency of the server that was called.
        """
        if self._policy.hedge_fraction == 0 or self._is_overloaded():
            return None
        return max(MIN_HEDGE_DELAY_MS, self._hedge_delay.current_ms(typical_ms))

    def may_hedge(self):
        """Take one hedge from the budget; return whether there was one."""
        return not self._is_overloaded() and self._hedges.try_spend()

    def may_retry(self):
        """Take one retry from the budget; return whether there was one."""
        return not self._is_overloaded() and self._retries.try_spend()

    def may_retry_elsewhere(self):
        """Take one retry from the budget after another replica has shed the call.

        Unlike :meth:`may_retry` it is allowed while the service is overloaded.
        """
        return self._retries.try_spend()

    def _is_overloaded(self):
        if self._last_overload_ms is None:
            return False
        return self._clock.now_ms() - self._last_overload_ms < OVERLOAD_PAUSE_MS
