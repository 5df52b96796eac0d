"""A bound on repeats as a share of the requests of the last seconds."""

from collections import deque

# Keeps the sum over all nodes under the bound when requests are counted a moment apart.
MARGIN = 0.95
STEPS = 20


class WindowBudget:
    """Allows repeats up to a share of the requests that this node has sent in a sliding window.

    Each node keeps to the share of its own requests, so that the sum over all nodes keeps to the
    share of all requests without a word between them. A node that has just started has sent
    nothing and may repeat nothing.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param ratio: repeats per request, 0 to 1.
    :param window_ms: length of the window, in milliseconds.

    >>> budget = WindowBudget(clock, ratio=0.2, window_ms=10_000)
    >>> budget.count_request()
    >>> budget.try_spend()
    False
    """

    __slots__ = (
        "_clock",
        "_ratio",
        "_refused",
        "_repeats",
        "_requests",
        "_steps",
        "_spent",
        "_step_ms",
    )

    def __init__(self, clock, ratio, window_ms):
        self._clock = clock
        self._ratio = ratio * MARGIN
        self._step_ms = window_ms / STEPS
        self._steps = deque()
        self._requests = 0
        self._repeats = 0
        self._spent = 0
        self._refused = 0

    @property
    def spent(self):
        """How many repeats were allowed since the start."""
        return self._spent

    @property
    def refused(self):
        """How many repeats were not allowed since the start."""
        return self._refused

    @property
    def left(self):
        """How many repeats may be made now."""
        self._turn()
        return max(0, int(self._requests * self._ratio - self._repeats))

    def count_request(self):
        """Count a request that is sent for the first time."""
        self._turn()[1] += 1
        self._requests += 1

    def try_spend(self):
        """Return whether one repeat may be sent, and count it."""
        step = self._turn()
        if self._repeats + 1 > self._requests * self._ratio:
            self._refused += 1
            return False
        step[2] += 1
        self._repeats += 1
        self._spent += 1
        return True

    def _turn(self):
        """Drop what has left the window and return the present step."""
        number = int(self._clock.now_ms() / self._step_ms)
        steps = self._steps
        if steps and steps[-1][0] == number:
            return steps[-1]
        while steps and steps[0][0] < number - STEPS:
            _, requests, repeats = steps.popleft()
            self._requests -= requests
            self._repeats -= repeats
        step = [number, 0, 0]
        steps.append(step)
        return step
