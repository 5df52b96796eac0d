"""What the outcome of a call tells of its backend server."""

import logging
from functools import singledispatch

from ..decisions import decide
from ..exceptions import (
    BackendDied,
    BackendError,
    BackendFull,
    BackendRefused,
    BackendReplaced,
    BackendUnreachable,
)
from . import telling

log = logging.getLogger("relay")


class Outcomes:
    """Notes what the calls of one request show of their servers.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param request: :class:`~auburnhollow.relay.Request`.
    :param times: :class:`~auburnhollow.relay.routetimes.RouteTimes` of its route.
    :param fingerprint: of the request, for quarantine.
    """

    __slots__ = (
        "_choice",
        "_clock",
        "_fingerprint",
        "_metrics",
        "_quarantine",
        "_readmission",
        "_registry",
        "_request",
        "_times",
    )

    def __init__(self, dispatcher, request, times, fingerprint):
        self._choice = dispatcher.choice
        self._clock = dispatcher.clock
        self._metrics = dispatcher.metrics
        self._quarantine = dispatcher.quarantine
        self._readmission = dispatcher.readmission
        self._registry = dispatcher.registry
        self._request = request
        self._times = times
        self._fingerprint = fingerprint

    def answered(self, call, answer):
        """Note an answer, whatever its status."""
        now_ms = self._clock.now_ms()
        call.end(f"status {answer.status}", now_ms)
        if answer.status >= 500:
            telling.failure(self._request.id, call, f"status {answer.status}")
            self._metrics.incr("relay.calls_fault")
            self.note_failure(call, now_ms)
            return
        self._metrics.incr("relay.calls_answered")
        self._metrics.timing("relay.call_ms", now_ms - call.began_ms)
        work_ms = now_ms - call.began_ms - self._choice.distance_ms(call.server)
        ratio = self._times.observe(work_ms, call.slowdown)
        self.view(call).answered(call, ratio, answer.load, now_ms)

    def failed(self, call, error):
        """Note a :class:`~auburnhollow.exceptions.BackendError`."""
        now_ms = self._clock.now_ms()
        call.end(type(error).__name__, now_ms)
        telling.failure(self._request.id, call, str(error))
        self._metrics.incr(f"relay.calls_{error.kind}")
        note(error, call, self, now_ms)

    def ended(self, call):
        """Note a call that was ended without an answer."""
        now_ms = self._clock.now_ms()
        call.end("cancelled", now_ms)
        self._metrics.incr("relay.calls_ended")
        took_ms = now_ms - call.began_ms - self._choice.distance_ms(call.server)
        self.view(call).gave_up(call, took_ms / self._times.work_ms, now_ms)

    def view(self, call):
        """Return the :class:`~auburnhollow.relay.views.ServerView` of a call's server."""
        return self._choice.view(call.server)

    def misdirected(self, server):
        """Note that another server answers at the address."""
        self._registry.misdirected(server)

    def unreachable(self, call):
        """Note that a server took no connection."""
        self._readmission.watch(call.server)

    def died(self, call):
        """Note that a server died under the request."""
        self._quarantine.died(call.server.id, call.leg.service, self._fingerprint)

    def note_failure(self, call, now_ms, is_certain=False):
        """Note a failure of the server, which may be passed over for a while."""
        duration_ms = self.view(call).failed(call, now_ms, is_certain)
        if duration_ms > 0:
            decide(log, "server passed over", server=call.server.id, duration_ms=duration_ms)
            self._metrics.incr("relay.ejections")


@singledispatch
def note(error, call, outcomes, now_ms):
    """Note what an error shows of the call's server."""
    raise TypeError(type(error).__name__)


@note.register
def _(_error: BackendError, call, outcomes, now_ms):
    outcomes.note_failure(call, now_ms)


@note.register
def _(_error: BackendUnreachable, call, outcomes, now_ms):
    outcomes.note_failure(call, now_ms, is_certain=True)
    outcomes.unreachable(call)


@note.register
def _(_error: BackendFull, call, outcomes, now_ms):
    # Trial connections of many nodes would keep it full.
    outcomes.note_failure(call, now_ms, is_certain=True)


@note.register
def _(_error: BackendDied, call, outcomes, now_ms):
    outcomes.died(call)
    outcomes.note_failure(call, now_ms)


@note.register
def _(_error: BackendReplaced, call, outcomes, now_ms):
    outcomes.view(call).gave_up(call, 0.0, now_ms)
    outcomes.misdirected(call.server)


@note.register
def _(_error: BackendRefused, call, outcomes, now_ms):
    outcomes.view(call).shed(call, call.server.slots, now_ms)
    # It ran nothing and may have room in a moment.
    call.leg.tried.remove(call.server.id)
