"""A bound on extra work as a fraction of ordinary work."""


class Budget:
    """Allows extra attempts up to a fraction of first attempts.

    Each first attempt earns ``fraction`` of a token, each extra attempt spends one; at most
    ``burst`` tokens are kept.

    :param fraction: extra attempts per first attempt, 0 to 1.
    :param burst: how many extra attempts may come at once.
    :raises ValueError: when a value is out of its range.

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
        """How many extra attempts were not allowed."""
        return self._refused

    def earn(self, attempts=1):
        """Count first attempts."""
        self._tokens = min(self._burst, self._tokens + attempts * self._fraction)

    def try_spend(self):
        """Return whether one extra attempt may be made, and count it."""
        if self._tokens < 1.0:
            self._refused += 1
            return False
        self._tokens -= 1.0
        self._spent += 1
        return True
