"""Bounds how many large answers a node sends at the same time.

It answers many nodes that ask one node for a large state at once, as after a change of a large
configuration. Answers that share a link all arrive late; answers that are sent one after the other
arrive in time for most, and the others are told at once to ask elsewhere.
"""

import asyncio
from contextlib import asynccontextmanager

# Smaller answers, such as those of subqueries, are never delayed.
LARGE_BYTES = 65_536
MAX_LARGE_ANSWERS = 2
# Requesters wait 500 ms or more for an answer, and its transfer takes a part of that.
MAX_WAIT_MS = 250.0


class AnswerTurns:
    """Lets a few large answers be sent at a time, in the order in which they were ready.

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
        try:
            yield True
        finally:
            self._free.release()
