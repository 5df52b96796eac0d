"""Bounds how many large answers a node sends at the same time.

It answers many nodes that ask one node for a large state at once, as after a change of a large
configuration. Answers that share a link all arrive late; answers that are sent one after the other
arrive in time for most, and the others are told at once to ask elsewhere.
"""

import asyncio
from contextlib import asynccontextmanager

from ..clock import MS_PER_SECOND

# Smaller answers, such as those of subqueries, are never delayed.
LARGE_BYTES = 65_536
MAX_LARGE_ANSWERS = 2
# Requesters wait 500 ms or more for an answer, and its transfer takes a part of that.
MAX_WAIT_MS = 250.0
# A requester that has stopped reading must not keep the turn.
MAX_TURN_MS = 1_000.0


class AnswerTurns:
    """Lets a few large answers be sent at a time, in the order in which they were ready.

    A turn ends after ``MAX_TURN_MS`` even if its answer is still being sent.

    :param clock: :class:`~auburnhollow.clock.Clock`.

    >>> async with turns.turn(len(data)) as has_turn:
    ...     await send(data if has_turn else refusal)
    """

    __slots__ = ("_clock", "_free")

    def __init__(self, clock):
        self._clock = clock
        self._free = asyncio.Semaphore(MAX_LARGE_ANSWERS)

    @asynccontextmanager
    async def turn(self, size):
        """Wait for the turn of an answer, which the block sends.

        The context manager yields whether the answer may be sent; it may not if its turn does not
        come within ``MAX_WAIT_MS``.

        :param size: size of the answer in bytes.
        """
        if size < LARGE_BYTES:
            yield True
            return
        try:
            async with self._clock.timeout(MAX_WAIT_MS):
                await self._free.acquire()
        except TimeoutError:
            yield False
            return
        turn = _Turn(self._free)
        timer = asyncio.get_running_loop().call_later(MAX_TURN_MS / MS_PER_SECOND, turn.end)
        try:
            yield True
        finally:
            timer.cancel()
            turn.end()


class _Turn:
    """A turn, which ends once."""

    __slots__ = ("_free", "_is_over")

    def __init__(self, free):
        self._free = free
        self._is_over = False

    def end(self):
        """Give the turn back."""
        if not self._is_over:
            self._is_over = True
            self._free.release()
