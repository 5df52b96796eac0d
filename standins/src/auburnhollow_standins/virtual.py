"""Virtual time: an event loop whose clock advances to the next timer instead of waiting."""

import asyncio
import selectors

from auburnhollow.clock import MS_PER_SECOND, Clock

FIRST_WALL_MS = 1_800_000_000_000
# Passes of the loop at one moment before its clock ticks, as a real one does meanwhile.
MAX_PASSES = 10_000
TICK_S = 1e-6


class _Selector(selectors.SelectSelector):
    """A selector that advances the loop's clock by the timeout instead of waiting."""

    loop = None
    passes = 0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("deadlock: every task is waiting and no timer is set")
        before_s = self.loop.now_s
        self.loop.now_s += max(0.0, timeout)
        # A timer may be due in less time than a float of this size can tell.
        self.passes = self.passes + 1 if self.loop.now_s == before_s else 0
        if self.passes >= MAX_PASSES:
            self.passes = 0
            self.loop.now_s += TICK_S
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which makes the order of execution deterministic."""

    def __init__(self):
        self.now_s = 0.0
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        """Return the virtual time in seconds."""
        return self.now_s


class VirtualClock(Clock):
    """A clock that runs on the time of a :class:`VirtualLoop`.

    :param skew_ms: error of the wall clock, in milliseconds.
    """

    __slots__ = ("_skew_ms",)

    def __init__(self, skew_ms=0.0):
        super().__init__()
        self._skew_ms = skew_ms

    def wall_ms(self):
        """Return milliseconds since the Unix epoch in virtual time."""
        now_ms = asyncio.get_running_loop().time() * MS_PER_SECOND
        return int(FIRST_WALL_MS + self._skew_ms + now_ms)


def run_virtually(coroutine):
    """Run ``coroutine`` in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
