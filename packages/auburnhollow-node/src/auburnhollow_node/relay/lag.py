"""How late the event loop of a node runs what is due."""

import asyncio

MEASURE_EVERY_MS = 250.0
# Collectors ask every few seconds; a stall must still show then.
KEPT = 40


class LoopLag:
    """Measures how much later than due the event loop wakes a task.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_lags")

    def __init__(self, clock):
        self._clock = clock
        self._lags = []

    @property
    def worst_ms(self):
        """The longest delay of the last ten seconds, in milliseconds."""
        return max(self._lags, default=0.0)

    async def run(self):
        """Measure until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + MEASURE_EVERY_MS
            await asyncio.sleep(MEASURE_EVERY_MS / 1000)
            self._lags.append(max(0.0, self._clock.now_ms() - due_ms))
            del self._lags[:-KEPT]
