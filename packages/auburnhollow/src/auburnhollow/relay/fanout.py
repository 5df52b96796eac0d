"""Sends one request to one server of each of several services."""

import asyncio
import math

from ..clock import MS_PER_SECOND
from ..exceptions import (
    BackendCut,
    BackendDied,
    BackendError,
    BackendLost,
    BackendWithheld,
    QueryError,
    Ran,
)
from . import call_log, failures
from .hedges import ANSWER_MS, Hedges
from .outcomes import OutcomeRecorder
from .repeats import MIN_CALL_MS, Repeats
from .subqueries import Subqueries
from .subrequests import Call, Subrequest, choose_trial

# Calls that lost to a faster one keep running this long, to measure their servers; short enough to
# end before the caller's deadline.
LINGER_MS = 350.0
# Callers that are refused because servers have named rates come back after this time or later.
UNAVAILABLE_RETRY_MS = 250.0
MAX_RETRY_MS = 5_000.0


class FanOut:
    """Calls one server of each service, with retries after failures and hedges for late calls.

    A request that is not repeatable is sent again only if no server has run it. All repeats count
    against the service's budget. The fan-out ends when all services have answered, when the
    objective has passed and ``min_answers`` have answered, or at the caller's deadline.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param services: names of the services to call.
    :param min_answers: how many of them must answer; 0 to wait for all that may still answer.
    :param aggregators: :class:`~auburnhollow.relay.aggregators.Aggregators`, ``None`` to call every
        server directly.
    :param on_change: function that is called when the state of a call has changed.
    :param before_send: coroutine function that is awaited with the subrequest before each send, or
        ``None``.
    :param is_repeat: whether servers may have run the request already; then the first send of each
        service counts as a repeat too.
    """

    __slots__ = (
        "_answer_count",
        "_before_send",
        "_choice",
        "_clock",
        "_dispatcher",
        "_fingerprint",
        "_hedges",
        "_is_complete",
        "_is_repeat",
        "_min_answers",
        "_objective_ms",
        "_on_change",
        "_outcomes",
        "_quarantine",
        "_repeats",
        "_request",
        "_route",
        "_subqueries",
        "_subrequests",
        "_times",
        "_trial",
        "_wait_until_ms",
        "_waiter",
    )

    def __init__(
        self,
        dispatcher,
        request,
        route,
        services,
        min_answers,
        aggregators=None,
        on_change=None,
        before_send=None,
        is_repeat=False,
    ):
        self._dispatcher = dispatcher
        self._before_send = before_send
        self._on_change = on_change
        self._is_repeat = is_repeat
        self._choice = dispatcher.choice
        self._clock = dispatcher.clock
        self._request = request
        self._route = route
        self._times = dispatcher.times(route)
        self._quarantine = dispatcher.quarantine
        self._fingerprint = request.fingerprint
        self._outcomes = OutcomeRecorder(dispatcher, request, route, self._fingerprint)
        self._repeats = Repeats(dispatcher, request, route, self._fingerprint)
        self._subqueries = Subqueries(self, dispatcher, aggregators, request, route, self._repeats)
        self._hedges = Hedges(self, dispatcher, request, route, self._repeats)
        self._subrequests = [Subrequest(service) for service in services]
        self._min_answers = min_answers
        self._answer_count = 0
        self._is_complete = False
        reserve_ms = ANSWER_MS
        if dispatcher.hurries:
            reserve_ms += request.connect_ms + dispatcher.lag.reserve_ms(route.objective_ms)
        self._objective_ms = request.received_ms + route.objective_ms - reserve_ms
        if not min_answers:
            self._objective_ms = request.limit_ms
        self._wait_until_ms = request.received_ms + route.objective_ms - ANSWER_MS
        self._waiter = None
        self._trial = None

    @property
    def subrequests(self):
        """The list of :class:`Subrequest`, one for each service."""
        return self._subrequests

    @property
    def is_suspect(self):
        """Whether the request is suspected of crashing servers."""
        return self._repeats.is_suspect

    def limit_attempts(self, attempts):
        """Let each service run the request on at most ``attempts`` servers.

        Services that have failed are retried if the new limit allows it.
        """
        self._repeats.set_attempts(attempts)
        for subrequest in self._subrequests:
            if subrequest.is_over and subrequest.answer is None:
                self.retry(subrequest)
        self.wake()

    async def run(self):
        """Return the list of :class:`Subrequest` once enough of them are answered.

        :raises QueryError: as soon as enough answers are no longer possible.
        """
        try:
            with self._dispatcher.running(self):
                await self._run()
            return self._subrequests
        except QueryError as error:
            error.runs = max(each.runs - each.lost_runs for each in self._subrequests)
            raise
        finally:
            self._log_calls()
            self._end_calls()

    async def _run(self):
        self._quarantine.check(self._fingerprint)
        self._reject_unanswerable()
        if self._quarantine.needs_trial(self._fingerprint):
            await self._run_trial()
        self._send_all()
        while not self._is_answered():
            self._hedges.send_due(self._subrequests)
            await self._wait()
        self._is_complete = True

    def give_up_calls(self):
        """End the calls in progress, since this node reaches no server.

        Calls that may have reached a server go on if the request may run only once.
        """
        for subrequest in self._subrequests:
            if subrequest.answer is not None:
                continue
            subrequest.hedge_ms = None
            for call in subrequest.calls:
                if call.is_written and not self._route.repeatable:
                    continue
                if not call.is_written:
                    subrequest.runs -= 1
                elif call.began_ms > self._dispatcher.reach.answered_ms:
                    subrequest.lost_runs += 1
                ran = Ran.UNKNOWN if call.is_written else Ran.NO
                subrequest.error = BackendCut(f"{call.server.id}: out of reach from here", ran=ran)
                call.task.cancel()
        self.wake()

    def _reject_unanswerable(self):
        """Reject the request at once if too few services have servers."""
        possible = sum(1 for subrequest in self._subrequests if self.servers(subrequest))
        if possible < self._min_answers:
            raise self._dispatcher.unavailable(
                f"{possible} of {len(self._subrequests)} services have servers,"
                f" {self._min_answers} are needed"
            )

    async def _run_trial(self):
        """Send the request to one server, and go on only if that one answers it.

        :raises Quarantined: when the server did not answer.
        """
        with self._quarantine.trial(self._fingerprint) as lost_shards:
            self._trial = choose_trial(self._subrequests, lost_shards)
            self.send_first(self._trial)
            self._trial.hedge_ms = None
            while not self._trial.is_over and self._clock.now_ms() < self._request.limit_ms:
                await self._wait()
            answer = self._trial.answer
            if answer is not None and answer.is_success:
                self._quarantine.clear(self._fingerprint)
        if self._trial.answer is None:
            ran = Ran.UNKNOWN if self._trial.may_have_run else Ran.NO
            raise self._quarantine.refusal(self._fingerprint, ran)

    def _is_answered(self):
        """Return whether the request is answered, in full or in part.

        :raises QueryError: if there will not be enough answers.
        """
        if self._answer_count == len(self._subrequests):
            return True
        now_ms = self._clock.now_ms()
        open_subrequests = sum(1 for subrequest in self._subrequests if not subrequest.is_over)
        if self._answer_count >= self._min_answers and (
            open_subrequests == 0 or now_ms >= self._objective_ms
        ):
            age_ms = round(now_ms - self._request.received_ms)
            call_log.log_partial_answer(self._request.id, self._subrequests, age_ms)
            return True
        if self._answer_count + open_subrequests < self._min_answers:
            raise failures.too_few(self._subrequests, self._dispatcher)
        if now_ms >= self._request.limit_ms:
            raise failures.out_of_time(self._subrequests, self._dispatcher)
        return False

    def _send_all(self):
        """Send all subrequests, as one subquery per data centre where an aggregator accepts it.

        :raises Unavailable: if this node must wait too long for too many servers.
        """
        self._subqueries.count_request()
        groups = {}
        for subrequest in self._subrequests:
            if subrequest.sends:
                continue
            server = self._choose(subrequest)
            can_call = server is not None
            if not can_call:
                # This node must wait too long for any server, an aggregator perhaps not.
                server = self._choose(subrequest, until_ms=math.inf)
            if server is None:
                continue
            pair = (subrequest, server if can_call else None)
            groups.setdefault(server.data_centre, []).append(pair)
        if self._choice.is_limited:
            self._reject_without_turns(groups)
        for data_centre, pairs in groups.items():
            if self._subqueries.send(data_centre, [subrequest for subrequest, _server in pairs]):
                continue
            for subrequest, server in pairs:
                if server is None:
                    subrequest.error = BackendWithheld("each server named a rate that is used up")
                    continue
                self.send_first(subrequest, server)
        self._notify_change()

    def _reject_without_turns(self, groups):
        """Reject the request if too few services can be called before the objective.

        :param groups: by data centre, pairs of a subrequest and the server that this node can call,
            or ``None``.
        """
        possible = sum(1 for subrequest in self._subrequests if subrequest.sends)
        for data_centre, pairs in groups.items():
            if self._subqueries.can_send(data_centre, pairs):
                possible += len(pairs)
                continue
            possible += sum(1 for _subrequest, server in pairs if server is not None)
        if possible >= self._min_answers:
            return
        waits_ms = sorted(self._least_wait_ms(subrequest) for subrequest in self._subrequests)
        self._dispatcher.metrics.incr("relay.rate_refusals")
        raise self._dispatcher.unavailable(
            f"{possible} of {len(self._subrequests)} services take requests now,"
            f" {self._min_answers} are needed",
            retry_ms=max(UNAVAILABLE_RETRY_MS, min(waits_ms[self._min_answers - 1], MAX_RETRY_MS)),
        )

    def _least_wait_ms(self, subrequest):
        servers = self.servers(subrequest)
        return min((self._choice.wait_ms(server) for server in servers), default=math.inf)

    def send_first(self, subrequest, server=None):
        """Send a subrequest for the first time; a repeat if another node may have sent it."""
        budget = self._dispatcher.budget(subrequest.service)
        if not self._is_repeat:
            budget.count_request()
        elif not budget.try_spend():
            self._dispatcher.metrics.incr("relay.budget_refusals")
            return
        self._send(subrequest, server)

    def _choose(self, subrequest, until_ms=None):
        """Return the best server that was not tried yet, or ``None``.

        :param until_ms: when an answer must be expected from a server that this node must wait
            for, as it has named a rate; by default the route's objective.
        """
        servers = self.servers(subrequest)
        until_ms = self._wait_until_ms if until_ms is None else until_ms
        return self._choice.choose(servers, self._times.work_ms, subrequest.tried, until_ms)

    def servers(self, subrequest):
        """Return the servers that may get the subrequest now."""
        return self._dispatcher.gate.servers_for(self._request, subrequest.service)

    def _send(self, subrequest, server=None):
        """Send to ``server`` or to the best one left; return whether the request was sent."""
        server = server or self._choose(subrequest)
        if server is None or self._request.limit_ms - self._clock.now_ms() < MIN_CALL_MS:
            return False
        cold_turn = self._dispatcher.gate.cold.turns(server.incarnation)
        wait_ms = self._choice.take_turn(server)
        now_ms = self._clock.now_ms() + wait_ms
        view = self._choice.view(server)
        slowdown = view.slowdown(now_ms)
        is_sent_again = subrequest.was_sent_to(server)
        subrequest.sends += 1
        subrequest.runs += 1
        subrequest.tried.append(server.id)
        late_ms = now_ms + self._times.late_after_ms(self._choice.round_trip_ms(server), slowdown)
        call = Call(subrequest, server, slowdown, now_ms, late_ms)
        subrequest.hedge_ms = self._hedges.due_ms(call)
        subrequest.calls.append(call)
        subrequest.all_calls.append(call)
        # Answers name the request only: on a connection that has carried it before, a copy of the
        # answer to its first send could pass for that to the next.
        call.keep_alive = view.began(call, now_ms) and not is_sent_again
        call.task = asyncio.get_running_loop().create_task(self._call(call, wait_ms, cold_turn))
        return True

    async def _call(self, call, wait_ms, cold_turn):
        """Make one call, after ``wait_ms`` milliseconds, and record its outcome.

        :param cold_turn: the turns of the server while it is cold, or ``None``.
        """
        subrequest = call.subrequest
        is_running = False
        try:
            if wait_ms > 0:
                await self._wait_for_turn(call, wait_ms)
            self._quarantine.record_start(call.server.id, self._fingerprint)
            is_running = True
            if self._before_send is not None:
                await self._before_send(subrequest)
            remaining_ms = self._request.limit_ms - self._clock.now_ms()
            answer = await self._dispatcher.gate.send(
                call.server,
                self._request,
                remaining_ms,
                keep_alive=call.keep_alive,
                on_write=call.mark_written,
                cold_turn=cold_turn,
            )
        except BackendDied as error:
            self._record_failure(call, await self._confirmed(call, error))
        except BackendError as error:
            self._record_failure(call, error)
        except asyncio.CancelledError as cancellation:
            self._outcomes.cancelled(call)
            if call.is_written:
                self._quarantine.record_abandoned(call.server.id, self._fingerprint)
            if isinstance(cancellation.__cause__, BackendDied):
                self._outcomes.confirm_death(call)
            elif isinstance(cancellation.__cause__, BackendLost) or self._is_unanswered(call):
                self._outcomes.unanswered(call)
            raise
        else:
            self._record_answer(call, answer)
        finally:
            if is_running:
                self._quarantine.record_end(call.server.id, self._fingerprint)
            subrequest.calls.remove(call)
            if subrequest.answer is None:
                self.retry(subrequest)
            if (
                subrequest.answer is None
                or subrequest is self._trial
                or self._answer_count >= self._min_answers
            ):
                self.wake()
            self._notify_change()

    async def _confirmed(self, call, error):
        """Return the error of a call whose server refuses connections since it was lost."""
        try:
            is_dead = await asyncio.shield(self._outcomes.confirm_death(call))
        except asyncio.CancelledError:
            self._outcomes.cancelled(call)
            raise
        if is_dead:
            return error
        return BackendCut(f"{error}; no other server is reached", notice=error.notice)

    async def _wait_for_turn(self, call, wait_ms):
        """Wait for this node's turn at the server of a call.

        :raises BackendWithheld: when the request should not be sent any more after that.
        """
        server = call.server
        self._dispatcher.metrics.incr("relay.calls_waiting")
        await self._clock.sleep(wait_ms)
        if self._is_complete or call.subrequest.answer is not None:
            raise BackendWithheld(f"{server.id}: the service has answered meanwhile")
        if self._quarantine.is_refused(self._fingerprint):
            raise BackendWithheld(f"{server.id}: the request is in quarantine meanwhile")

    def _is_unanswered(self, call):
        """Return whether a call that was cancelled is late, and its service has not answered."""
        is_late = self._clock.now_ms() >= call.late_ms
        return call.is_written and call.subrequest.answer is None and is_late

    def _record_answer(self, call, answer):
        self._outcomes.answered(call, answer)
        subrequest = call.subrequest
        if subrequest.answer is not None:
            return
        if answer.is_success:
            self.record_success(subrequest, answer)
            return
        subrequest.error = answer
        if self._route.shards or (answer.status >= 500 and self._repeats.may_repeat(subrequest)):
            return
        subrequest.answer = answer
        self._answer_count += 1

    def record_success(self, subrequest, answer):
        """Record a successful answer of a service."""
        subrequest.answer = answer
        self._answer_count += 1
        self._quarantine.record_answer(self._fingerprint, subrequest.service)

    def _record_failure(self, call, error):
        self._outcomes.failed(call, error)
        if error.ran is Ran.NO:
            call.subrequest.runs -= 1
        call.subrequest.error = error

    def _log_calls(self):
        """Log the calls of a request whose answer is late, partial or missing."""
        now_ms = self._clock.now_ms()
        is_full = self._is_complete and self._answer_count == len(self._subrequests)
        if is_full and now_ms <= self._objective_ms:
            return
        call_log.log_calls(
            self._request, self._route, self._subrequests, self._times.work_ms, now_ms
        )

    def retry(self, subrequest):
        """Retry a subrequest if all of its calls have failed."""
        if (
            subrequest.calls
            or subrequest.error is None
            or self._is_complete
            or self._dispatcher.is_stranded
            or not self._repeats.may_repeat(subrequest)
        ):
            self._accept_error_response(subrequest)
            return
        if self.try_repeat(subrequest, "retry sent"):
            return
        self._accept_error_response(subrequest)

    def _accept_error_response(self, subrequest):
        """Use a server's error response as the answer if there is no better one."""
        if subrequest.calls or self._route.shards or subrequest.answer is not None:
            return
        if subrequest.error is not None and not isinstance(subrequest.error, BackendError):
            subrequest.answer = subrequest.error
            self._answer_count += 1

    def try_repeat(self, subrequest, text):
        """Send the subrequest again if the budget allows; return whether it was sent."""
        server = self._choose(subrequest)
        if server is None or not self._repeats.try_spend(subrequest):
            return False
        if not self._send(subrequest, server):
            return False
        dispatcher = self._dispatcher
        dispatcher.metrics.incr("relay.retries" if text == "retry sent" else "relay.hedges")
        if text == "early hedge sent":
            dispatcher.metrics.incr("relay.early_hedges")
        self._notify_change()
        age_ms = round(self._clock.now_ms() - self._request.received_ms)
        budget_left = dispatcher.budget(subrequest.service).left
        call_log.log_repeat(self._request.id, text, subrequest, age_ms, budget_left)
        return True

    async def _wait(self):
        """Wait for the next call to end, or for the next hedge, objective or deadline."""
        now_ms = self._clock.now_ms()
        next_ms = self._request.limit_ms
        if self._answer_count >= self._min_answers:
            next_ms = min(next_ms, self._objective_ms)
        for subrequest in self._subrequests:
            if subrequest.hedge_ms is not None and not subrequest.is_over:
                next_ms = min(next_ms, subrequest.hedge_ms)
        loop = asyncio.get_running_loop()
        self._waiter = loop.create_future()
        delay_s = max(0.0, next_ms - now_ms) / MS_PER_SECOND
        timer = loop.call_later(delay_s, self._wake_at, max(now_ms, next_ms))
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None
        await self._clock.catch_up(max(now_ms, next_ms))

    def _notify_change(self):
        if self._on_change is not None:
            self._on_change()

    def _wake_at(self, due_ms):
        self._dispatcher.lag.observe(self._clock.now_ms() - due_ms)
        self.wake()

    def wake(self):
        """Wake the fan-out to check its subrequests again."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _end_calls(self):
        """Cancel calls in progress: at once without an answer, otherwise after ``LINGER_MS``."""
        loop = asyncio.get_running_loop()
        self._subqueries.cancel()
        for subrequest in self._subrequests:
            for call in subrequest.calls:
                if self._is_complete:
                    loop.call_later(LINGER_MS / MS_PER_SECOND, call.task.cancel)
                    continue
                call.task.cancel()
            if not self._is_complete:
                subrequest.error = None
