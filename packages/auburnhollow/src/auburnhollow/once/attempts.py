"""Tries of this node to run orders."""

import asyncio

from ..identifiers import new_id
from .claims import attempt_of
from .messages import AttemptAnswer

KEPT_ATTEMPTS = 20_000

ABANDONED = "abandoned"
RUNNING = "running"
ENDED = "ended"
NEVER_HEARD = "unknown"


class Attempt:
    """One try of this node to run an order. It may send only while it is not given up."""

    __slots__ = ("claim_state", "ended", "name", "outcome", "state")

    def __init__(self, name):
        self.name = name
        self.state = RUNNING
        self.claim_state = None
        self.outcome = None
        self.ended = asyncio.Event()

    def abandon(self):
        """Promise that this attempt is never sent."""
        self.state = ABANDONED
        self.ended.set()

    def end(self, claim_state, outcome):
        """Keep what came of sending."""
        self.state = ENDED
        self.claim_state = claim_state
        self.outcome = outcome
        self.ended.set()


class Attempts:
    """The newest attempts of this node, for peers that ask what became of one.

    :param node: id of this node.
    :param start: a number that no earlier start of this node had.
    """

    __slots__ = ("_attempts", "_clock", "_node", "_start")

    def __init__(self, node, start, clock):
        self._node = node
        self._start = start
        self._clock = clock
        self._attempts = {}

    def new(self):
        """Return a fresh :class:`Attempt`."""
        name = attempt_of(self._node, self._start, new_id())
        attempt = Attempt(name)
        self._attempts[name] = attempt
        while len(self._attempts) > KEPT_ATTEMPTS:
            oldest = next(iter(self._attempts))
            if self._attempts[oldest].state == RUNNING:
                break
            del self._attempts[oldest]
        return attempt

    async def answer(self, message):
        """Answer an :class:`AttemptAsk`; wait for the end as long as it allows."""
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            return AttemptAnswer(state=NEVER_HEARD, claim_state=None, outcome=None)
        await self._wait(attempt, message.wait_ms)
        return AttemptAnswer(
            state=attempt.state, claim_state=attempt.claim_state, outcome=attempt.outcome
        )

    async def _wait(self, attempt, wait_ms):
        try:
            async with self._clock.timeout(wait_ms):
                await attempt.ended.wait()
        except TimeoutError:
            return
