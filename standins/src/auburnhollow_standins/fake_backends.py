"""Scripted fake backend servers in virtual time."""

from collections import deque

from auburnhollow.backends import BackendClient, OrderAnswer, OrderCall, ShardAnswer
from auburnhollow.exceptions import (
    BackendCut,
    BackendDied,
    BackendFault,
    BackendLacksVersion,
    BackendMismatch,
    BackendRefused,
    BackendSilent,
    BackendTimeout,
    BackendUnreachable,
    Ran,
)

from .fake_platform import Pausable


class FakeServer:
    """A backend server that follows a script.

    ``script`` is a queue of names of :data:`STEPS`, one for each call; ``default_step`` applies
    when it is empty. ``ran`` lists the calls that it ran, ``fully_answered`` those of them that it
    answered in full. Calls whose text is ``crash_mark`` kill it by the step ``crash_step``, after
    ``crash_after_ms`` if that is set, else after ``latency_ms``. Once it ``has_vanished``, calls
    stay unanswered and it accepts no connection.
    """

    __slots__ = (
        "default_step",
        "crash_after_ms",
        "crash_mark",
        "crash_step",
        "has_vanished",
        "id",
        "incarnation",
        "is_dead",
        "latency_ms",
        "orders",
        "ran",
        "rate_per_s",
        "rows",
        "script",
        "versions",
        "fully_answered",
    )

    def __init__(self, server_id, rows=(), versions=(1,), latency_ms=2.0):
        self.id = server_id
        self.rows = list(rows)
        self.versions = list(versions)
        self.latency_ms = latency_ms
        self.script = deque()
        self.default_step = "answer"
        self.incarnation = 1
        self.is_dead = False
        self.crash_after_ms = None
        self.crash_mark = None
        self.crash_step = "die"
        self.has_vanished = False
        self.rate_per_s = None
        self.ran = []
        self.fully_answered = []
        self.orders = []

    def run(self, call):
        """Record that the call runs."""
        self.ran.append(call)
        if isinstance(call, OrderCall):
            self.orders.append(call.order)

    def answer(self, call, partial=False):
        """Run a call and return its answer."""
        self.run(call)
        if isinstance(call, OrderCall):
            return OrderAnswer(
                request_id=call.request_id,
                outcome={"by": self.id, "order": call.order},
                incarnation=self.incarnation,
                rate_per_s=self.rate_per_s,
            )
        if not partial:
            self.fully_answered.append(call)
        return ShardAnswer(
            request_id=call.request_id,
            shard=call.shard,
            version=call.version,
            rows=[{**row, "version": call.version} for row in self.rows],
            partial=partial,
            load=0,
            incarnation=self.incarnation,
            rate_per_s=self.rate_per_s,
        )


async def _answer(server, call, clock):
    await clock.sleep(server.latency_ms)
    return server.answer(call)


async def _partial(server, call, clock):
    await clock.sleep(server.latency_ms)
    return server.answer(call, partial=True)


async def _slow(server, call, clock):
    await clock.sleep(server.latency_ms * 50)
    return server.answer(call)


async def _refused(server, _call, clock, reason):
    await clock.sleep(server.latency_ms)
    raise BackendRefused(server.id, reason, incarnation=server.incarnation)


async def _draining(server, call, clock):
    await _refused(server, call, clock, "draining")


async def _overload(server, call, clock):
    await _refused(server, call, clock, "overload")


async def _cold(server, call, clock):
    await _refused(server, call, clock, "cold")


async def _unreachable(server, _call, _clock):
    raise BackendUnreachable(server.id)


async def _lacks_version(server, _call, clock):
    await clock.sleep(server.latency_ms)
    raise BackendLacksVersion(server.id, server.versions)


async def _cut_before(server, _call, clock):
    await clock.sleep(server.latency_ms)
    raise BackendCut(server.id)


async def _cut_after(server, call, clock):
    await clock.sleep(server.latency_ms)
    server.run(call)
    raise BackendCut(server.id)


async def _hang(server, call, clock):
    server.run(call)
    await clock.sleep(call.deadline_ms)
    raise BackendTimeout(server.id)


async def _silent(server, _call, clock):
    await clock.sleep(500.0)
    raise BackendSilent(server.id)


async def _mismatch(server, call, clock):
    await clock.sleep(server.latency_ms)
    server.run(call)
    raise BackendMismatch(server.id)


async def _fault(server, call, clock):
    await clock.sleep(server.latency_ms)
    server.run(call)
    raise BackendFault(server.id)


async def _die(server, call, clock):
    server.run(call)
    server.is_dead = True
    await clock.sleep(server.latency_ms if server.crash_after_ms is None else server.crash_after_ms)
    raise BackendDied(server.id)


async def _vanish(server, call, clock):
    server.run(call)
    server.has_vanished = True
    await clock.sleep(call.deadline_ms)
    raise BackendTimeout(server.id)


STEPS = {
    "answer": _answer,
    "partial": _partial,
    "slow": _slow,
    "draining": _draining,
    "overload": _overload,
    "cold": _cold,
    "unreachable": _unreachable,
    "lacks-version": _lacks_version,
    "cut-before": _cut_before,
    "cut-after": _cut_after,
    "hang": _hang,
    "silent": _silent,
    "mismatch": _mismatch,
    "fault": _fault,
    "die": _die,
    "vanish": _vanish,
}

# Steps whose error proves that the call did not run.
RAN_BY_STEP = {
    "draining": Ran.NO,
    "overload": Ran.NO,
    "cold": Ran.NO,
    "unreachable": Ran.NO,
    "lacks-version": Ran.NO,
}


class FakeBackends(BackendClient):
    """The client with which one node calls the fake servers.

    :param servers: :class:`FakeServer` by id, shared by all nodes.
    :param pausable: :class:`~.fake_platform.Pausable` of the node, or ``None``.
    """

    __slots__ = ("_clock", "_pausable", "_servers")

    def __init__(self, servers, clock, pausable=None):
        self._servers = servers
        self._clock = clock
        self._pausable = pausable or Pausable()

    async def call(self, server, call, silent_ms):
        """Perform the server's next step; see :meth:`~auburnhollow.backends.BackendClient.call`."""
        await self._pausable.wait_until_resumed()
        fake = self._servers[server.id]
        if fake.is_dead or fake.has_vanished:
            raise BackendUnreachable(server.id)
        name = fake.script.popleft() if fake.script else fake.default_step
        payload = call.order if isinstance(call, OrderCall) else call.query
        if fake.crash_mark is not None and payload.get("text") == fake.crash_mark:
            name = fake.crash_step
        if not isinstance(call, OrderCall) and call.version not in fake.versions:
            name = "lacks-version"
        try:
            async with self._clock.timeout(call.deadline_ms):
                answer = await STEPS[name](fake, call, self._clock)
        except TimeoutError:
            raise BackendTimeout(server.id) from None
        await self._pausable.wait_until_resumed()
        return answer

    async def can_connect(self, server):
        """Return whether the server runs and this node is not paused."""
        await self._pausable.wait_until_resumed()
        fake = self._servers[server.id]
        return not (fake.is_dead or fake.has_vanished)
