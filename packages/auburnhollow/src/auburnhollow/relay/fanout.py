"""One request on its way to one server of each of several services."""

import asyncio
import logging

from ..clock import MS_PER_SECOND
from ..decisions import decide
from ..exceptions import (
    BackendDied,
    BackendError,
    BackendRefused,
    BackendRejected,
    BackendReplaced,
    BackendUnreachable,
    DeadlinePassed,
    Ran,
)
from ..quarantine import fingerprint_of
from . import telling
from .legs import Call, Leg

log = logging.getLogger("relay")

# The answer needs this long to reach the caller from here.
ANSWER_MS = 15.0
# A call that lost the race may still tell how its server is; its caller must not have left by then.
LINGER_MS = 350.0
# Servers that did not run the request do not count as attempts, but the sends are bounded.
REFUSED_SENDS = 2
HEDGE_AGAIN_MS = 30.0
# A call that has less time than this is not worth sending.
LEAST_CALL_MS = 5.0


class FanOut:
    """Asks one server of each service, and others where the first is late or fails.

    A request that may not be repeated is sent again only when no server has run it. All repeats
    draw on the service's budget. Answers are taken until all are in, or the objective has come
    and ``least`` are in, or the caller stops waiting.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param services: names of the services to ask.
    :param least: how many of them must answer.
    """

    __slots__ = (
        "_choice",
        "_clock",
        "_dispatcher",
        "_fingerprint",
        "_in",
        "_least",
        "_legs",
        "_lingers",
        "_objective_ms",
        "_quarantine",
        "_request",
        "_route",
        "_times",
        "_waiter",
    )

    def __init__(self, dispatcher, request, route, services, least):
        self._dispatcher = dispatcher
        self._choice = dispatcher.choice
        self._clock = dispatcher.clock
        self._request = request
        self._route = route
        self._times = dispatcher.times(route)
        self._quarantine = dispatcher.quarantine
        self._fingerprint = fingerprint_of(route.name, request.identity)
        self._legs = [Leg(service) for service in services]
        self._least = least
        self._in = 0
        self._lingers = False
        self._objective_ms = request.received_ms + route.objective_ms - ANSWER_MS
        self._waiter = None

    async def run(self):
        """Return the list of :class:`Leg` once enough of them are answered.

        :raises QueryError: as soon as it is known that not enough will be.
        """
        try:
            self._quarantine.check(self._fingerprint)
            self._refuse_hopeless()
            for leg in self._legs:
                self._dispatcher.budget(leg.service).count_request()
                self._send(leg)
            while not self._is_settled():
                self._send_hedges()
                await self._wait()
            self._lingers = True
            return self._legs
        finally:
            self._tell_calls()
            self._end_calls()

    def _refuse_hopeless(self):
        """Reject at once what too few services have servers for."""
        registry = self._dispatcher.registry
        possible = sum(1 for leg in self._legs if registry.usable(leg.service))
        if possible < self._least:
            raise self._dispatcher.unavailable(
                f"{possible} of {len(self._legs)} services have servers, {self._least} are needed"
            )

    def _is_settled(self):
        """Return whether the answers that are in are the answer.

        :raises QueryError: when there will not be enough.
        """
        if self._in == len(self._legs):
            return True
        now_ms = self._clock.now_ms()
        open_legs = sum(1 for leg in self._legs if not leg.is_over)
        if self._in >= self._least and (open_legs == 0 or now_ms >= self._objective_ms):
            age_ms = round(now_ms - self._request.received_ms)
            telling.partial(self._request.id, self._legs, age_ms)
            return True
        if self._in + open_legs < self._least:
            raise self._failure()
        if now_ms >= self._request.limit_ms:
            raise self._out_of_time()
        return False

    def _send(self, leg):
        """Send the leg's request to the best server left; returns whether there was one."""
        now_ms = self._clock.now_ms()
        remaining_ms = self._request.limit_ms - now_ms
        servers = self._dispatcher.registry.usable(leg.service)
        server = self._choice.choose(servers, self._times.work_ms, leg.tried)
        if server is None or remaining_ms < LEAST_CALL_MS:
            return False
        view = self._choice.view(server)
        speed = view.speed(now_ms)
        leg.sent += 1
        leg.run += 1
        leg.tried.append(server.id)
        late_ms = now_ms + self._times.late_after_ms(self._choice.distance_ms(server), speed)
        call = Call(leg, server, speed, now_ms, late_ms)
        leg.hedge_ms = late_ms
        leg.calls.append(call)
        leg.made.append(call)
        view.began(call, now_ms)
        call.task = asyncio.get_running_loop().create_task(self._call(call, remaining_ms))
        return True

    async def _call(self, call, remaining_ms):
        """Make one call and note what came of it."""
        leg = call.leg
        self._quarantine.started(call.server.id, self._fingerprint)
        try:
            answer = await self._dispatcher.client.send(call.server, self._request, remaining_ms)
        except BackendError as error:
            self._take_failure(call, error)
        except asyncio.CancelledError:
            self._take_end(call)
            raise
        else:
            self._take_answer(call, answer)
        finally:
            self._quarantine.ended(call.server.id, self._fingerprint)
            leg.calls.remove(call)
            if leg.answer is None:
                self._repeat_failed(leg)
            if leg.answer is None or self._in >= self._least:
                self._wake()

    def _take_answer(self, call, answer):
        now_ms = self._clock.now_ms()
        call.end(f"status {answer.status}", now_ms)
        server = call.server
        view = self._choice.view(server)
        if answer.status >= 500:
            telling.failure(self._request.id, call, f"status {answer.status}")
            self._note_failure(view, call, now_ms)
        else:
            work_ms = now_ms - call.began_ms - self._choice.distance_ms(server)
            ratio = self._times.observe(work_ms, call.speed)
            view.answered(call, ratio, answer.load, now_ms)
        leg = call.leg
        if leg.answer is not None:
            return
        if answer.is_success:
            leg.answer = answer
            self._in += 1
            if self._in == 1:
                self._quarantine.answered(self._fingerprint, leg.service)
            return
        leg.error = answer
        if self._route.shards or (answer.status >= 500 and self._may_repeat(leg)):
            return
        leg.answer = answer
        self._in += 1

    def _take_failure(self, call, error):
        now_ms = self._clock.now_ms()
        call.end(type(error).__name__, now_ms)
        leg = call.leg
        view = self._choice.view(call.server)
        telling.failure(self._request.id, call, str(error))
        if error.ran is Ran.NO:
            leg.run -= 1
        if isinstance(error, BackendReplaced):
            view.gave_up(call, 0.0, now_ms)
            self._dispatcher.registry.misdirected(call.server)
        elif isinstance(error, BackendRefused):
            view.shed(call, call.server.slots, now_ms)
            # It ran nothing and may have room in a moment.
            leg.tried.remove(call.server.id)
        else:
            if isinstance(error, BackendDied):
                self._quarantine.died(call.server.id, leg.service, self._fingerprint)
            is_certain = isinstance(error, BackendUnreachable)
            self._note_failure(view, call, now_ms, is_certain)
        leg.error = error

    def _take_end(self, call):
        now_ms = self._clock.now_ms()
        call.end("cancelled", now_ms)
        took_ms = now_ms - call.began_ms - self._choice.distance_ms(call.server)
        self._choice.view(call.server).gave_up(call, took_ms / self._times.work_ms, now_ms)

    def _tell_calls(self):
        """Log the calls of a request whose answer is late, partial or none."""
        now_ms = self._clock.now_ms()
        is_whole = self._lingers and self._in == len(self._legs)
        if is_whole and now_ms <= self._objective_ms:
            return
        telling.calls(self._request, self._route, self._legs, self._times.work_ms, now_ms)

    def _note_failure(self, view, call, now_ms, is_certain=False):
        duration_ms = view.failed(call, now_ms, is_certain)
        if duration_ms > 0:
            decide(log, "server passed over", server=call.server.id, duration_ms=duration_ms)
            self._dispatcher.metrics.incr("relay.ejections")

    def _may_repeat(self, leg):
        """Return whether the leg may be sent once more, its budget left out."""
        error = leg.error
        if self._quarantine.is_suspect(self._fingerprint):
            # What crashes servers must not be given another one.
            return False
        if not self._route.repeatable and getattr(error, "ran", Ran.YES) is not Ran.NO:
            return False
        if leg.run >= self._route.attempts or leg.sent >= self._route.attempts + REFUSED_SENDS:
            return False
        return self._request.limit_ms - self._clock.now_ms() > LEAST_CALL_MS

    def _repeat_failed(self, leg):
        """Send a leg again whose calls have all failed."""
        if leg.calls or leg.error is None or self._lingers or not self._may_repeat(leg):
            self._settle_failed(leg)
            return
        if self._try_repeat(leg, "retry sent"):
            return
        self._settle_failed(leg)

    def _settle_failed(self, leg):
        """Let a server's own failure be the answer when there is no better one."""
        if leg.calls or self._route.shards or leg.answer is not None:
            return
        if leg.error is not None and not isinstance(leg.error, BackendError):
            leg.answer = leg.error
            self._in += 1

    def _send_hedges(self):
        """Ask further servers where calls are late."""
        now_ms = self._clock.now_ms()
        for leg in self._legs:
            if leg.is_over or leg.hedge_ms is None or now_ms < leg.hedge_ms:
                continue
            leg.hedge_ms = None
            for call in leg.calls:
                self._choice.view(call.server).late(call.began_ms)
            if not self._route.repeatable or leg.run >= self._route.attempts:
                continue
            if self._quarantine.is_suspect(self._fingerprint):
                continue
            if not self._try_repeat(leg, "hedge sent"):
                leg.hedge_ms = now_ms + HEDGE_AGAIN_MS

    def _try_repeat(self, leg, text):
        """Send the leg once more if the budget allows; returns whether it was sent."""
        dispatcher = self._dispatcher
        budget = dispatcher.budget(leg.service)
        servers = dispatcher.registry.usable(leg.service)
        if all(server.id in leg.tried for server in servers):
            return False
        if not budget.try_spend():
            dispatcher.metrics.incr("relay.budget_refusals")
            return False
        if not self._send(leg):
            return False
        dispatcher.metrics.incr("relay.hedges" if text == "hedge sent" else "relay.retries")
        age_ms = round(self._clock.now_ms() - self._request.received_ms)
        telling.repeat(self._request.id, text, leg, age_ms, budget.left)
        return True

    async def _wait(self):
        """Wait for the next call that ends or the next moment that matters."""
        now_ms = self._clock.now_ms()
        next_ms = self._request.limit_ms
        if self._in >= self._least:
            next_ms = min(next_ms, self._objective_ms)
        for leg in self._legs:
            if leg.hedge_ms is not None and not leg.is_over:
                next_ms = min(next_ms, leg.hedge_ms)
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        timer = loop.call_later(max(0.0, next_ms - now_ms) / MS_PER_SECOND, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end_calls(self):
        """End what still runs: at once when the caller is gone, else after a while."""
        loop = asyncio.get_running_loop()
        for leg in self._legs:
            for call in leg.calls:
                if self._lingers:
                    loop.call_later(LINGER_MS / MS_PER_SECOND, call.task.cancel)
                    continue
                call.task.cancel()
            if not self._lingers:
                leg.error = None

    def _failure(self):
        """Return the error of a request of which too many services have failed."""
        failed = [leg for leg in self._legs if leg.answer is None and leg.is_over]
        if all(leg.run == 0 for leg in self._legs):
            return self._dispatcher.unavailable(f"{failed[0].error}")
        return BackendRejected(
            f"{len(failed)} of {len(self._legs)} services failed: {failed[0].error}",
            ran=Ran.UNKNOWN,
        )

    def _out_of_time(self):
        if all(leg.run == 0 for leg in self._legs):
            return self._dispatcher.unavailable("no server took the request in time")
        missing = [leg.service for leg in self._legs if leg.answer is None]
        return DeadlinePassed(f"no answer in time of {', '.join(missing[:3])}", ran=Ran.UNKNOWN)
