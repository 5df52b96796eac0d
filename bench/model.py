"""A model of the backend servers, in virtual time: slots, queues, delays, slow spells.

The product's own code runs over it as it does over HTTP; only the servers are modelled.
"""

import asyncio
import math
import random
from collections import deque

from auburnhollow.backends import BackendClient, OrderAnswer, OrderCall, ShardAnswer
from auburnhollow.exceptions import (
    BackendDied,
    BackendRefused,
    BackendSilent,
    BackendTimeout,
    BackendUnreachable,
)

SPREAD = 0.3
SLOW_SPELL_MS = 2_000.0


class ServerModel:
    """One backend server.

    :param server_id: its id.
    :param seed: what its draws depend on, together with the id.
    :param slots: calls that run at once.
    :param queue: calls that may wait; further ones are shed.
    :param mean_ms: median time of a call, in milliseconds.
    :param slow_part: part of the time that the server is slow, 0 to 1.
    :param slow_factor: how much longer calls take then.
    :param straggler_chance: chance that one call takes ``slow_factor`` times longer by itself.
    """

    def __init__(
        self,
        server_id,
        seed,
        slots=5,
        queue=20,
        mean_ms=2.0,
        slow_part=0.0,
        slow_factor=20.0,
        straggler_chance=0.0,
    ):
        self.id = server_id
        self.slots = slots
        self.queue = queue
        self.mean_ms = mean_ms
        self.slow_part = slow_part
        self.slow_factor = slow_factor
        self.straggler_chance = straggler_chance
        self.is_dead = False
        self.is_silent = False
        self.silent_until_ms = None
        self.calls = 0
        self.ran = 0
        self.shed = 0
        self.busy = 0
        self.waiting = deque()
        self._random = random.Random(f"{seed}/{server_id}")
        self._spells = random.Random(f"{seed}/{server_id}/spells")
        self._slow_until_ms = -1.0
        self._next_slow_ms = self._pause_ms() * self._spells.random()

    def is_slow(self, now_ms):
        """Return whether the server has a slow spell now."""
        if self.slow_part <= 0:
            return False
        while now_ms >= self._next_slow_ms:
            self._slow_until_ms = self._next_slow_ms + SLOW_SPELL_MS
            self._next_slow_ms = self._slow_until_ms + self._pause_ms()
        return now_ms < self._slow_until_ms

    def duration_ms(self, now_ms):
        """Draw the time of one call."""
        duration_ms = self.mean_ms * math.exp(self._random.gauss(0.0, SPREAD))
        if self.is_slow(now_ms) or self._random.random() < self.straggler_chance:
            duration_ms *= self.slow_factor
        return duration_ms

    def expected_ms(self, now_ms):
        """Return what an onlooker who knows everything expects of the next call."""
        if self.is_dead:
            return math.inf
        base_ms = self.mean_ms * (self.slow_factor if self.is_slow(now_ms) else 1.0)
        ahead = max(0, self.busy + len(self.waiting) - self.slots + 1)
        return base_ms * (1.0 + ahead / self.slots)

    async def enter(self):
        """Take a slot, in order of arrival."""
        if self.busy < self.slots:
            self.busy += 1
            return
        if len(self.waiting) >= self.queue:
            self.shed += 1
            raise BackendRefused(self.id, "overload", incarnation=1)
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.leave()
            elif turn in self.waiting:
                self.waiting.remove(turn)
            raise

    def leave(self):
        """Give the slot to the next in line."""
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.busy -= 1

    def _pause_ms(self):
        if self.slow_part <= 0:
            return math.inf
        return self._spells.expovariate(1.0) * SLOW_SPELL_MS * (1 - self.slow_part) / self.slow_part


class ModelBackends(BackendClient):
    """One node's calls to the modelled servers.

    :param models: :class:`ServerModel` by id.
    :param away_ms: function of a server that returns the one-way delay from this node.
    """

    __slots__ = ("_away_ms", "_clock", "_models")

    def __init__(self, models, clock, away_ms=None):
        self._models = models
        self._clock = clock
        self._away_ms = away_ms or (lambda server: 0.25)

    async def call(self, server, call, silent_ms):
        """Run one call in the model."""
        model = self._models[server.id]
        try:
            async with self._clock.timeout(call.deadline_ms):
                return await self._run(model, server, call, silent_ms)
        except TimeoutError:
            raise BackendTimeout(server.id) from None

    async def _run(self, model, server, call, silent_ms):
        away_ms = self._away_ms(server)
        if model.is_dead:
            raise BackendUnreachable(server.id)
        model.calls += 1
        if self._is_silent(model):
            await self._clock.sleep(silent_ms)
            model.is_silent = False
            raise BackendSilent(server.id)
        await self._clock.sleep(away_ms)
        await model.enter()
        try:
            model.ran += 1
            await self._clock.sleep(model.duration_ms(self._clock.now_ms()))
        finally:
            model.leave()
        if model.is_dead:
            raise BackendDied(server.id)
        await self._clock.sleep(away_ms)
        return _answer(call, model)

    def _is_silent(self, model):
        """Return whether the open connections to the server have gone silent."""
        return model.is_silent


def _answer(call, model):
    if isinstance(call, OrderCall):
        return OrderAnswer(request_id=call.request_id, outcome={}, incarnation=1)
    return ShardAnswer(
        request_id=call.request_id,
        shard=call.shard,
        version=call.version,
        rows=[{"id": call.shard, "score": 1.0}],
        partial=False,
        load=model.busy + len(model.waiting),
        incarnation=1,
    )
