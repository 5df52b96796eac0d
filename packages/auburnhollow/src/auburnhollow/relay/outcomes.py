"""Updates a backend server's state from the outcomes of calls."""

import logging
from functools import singledispatch

from ..decisions import log_decision
from ..exceptions import (
    BackendDied,
    BackendError,
    BackendFull,
    BackendLost,
    BackendNoRoom,
    BackendOversized,
    BackendRefused,
    BackendReplaced,
    BackendUnreachable,
    BackendWithheld,
)
from . import call_log

log = logging.getLogger("relay")


class OutcomeRecorder:
    """Records the outcomes of one request's calls.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param request: :class:`~auburnhollow.relay.Request`.
    :param route: :class:`~auburnhollow.routes.Route`.
    :param fingerprint: the request's fingerprint for the quarantine.
    """

    __slots__ = (
        "_choice",
        "_clock",
        "_end_checks",
        "_fingerprint",
        "_hold_offs",
        "_metrics",
        "_quarantine",
        "_reach",
        "_readmission",
        "_registry",
        "_request",
        "_room",
        "_route",
        "_times",
    )

    def __init__(self, dispatcher, request, route, fingerprint):
        self._choice = dispatcher.choice
        self._clock = dispatcher.clock
        self._end_checks = dispatcher.end_checks
        self._hold_offs = dispatcher.gate.hold_offs
        self._metrics = dispatcher.metrics
        self._quarantine = dispatcher.quarantine
        self._reach = dispatcher.reach
        self._readmission = dispatcher.readmission
        self._registry = dispatcher.registry
        self._request = request
        self._room = dispatcher.room if dispatcher.has_admission else None
        self._route = route
        self._times = dispatcher.times(route)
        self._fingerprint = fingerprint

    def answered(self, call, answer):
        """Record an answer of any status; a status of 500 or above counts as a failure."""
        now_ms = self._clock.now_ms()
        self._reach.record_answer()
        self._hear(call, answer.notice)
        call.end(f"status {answer.status}", now_ms)
        if answer.status >= 500:
            call_log.log_failure(self._request, call, f"status {answer.status}", self._fingerprint)
            self._metrics.incr("relay.calls_fault")
            self.record_failure(call, now_ms)
            return
        self._end_checks.record_answer(call.server)
        self._metrics.incr("relay.calls_answered")
        self._metrics.timing("relay.call_ms", now_ms - call.began_ms)
        if answer.slowness is not None:
            self._metrics.incr("relay.slowness_heard")
            self._choice.has_slowness = True
        work_ms = now_ms - call.began_ms - self._choice.round_trip_ms(call.server)
        ratio = self._times.observe(work_ms, call.slowdown)
        self.view(call).answered(call, ratio, answer.load, now_ms, answer.slowness)
        pace = self._choice.pace
        if pace is not None:
            pace.answered(call.server, call.began_ms, ratio, answer.load)
        if self._room is not None:
            self._room.hear(call.server, self._route.name, answer.load, work_ms)

    def failed(self, call, error):
        """Record a :class:`~auburnhollow.exceptions.BackendError`."""
        now_ms = self._clock.now_ms()
        self._hear(call, error.notice)
        call.end(type(error).__name__, now_ms)
        call_log.log_failure(self._request, call, str(error), self._fingerprint)
        self._metrics.incr(f"relay.calls_{error.kind}")
        record_error(error, call, self, now_ms)

    def _hear(self, call, notice):
        """Apply what a server says of itself, if it has said anything."""
        if notice is None:
            return
        self._choice.hear(call.server, notice, call.began_ms)
        if notice.is_leaving:
            self._registry.mark_leaving(call.server.incarnation, "answer")
        if notice.hold_ms:
            self._hold_offs.hear(call.server.incarnation, notice.hold_ms)

    def cancelled(self, call):
        """Record a call that was cancelled before it was answered."""
        now_ms = self._clock.now_ms()
        call.end("cancelled", now_ms)
        self._metrics.incr("relay.calls_ended")
        took_ms = now_ms - call.began_ms - self._choice.round_trip_ms(call.server)
        self.view(call).cancelled(call, took_ms / self._times.work_ms, now_ms)

    def view(self, call):
        """Return the :class:`~auburnhollow.relay.views.ServerView` of a call's server."""
        return self._choice.view(call.server)

    def misdirected(self, server):
        """Remove a server from the registry because another one answers at its address."""
        self._registry.misdirected(server)

    def full(self, call):
        """Record that the server accepted no more connections."""
        if self._room is not None:
            self._room.hear_full(call.server)

    def refused(self, call, now_ms):
        """Record that the server refused a call because it is full."""
        self.view(call).shed(call, call.server.slots, now_ms)
        if self._room is not None:
            self._room.hear_full(call.server)

    def unreachable(self, call):
        """Avoid a server that accepted no connection until it accepts one."""
        self._readmission.watch(call.server)

    def in_trouble(self, call):
        """Record that a server accepted no connection, or that one was lost."""
        self._reach.record_refusal(call.server)

    def spoke(self):
        """Record that a server was reached, although it did not answer the request."""
        self._reach.record_answer()

    def unanswered(self, call):
        """Check whether the server that left a call unanswered has ended without a sign."""
        if self._reach.is_cut_off:
            return
        self._end_checks.check(call.server, lambda: self._fell_silent(call))

    def confirm_death(self, call):
        """Report that the server died under the request, unless this node's links are at fault.

        :returns: a task that returns whether the server died.
        """
        self._quarantine.mark_lost(call.server.id, self._fingerprint)
        return self._end_checks.confirm(call.server, lambda: self.died(call))

    def died(self, call, is_silent=False):
        """Report to the quarantine that the server died while it ran the request.

        :param is_silent: whether its end was concluded from its silence.
        """
        self._quarantine.record_death(
            call.server.id,
            call.subrequest.service,
            self._fingerprint,
            incarnation=call.server.started_ms,
            is_silent=is_silent,
        )

    def _fell_silent(self, call):
        self.died(call, is_silent=True)
        self.unreachable(call)

    def stumbled(self, call):
        """Record that a server whose pace is being found has failed or refused a call."""
        if self._choice.pace is not None:
            self._choice.pace.stumbled(call.server, call.began_ms)

    def record_failure(self, call, now_ms, eject_at_once=False):
        """Record a failure of the server, which may be ejected for a while."""
        self.stumbled(call)
        duration_ms = self.view(call).failed(call, now_ms, eject_at_once)
        if duration_ms > 0:
            log_decision(log, "server passed over", server=call.server.id, duration_ms=duration_ms)
            self._metrics.incr("relay.ejections")


@singledispatch
def record_error(error, call, outcomes, now_ms):
    """Update the state of the call's server after an error of the call."""
    raise TypeError(type(error).__name__)


@record_error.register
def _(_error: BackendError, call, outcomes, now_ms):
    outcomes.record_failure(call, now_ms)


@record_error.register
def _(_error: BackendUnreachable, call, outcomes, now_ms):
    outcomes.record_failure(call, now_ms, eject_at_once=True)
    outcomes.unreachable(call)
    outcomes.in_trouble(call)


@record_error.register
def _(_error: BackendFull, call, outcomes, now_ms):
    # No readmission probes: probe connections of many nodes would keep it full.
    outcomes.full(call)
    outcomes.record_failure(call, now_ms, eject_at_once=True)


@record_error.register
def _(_error: BackendDied, call, outcomes, now_ms):
    outcomes.record_failure(call, now_ms)
    outcomes.in_trouble(call)


@record_error.register
def _(_error: BackendLost, call, outcomes, now_ms):
    outcomes.record_failure(call, now_ms)
    outcomes.in_trouble(call)
    outcomes.unanswered(call)


@record_error.register
def _(_error: BackendOversized, call, outcomes, now_ms):
    # It has reached this node, and would fill its memory again.
    outcomes.spoke()
    outcomes.record_failure(call, now_ms, eject_at_once=True)


@record_error.register
def _(_error: BackendNoRoom, call, outcomes, now_ms):
    outcomes.spoke()
    outcomes.view(call).cancelled(call, 0.0, now_ms)


@record_error.register
def _(_error: BackendWithheld, call, outcomes, now_ms):
    outcomes.view(call).cancelled(call, 0.0, now_ms)


@record_error.register
def _(_error: BackendReplaced, call, outcomes, now_ms):
    outcomes.spoke()
    outcomes.view(call).cancelled(call, 0.0, now_ms)
    outcomes.misdirected(call.server)


@record_error.register
def _(_error: BackendRefused, call, outcomes, now_ms):
    outcomes.spoke()
    outcomes.refused(call, now_ms)
    outcomes.stumbled(call)
    # The server did not run the request and may have capacity soon, so it may be tried again.
    call.subrequest.tried.remove(call.server.id)
