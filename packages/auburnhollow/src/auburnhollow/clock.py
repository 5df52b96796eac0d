"""Time in milliseconds."""

import asyncio
import time
from contextlib import asynccontextmanager

MS_PER_SECOND = 1000.0
# A busy loop fires timers a few milliseconds late; a longer delay means that the process stalled.
STALL_MS = 12.0
# Enough to read the data that arrived in the sockets during a stall.
CATCH_UP_MS = 4.0


class Clock:
    """The time of the running event loop, in milliseconds.

    ``now_ms`` never goes backwards and is meaningful in one process only; ``wall_ms``
    counts from the Unix epoch and is used where processes compare times.

    :param wall_offset_ms: added to the wall clock, in milliseconds.

    >>> clock = Clock()
    >>> deadline_ms = clock.now_ms() + 50
    """

    __slots__ = ("_wall_offset_ms",)

    def __init__(self, wall_offset_ms=0.0):
        self._wall_offset_ms = wall_offset_ms

    def now_ms(self):
        """Return the loop's monotonic time in milliseconds."""
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    def wall_ms(self):
        """Return milliseconds since the Unix epoch, as an integer."""
        return int(time.time() * MS_PER_SECOND + self._wall_offset_ms)

    async def sleep(self, duration_ms):
        """Wait for ``duration_ms`` milliseconds."""
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_SECOND)

    def timeout(self, duration_ms):
        """Return a context manager that raises :class:`TimeoutError` after ``duration_ms``."""
        return asyncio.timeout(max(0.0, duration_ms) / MS_PER_SECOND)

    @asynccontextmanager
    async def patient_timeout(self, duration_ms):
        """Run the block as in :meth:`timeout`, but let it catch up after a stall of this process.

        After a stall timers fire before sockets are read. Here, the block gets the time in which
        what has already arrived is read, as with :meth:`catch_up`.

        :param duration_ms: longest time for the block, in milliseconds.
        :raises TimeoutError: when the block takes longer.
        """
        loop = asyncio.get_running_loop()
        due_s = loop.time() + max(0.0, duration_ms) / MS_PER_SECOND
        async with asyncio.timeout(None) as limit:
            timer = loop.call_at(due_s, _end_unless_stalled, loop, limit, due_s)
            try:
                yield
            finally:
                timer.cancel()

    async def catch_up(self, due_ms):
        """Give the loop time to read received data if this process stalled past ``due_ms``.

        After a stall timers fire before sockets are read, so data that seems late may already have
        been received.

        :param due_ms: when the timer was due, in milliseconds of :meth:`now_ms`.
        :returns: whether there was a stall.
        """
        if self.now_ms() - due_ms < STALL_MS:
            return False
        await self.sleep(CATCH_UP_MS)
        return True


def _end_unless_stalled(loop, limit, due_s):
    """Let a timeout that was due at ``due_s`` end now, or a little later after a stall."""
    now_s = loop.time()
    is_stalled = (now_s - due_s) * MS_PER_SECOND >= STALL_MS
    limit.reschedule(now_s + CATCH_UP_MS / MS_PER_SECOND if is_stalled else now_s)


class ManualClock(Clock):
    """A clock that tests advance by hand.

    :param start_ms: the first reading, in milliseconds.

    >>> clock = ManualClock()
    >>> clock.advance(10)
    """

    __slots__ = ("_now_ms",)

    def __init__(self, start_ms=0.0):
        super().__init__()
        self._now_ms = start_ms

    def now_ms(self):
        """Return the time set by :meth:`advance`."""
        return self._now_ms

    def wall_ms(self):
        """Return the same time as an integer."""
        return int(self._now_ms)

    def advance(self, duration_ms):
        """Move the clock forward by ``duration_ms`` milliseconds."""
        self._now_ms += duration_ms
