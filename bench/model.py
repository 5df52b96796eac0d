"""A model of the backend servers in virtual time, with slots, queues, delays and slow periods.

Only the servers are modelled; the code of the nodes is the same as over HTTP.
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

LATENCY_SIGMA = 0.3
SLOW_PERIOD_MS = 2_000.0


class ServerModel:
    """One backend server.

    :param server_id: id of the server.
    :param seed: seed of its random generators, together with the id.
    :param slots: number of calls that run at once.
    :param queue: number of calls that may wait; further ones are shed.
    :param mean_ms: median duration of a call, in milliseconds.
    :param slow_part: fraction of the time for which the server is slow, from 0 to 1.
    :param slow_factor: factor by which calls take longer while the server is slow.
    :param straggler_chance: probability that a single call takes ``slow_factor`` times longer.
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
        self._period_rng = random.Random(f"{seed}/{server_id}/spells")
        self._slow_until_ms = -1.0
        self._next_slow_ms = self._draw_fast_period_ms() * self._period_rng.random()

    def is_slow(self, now_ms):
        """Return whether the server is in a slow period."""
        if self.slow_part <= 0:
            return False
        while now_ms >= self._next_slow_ms:
            self._slow_until_ms = self._next_slow_ms + SLOW_PERIOD_MS
            self._next_slow_ms = self._slow_until_ms + self._draw_fast_period_ms()
        return now_ms < self._slow_until_ms

    def duration_ms(self, now_ms):
        """Draw the duration of one call."""
        duration_ms = self.mean_ms * math.exp(self._random.gauss(0.0, LATENCY_SIGMA))
        if self.is_slow(now_ms) or self._random.random() < self.straggler_chance:
            duration_ms *= self.slow_factor
        return duration_ms

    def expected_ms(self, now_ms):
        """Return the expected duration of the next call, from the true state of the server."""
        if self.is_dead:
            return math.inf
        base_ms = self.mean_ms * (self.slow_factor if self.is_slow(now_ms) else 1.0)
        queued_ahead = max(0, self.busy + len(self.waiting) - self.slots + 1)
        return base_ms * (1.0 + queued_ahead / self.slots)

    async def acquire_slot(self):
        """Wait for a slot, in order of arrival.

        :raises BackendRefused: if the queue is full.
        """
        if self.busy < self.slots:
            self.busy += 1
            return
        if len(self.waiting) >= self.queue:
            self.shed += 1
            raise BackendRefused(self.id, "overload", incarnation=1)
        slot_future = asyncio.get_running_loop().create_future()
        self.waiting.append(slot_future)
        try:
            await slot_future
        except asyncio.CancelledError:
            if slot_future.done() and not slot_future.cancelled():
                self.release_slot()
            elif slot_future in self.waiting:
                self.waiting.remove(slot_future)
            raise

    def release_slot(self):
        """Hand the slot to the next waiting call, or free it."""
        while self.waiting:
            slot_future = self.waiting.popleft()
            if not slot_future.done():
                slot_future.set_result(None)
                return
        self.busy -= 1

    def _draw_fast_period_ms(self):
        if self.slow_part <= 0:
            return math.inf
        return (
            self._period_rng.expovariate(1.0)
            * SLOW_PERIOD_MS
            * (1 - self.slow_part)
            / self.slow_part
        )


class ModelBackends(BackendClient):
    """The client with which one node calls the modelled servers.

    :param models: :class:`ServerModel` by id.
    :param one_way_delay_ms: function of a server that returns the one-way delay from this node.
    """

    __slots__ = ("_one_way_delay_ms", "_clock", "_models")

    def __init__(self, models, clock, one_way_delay_ms=None):
        self._models = models
        self._clock = clock
        self._one_way_delay_ms = one_way_delay_ms or (lambda server: 0.25)

    async def call(self, server, call, silent_ms):
        """Run one call in the model; see :meth:`~auburnhollow.backends.BackendClient.call`."""
        model = self._models[server.id]
        try:
            async with self._clock.timeout(call.deadline_ms):
                return await self._run(model, server, call, silent_ms)
        except TimeoutError:
            raise BackendTimeout(server.id) from None

    async def _run(self, model, server, call, silent_ms):
        one_way_delay_ms = self._one_way_delay_ms(server)
        if model.is_dead:
            raise BackendUnreachable(server.id)
        model.calls += 1
        if self._is_silent(model):
            await self._clock.sleep(silent_ms)
            model.is_silent = False
            raise BackendSilent(server.id)
        await self._clock.sleep(one_way_delay_ms)
        await model.acquire_slot()
        try:
            model.ran += 1
            await self._clock.sleep(model.duration_ms(self._clock.now_ms()))
        finally:
            model.release_slot()
        if model.is_dead:
            raise BackendDied(server.id)
        await self._clock.sleep(one_way_delay_ms)
        return _answer(call, model)

    async def can_connect(self, server):
        """Return whether the server runs."""
        return not self._models[server.id].is_dead

    def _is_silent(self, model):
        """Return whether the open connections to the server are silent."""
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
