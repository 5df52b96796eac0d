"""How slow a backend server's machine is at this moment, as the server reports it.

It answers the load of machines that are shared with others and become slow for spells of about
half a second, too short to be learned from the few calls that one node makes.
"""

import math

# Spells last about half a second, so a report says little about the machine a second later.
DECAY_MS = 500.0
# A report beyond these is a fault of the server's, and must neither attract nor ban all work.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 6.0


class MachineSlowness:
    """The reported slowness of one server's machine, which decays towards 1, as usual.

    >>> slowness = MachineSlowness()
    >>> slowness.hear(2.5, now_ms=0.0)
    >>> slowness.factor(now_ms=0.0)
    2.5
    """

    __slots__ = ("_factor", "_heard_ms")

    def __init__(self):
        self._factor = 1.0
        self._heard_ms = None

    @property
    def is_reported(self):
        """Whether the server has ever reported it."""
        return self._heard_ms is not None

    def hear(self, factor, now_ms):
        """Record that work takes ``factor`` times as long as usual, by an answer of the server."""
        self._factor = min(MAX_SLOWNESS, max(MIN_SLOWNESS, factor))
        self._heard_ms = now_ms

    def factor(self, now_ms):
        """Return how many times as long as usual work is expected to take, 1 without a report."""
        if self._heard_ms is None:
            return 1.0
        decay = math.exp((self._heard_ms - now_ms) / DECAY_MS)
        return 1.0 + (self._factor - 1.0) * decay
