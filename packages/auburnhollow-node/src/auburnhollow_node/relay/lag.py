"""Measures the lag of a node's event loop."""

import asyncio

MEASURE_INTERVAL_MS = 250.0
# Ten seconds of samples: metrics are collected every few seconds and must still show a stall.
MAX_SAMPLES = 40


class LoopLag:
    """Measures how much later than scheduled the event loop wakes a task.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_samples_ms")

    def __init__(self, clock):
        self._clock = clock
        self._samples_ms = []

    @property
    def worst_ms(self):
        """The largest lag of the last ten seconds, in milliseconds."""
        return max(self._samples_ms, default=0.0)

    async def run(self):
        """Measure until cancelled."""
        while True:
            due_ms = self._clock.now_ms() + MEASURE_INTERVAL_MS
            await asyncio.sleep(MEASURE_INTERVAL_MS / 1000)
            self._samples_ms.append(max(0.0, self._clock.now_ms() - due_ms))
            del self._samples_ms[:-MAX_SAMPLES]
