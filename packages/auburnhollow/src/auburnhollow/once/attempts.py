"""Attempts of this node to run orders."""

import asyncio

from ..identifiers import new_id
from .claims import attempt_name
from .messages import AttemptAnswer

# How many attempts a node remembers.
MAX_ATTEMPTS = 20_000

ABANDONED = "abandoned"
RUNNING = "running"
ENDED = "ended"
NOT_FOUND = "unknown"


class Attempt:
    """One attempt of this node to run an order; an abandoned attempt may not send."""

    __slots__ = ("claim_state", "ended", "name", "outcome", "state")

    def __init__(self, name):
        self.name = name
        self.state = RUNNING
        self.claim_state = None
        self.outcome = None
        self.ended = asyncio.Event()

    def abandon(self):
        """Mark the attempt as one that never sends its order."""
        self.state = ABANDONED
        self.ended.set()

    def end(self, claim_state, outcome):
        """Store the result of sending the order."""
        self.state = ENDED
        self.claim_state = claim_state
        self.outcome = outcome
        self.ended.set()


class Attempts:
    """The newest attempts of this node, for peers that ask for the state of one.

    :param node: id of this node.
    :param incarnation: a number that differs for each start of this node.
    """

    __slots__ = ("_attempts", "_clock", "_incarnation", "_node")

    def __init__(self, node, incarnation, clock):
        self._node = node
        self._incarnation = incarnation
        self._clock = clock
        self._attempts = {}

    def new(self):
        """Return a new :class:`Attempt`."""
        name = attempt_name(self._node, self._incarnation, new_id())
        attempt = Attempt(name)
        self._attempts[name] = attempt
        while len(self._attempts) > MAX_ATTEMPTS:
            oldest = next(iter(self._attempts))
            if self._attempts[oldest].state == RUNNING:
                break
            del self._attempts[oldest]
        return attempt

    async def answer(self, message):
        """Answer an :class:`AttemptAsk`; wait up to its ``wait_ms`` for the attempt to end."""
        attempt = self._attempts.get(message.attempt)
        if attempt is None:
            return AttemptAnswer(state=NOT_FOUND, claim_state=None, outcome=None)
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
