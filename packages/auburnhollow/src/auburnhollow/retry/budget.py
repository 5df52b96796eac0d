"""A token-bucket budget for extra attempts."""


class Budget:
    """Limits extra attempts to a fraction of first attempts, as a token bucket.

    Each first attempt earns ``fraction`` of a token, each extra attempt spends one; at most
    ``burst`` tokens are kept.

    :param fraction: extra attempts per first attempt, 0 to 1.
    :param burst: how many extra attempts may be made at once.
    :raises ValueError: if ``fraction`` is out of range.

    >>> budget = Budget(fraction=0.05)
    >>> budget.earn()
    >>> budget.try_spend()
    True
    """

    __slots__ = ("_burst", "_fraction", "_refused", "_spent", "_tokens")

    def __init__(self, fraction, burst=10.0):
        if not 0 <= fraction <= 1:
            raise ValueError(f"fraction {fraction} is not in 0..1")
        self._fraction = fraction
        self._burst = burst
        self._tokens = burst
        self._spent = 0
        self._refused = 0

    @property
    def spent(self):
        """How many extra attempts were allowed."""
        return self._spent

    @property
    def refused(self):
        """How many extra attempts were refused."""
        return self._refused

    def earn(self, attempts=1):
        """Count first attempts."""
        self._tokens = min(self._burst, self._tokens + attempts * self._fraction)

    def try_spend(self):
        """Return whether one extra attempt is allowed; if so, spend a token."""
        if self._tokens < 1.0:
            self._refused += 1
            return False
        self._tokens -= 1.0
        self._spent += 1
        return True
