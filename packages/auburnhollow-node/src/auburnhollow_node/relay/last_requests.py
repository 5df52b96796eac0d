"""Bounds requests by the end of a planned stop, so that each one gets an answer."""

import asyncio
from contextlib import asynccontextmanager

from auburnhollow.clock import MS_PER_SECOND
from auburnhollow.exceptions import Ran, Unavailable
from auburnhollow.retry import jittered_ms

# Another node serves what this one refuses.
RETRY_MS = 50.0
# A request is taken if this much time is left, or its objective if that is shorter.
MIN_TIME_LEFT_MS = 1_000.0


class LastRequests:
    """Refuses requests that can't be finished before the node ends, and ends those that are not.

    Nothing is bounded before :meth:`end_by`.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.

    >>> async with last_requests.bounded(route):
    ...     answer = await dispatch(request, route)
    """

    __slots__ = ("_clock", "_end_ms", "_random", "_timeouts")

    def __init__(self, clock, random):
        self._clock = clock
        self._random = random
        self._end_ms = None
        self._timeouts = set()

    def end_by(self, end_ms):
        """End all requests at ``end_ms``, a time of the clock in milliseconds."""
        self._end_ms = end_ms
        for timeout in self._timeouts:
            timeout.reschedule(end_ms / MS_PER_SECOND)

    @asynccontextmanager
    async def bounded(self, route):
        """Run the block as one request on ``route``.

        :raises Unavailable: if it can't be finished in time and has not run, or if it is not
            finished and may have run.
        """
        end_ms = self._end_ms
        if end_ms is not None:
            left_ms = end_ms - self._clock.now_ms()
            if left_ms < min(route.objective_ms, MIN_TIME_LEFT_MS):
                raise self._error(Ran.NO)
        timeout = asyncio.timeout_at(None if end_ms is None else end_ms / MS_PER_SECOND)
        self._timeouts.add(timeout)
        try:
            async with timeout:
                yield
        except TimeoutError as error:
            if not timeout.expired():
                raise
            raise self._error(Ran.UNKNOWN) from error
        finally:
            self._timeouts.discard(timeout)

    def _error(self, ran):
        retry_after_ms = jittered_ms(self._random, RETRY_MS)
        return Unavailable("this node stops", ran=ran, retry_after_ms=retry_after_ms)
