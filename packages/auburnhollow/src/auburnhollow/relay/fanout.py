"""One request on its way to one server of each of several services."""

import asyncio

from ..clock import MS_PER_SECOND
from ..exceptions import BackendError, Ran
from ..quarantine import fingerprint_of
from . import failures, telling
from .legs import Call, Leg
from .outcomes import Outcomes
from .repeats import LEAST_CALL_MS, Repeats
from .subqueries import Subqueries

# The answer needs this long to reach the caller from here.
ANSWER_MS = 15.0
# A call that lost the race may still tell how its server is; its caller must not have left by then.
LINGER_MS = 350.0
HEDGE_AGAIN_MS = 30.0


class FanOut:
    """Asks one server of each service, and others where the first is late or fails.

    A request that may not be repeated is sent again only when no server has run it. All repeats
    draw on the service's budget. Answers are taken until all are in, or the objective has come
    and ``least`` are in, or the caller stops waiting.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param services: names of the services to ask.
    :param least: how many of them must answer; 0 to wait for all that may still come.
    :param aggregators: :class:`~auburnhollow.relay.aggregators.Aggregators`, ``None`` to ask every
        server directly.
    :param on_change: function that is called when something has come of a call.
    :param announce: coroutine function of a leg, awaited before each send; ``None`` for none.
    :param is_repeat: whether servers may have run the request already; then the first send of each
        service is a repeat too.
    """

    __slots__ = (
        "_announce",
        "_choice",
        "_clock",
        "_dispatcher",
        "_fingerprint",
        "_in",
        "_is_repeat",
        "_least",
        "_legs",
        "_lingers",
        "_objective_ms",
        "_on_change",
        "_outcomes",
        "_quarantine",
        "_repeats",
        "_request",
        "_route",
        "_subqueries",
        "_times",
        "_waiter",
    )

    def __init__(
        self,
        dispatcher,
        request,
        route,
        services,
        least,
        aggregators=None,
        on_change=None,
        announce=None,
        is_repeat=False,
    ):
        self._dispatcher = dispatcher
        self._announce = announce
        self._on_change = on_change
        self._is_repeat = is_repeat
        self._choice = dispatcher.choice
        self._clock = dispatcher.clock
        self._request = request
        self._route = route
        self._times = dispatcher.times(route)
        self._quarantine = dispatcher.quarantine
        self._fingerprint = fingerprint_of(route.name, request.identity)
        self._outcomes = Outcomes(dispatcher, request, self._times, self._fingerprint)
        self._repeats = Repeats(dispatcher, request, route, self._fingerprint)
        self._subqueries = Subqueries(self, dispatcher, aggregators, request, route, self._repeats)
        self._legs = [Leg(service) for service in services]
        self._least = least
        self._in = 0
        self._lingers = False
        self._objective_ms = request.received_ms + route.objective_ms - ANSWER_MS
        if not least:
            self._objective_ms = request.limit_ms
        self._waiter = None

    @property
    def legs(self):
        """The list of :class:`Leg`, one for each service."""
        return self._legs

    @property
    def is_suspect(self):
        """Whether servers have died under the request."""
        return self._repeats.is_suspect

    def bound_repeats(self, attempts):
        """Let each service run the request on ``attempts`` servers.

        Services that have failed meanwhile are asked again where that allows it.
        """
        self._repeats.bound(attempts)
        for leg in self._legs:
            if leg.is_over and leg.answer is None:
                self.retry(leg)
        self.wake()

    async def run(self):
        """Return the list of :class:`Leg` once enough of them are answered.

        :raises QueryError: as soon as it is known that not enough will be.
        """
        try:
            self._quarantine.check(self._fingerprint)
            self._refuse_hopeless()
            self._send_all()
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
            raise failures.too_few(self._legs, self._dispatcher)
        if now_ms >= self._request.limit_ms:
            raise failures.out_of_time(self._legs, self._dispatcher)
        return False

    def _send_all(self):
        """Send each leg, those to another data centre together where a node there takes them."""
        self._subqueries.count_request()
        groups = {}
        for leg in self._legs:
            server = self._choose(leg)
            if server is None:
                continue
            groups.setdefault(server.data_centre, []).append((leg, server))
        for data_centre, pairs in groups.items():
            if self._subqueries.send(data_centre, [leg for leg, _server in pairs]):
                continue
            for leg, server in pairs:
                self.send_first(leg, server)
        self._note_change()

    def send_first(self, leg, server=None):
        """Send a leg for the first time, as a repeat where another node may have sent it."""
        budget = self._dispatcher.budget(leg.service)
        if not self._is_repeat:
            budget.count_request()
        elif not budget.try_spend():
            self._dispatcher.metrics.incr("relay.budget_refusals")
            return
        self._send(leg, server)

    def _choose(self, leg):
        """Return the best server left for the leg, or ``None``."""
        servers = self._dispatcher.registry.usable(leg.service)
        return self._choice.choose(servers, self._times.work_ms, leg.tried)

    def _send(self, leg, server=None):
        """Send the leg's request to the best server left; returns whether there was one."""
        now_ms = self._clock.now_ms()
        server = server or self._choose(leg)
        if server is None or self._request.limit_ms - now_ms < LEAST_CALL_MS:
            return False
        view = self._choice.view(server)
        slowdown = view.slowdown(now_ms)
        leg.sent += 1
        leg.run += 1
        leg.tried.append(server.id)
        late_ms = now_ms + self._times.late_after_ms(self._choice.distance_ms(server), slowdown)
        call = Call(leg, server, slowdown, now_ms, late_ms)
        leg.hedge_ms = late_ms
        leg.calls.append(call)
        leg.made.append(call)
        call.is_regular = view.began(call, now_ms)
        call.task = asyncio.get_running_loop().create_task(self._call(call))
        return True

    async def _call(self, call):
        """Make one call and note what came of it."""
        leg = call.leg
        self._quarantine.started(call.server.id, self._fingerprint)
        try:
            if self._announce is not None:
                await self._announce(leg)
            remaining_ms = self._request.limit_ms - self._clock.now_ms()
            answer = await self._dispatcher.client.send(
                call.server,
                self._request,
                remaining_ms,
                keep_alive=call.is_regular,
                on_write=call.mark_written,
            )
        except BackendError as error:
            self._take_failure(call, error)
        except asyncio.CancelledError:
            self._outcomes.ended(call)
            raise
        else:
            self._take_answer(call, answer)
        finally:
            self._quarantine.ended(call.server.id, self._fingerprint)
            leg.calls.remove(call)
            if leg.answer is None:
                self.retry(leg)
            if leg.answer is None or self._in >= self._least:
                self.wake()
            self._note_change()

    def _take_answer(self, call, answer):
        self._outcomes.answered(call, answer)
        leg = call.leg
        if leg.answer is not None:
            return
        if answer.is_success:
            self.take_success(leg, answer)
            return
        leg.error = answer
        if self._route.shards or (answer.status >= 500 and self._repeats.may_repeat(leg)):
            return
        leg.answer = answer
        self._in += 1

    def take_success(self, leg, answer):
        """Take a good answer of a service."""
        leg.answer = answer
        self._in += 1
        if self._in == 1:
            self._quarantine.answered(self._fingerprint, leg.service)

    def _take_failure(self, call, error):
        self._outcomes.failed(call, error)
        if error.ran is Ran.NO:
            call.leg.run -= 1
        call.leg.error = error

    def _tell_calls(self):
        """Log the calls of a request whose answer is late, partial or none."""
        now_ms = self._clock.now_ms()
        is_whole = self._lingers and self._in == len(self._legs)
        if is_whole and now_ms <= self._objective_ms:
            return
        telling.calls(self._request, self._route, self._legs, self._times.work_ms, now_ms)

    def retry(self, leg):
        """Send a leg again whose calls have all failed."""
        if leg.calls or leg.error is None or self._lingers or not self._repeats.may_repeat(leg):
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
            if self._repeats.is_used_up(leg):
                continue
            if not self._repeats.may_repeat(leg) or not self._try_repeat(leg, "hedge sent"):
                leg.hedge_ms = now_ms + HEDGE_AGAIN_MS

    def _try_repeat(self, leg, text):
        """Send the leg once more if the budget allows; returns whether it was sent."""
        if not self._repeats.try_spend(leg) or not self._send(leg):
            return False
        dispatcher = self._dispatcher
        dispatcher.metrics.incr("relay.hedges" if text == "hedge sent" else "relay.retries")
        self._note_change()
        age_ms = round(self._clock.now_ms() - self._request.received_ms)
        budget_left = dispatcher.budget(leg.service).left
        telling.repeat(self._request.id, text, leg, age_ms, budget_left)
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
        timer = loop.call_later(max(0.0, next_ms - now_ms) / MS_PER_SECOND, self.wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None
        await self._clock.catch_up(max(now_ms, next_ms))

    def _note_change(self):
        if self._on_change is not None:
            self._on_change()

    def wake(self):
        """Let the request look at its legs again."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end_calls(self):
        """End what still runs: at once when the caller is gone, else after a while."""
        loop = asyncio.get_running_loop()
        self._subqueries.cancel()
        for leg in self._legs:
            for call in leg.calls:
                if self._lingers:
                    loop.call_later(LINGER_MS / MS_PER_SECOND, call.task.cancel)
                    continue
                call.task.cancel()
            if not self._lingers:
                leg.error = None
