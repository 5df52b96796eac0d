"""Lets requests in, in the order of the queue, or refuses them."""

import asyncio
import logging

from ..clock import MS_PER_SECOND
from ..decisions import log_decision
from ..exceptions import Overloaded, Ran
from .decision import Admission, Verdict
from .queue import MAX_WAIT_SHARE, Queue
from .returns import Returns

log = logging.getLogger("admission")

# Servers free a slot every few milliseconds; waking more often would not start requests earlier.
TICK_MS = 10.0


class Entry:
    """The step of a request between its client account's quota and its dispatch.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param room: :class:`~auburnhollow.admission.Room`.
    :param servers: function of a service and of homes that returns the servers that may get
        requests.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.

    >>> if room.is_busy:
    ...     await entry.let_in(ask)
    """

    __slots__ = ("_admission", "_clock", "_metrics", "_queue", "_returns", "_timer", "_turns")

    def __init__(self, clock, random, room, servers, metrics):
        self._clock = clock
        self._metrics = metrics
        self._admission = Admission(clock, room, servers)
        self._queue = Queue(clock, self._admission)
        self._returns = Returns(clock, random)
        self._turns = {}
        self._timer = None

    @property
    def waiting(self):
        """The number of requests that wait."""
        return len(self._queue)

    async def let_in(self, ask):
        """Return once the request of an :class:`~auburnhollow.admission.Ask` may start.

        :raises Overloaded: if it would not be answered in its objective; it did not run.
        """
        ask.is_returning = self._returns.is_returning(ask.id)
        self._admission.arrived(ask)
        verdict = self._admission.decide(ask)
        if verdict is Verdict.REFUSE:
            raise self._refusal(ask, "late")
        if verdict is Verdict.START and not self._queue.must_wait(ask):
            self._queue.charge(ask)
            self._admission.started(ask)
            self._returns.count_start()
            return
        if self._is_hopeless(ask):
            raise self._refusal(ask, "queue")
        await self._wait(ask)

    def _is_hopeless(self, ask):
        """Return whether too many requests are ahead for this one to start in time."""
        starts_per_s = self._returns.starts_per_s
        wait_ms = MS_PER_SECOND * self._queue.ahead(ask) / max(1.0, starts_per_s)
        return wait_ms > ask.objective_ms * MAX_WAIT_SHARE

    async def _wait(self, ask):
        turn = asyncio.get_running_loop().create_future()
        self._turns[id(ask)] = turn
        dropped = self._queue.add(ask)
        if dropped is not None:
            self._turns[id(dropped)].set_result(Verdict.REFUSE)
        self._start_timer()
        self._metrics.incr("admission.waited")
        try:
            verdict = await turn
        except asyncio.CancelledError:
            self._queue.discard(ask)
            raise
        finally:
            del self._turns[id(ask)]
        waited_ms = self._clock.now_ms() - ask.received_ms
        if verdict is Verdict.REFUSE:
            raise self._refusal(ask, "waited")
        self._returns.count_start()
        self._metrics.timing("admission.wait_ms", waited_ms)
        log_decision(
            log, "request waited", ask.id, waited_ms=round(waited_ms), waiting=len(self._queue)
        )

    def _start_timer(self):
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(TICK_MS / MS_PER_SECOND, self._tick)

    def _tick(self):
        self._timer = None
        for ask, verdict in self._queue.release():
            turn = self._turns[id(ask)]
            if not turn.done():
                turn.set_result(verdict)
        if len(self._queue):
            self._start_timer()

    def _refusal(self, ask, reason):
        queue_ms = self._admission.queue_ms(ask)
        retry_ms = self._returns.retry_ms(ask.id, queue_ms)
        self._metrics.incr_labelled("admission.refused", reason=reason, urgency=ask.urgency)
        log_decision(
            log,
            "request refused for lack of room",
            ask.id,
            reason=reason,
            queue_ms=round(queue_ms),
            slack_ms=round(self._admission.slack_ms(ask)),
            waiting=len(self._queue),
            starts_per_s=round(self._returns.starts_per_s),
            retry_after_ms=retry_ms,
        )
        return Overloaded(
            f"the servers have no room in time: a wait of {queue_ms:.0f} ms is expected",
            ran=Ran.NO,
            retry_after_ms=retry_ms,
        )
