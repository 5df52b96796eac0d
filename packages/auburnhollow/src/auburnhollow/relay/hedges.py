"""Decides when a part of a request goes to a second server as well."""

import math

from ..placement import hedge_at_ms

# Time reserved for the answer to reach the caller.
ANSWER_MS = 15.0
HEDGE_RETRY_MS = 30.0
# An early hedge leaves the budget room for this many repeats of calls that fail or are late.
EARLY_HEDGE_ROOM = 3


class Hedges:
    """The hedges of one request.

    :param fan_out: :class:`~auburnhollow.relay.fanout.FanOut` of the request, which sends them.
    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param request: :class:`~auburnhollow.relay.Request`.
    :param route: its :class:`~auburnhollow.routes.Route`.
    :param repeats: :class:`~auburnhollow.relay.repeats.Repeats`.
    """

    __slots__ = (
        "_answer_by_ms",
        "_choice",
        "_clock",
        "_dispatcher",
        "_fan_out",
        "_repeats",
        "_route",
    )

    def __init__(self, fan_out, dispatcher, request, route, repeats):
        self._fan_out = fan_out
        self._dispatcher = dispatcher
        self._choice = dispatcher.choice
        self._clock = dispatcher.clock
        self._route = route
        self._repeats = repeats
        self._answer_by_ms = request.received_ms + route.objective_ms - ANSWER_MS

    def due_ms(self, call):
        """Return when to send a hedge for a call that has just been sent."""
        subrequest = call.subrequest
        if not (self._dispatcher.hurries and self._route.shards):
            return call.late_ms
        if self._repeats.is_used_up(subrequest):
            return call.late_ms
        nearest_ms = math.inf
        for server in self._fan_out.servers(subrequest):
            if server.id not in subrequest.tried:
                nearest_ms = min(nearest_ms, self._choice.round_trip_ms(server))
        if nearest_ms == math.inf:
            return call.late_ms
        round_trips_ms = (self._choice.round_trip_ms(call.server), nearest_ms)
        return hedge_at_ms(
            call.began_ms,
            call.late_ms,
            self._answer_by_ms,
            round_trips_ms,
            self._dispatcher.times(self._route).work_ms,
        )

    def _mark_late(self, subrequest, now_ms):
        """Mark the servers of late calls; return when the next call is late, or ``None``."""
        next_ms = None
        for call in subrequest.calls:
            if now_ms < call.late_ms:
                next_ms = call.late_ms if next_ms is None else min(next_ms, call.late_ms)
                continue
            self._choice.view(call.server).mark_late(call.began_ms)
            self._dispatcher.reach.record_silence(call.server)
        return next_ms

    def send_due(self, subrequests):
        """Send hedges to other servers for calls that are late, or too late to wait for that."""
        now_ms = self._clock.now_ms()
        for subrequest in subrequests:
            if subrequest.is_over or subrequest.hedge_ms is None or now_ms < subrequest.hedge_ms:
                continue
            subrequest.hedge_ms = next_ms = self._mark_late(subrequest, now_ms)
            if self._repeats.is_used_up(subrequest):
                continue
            is_early = next_ms is not None
            if is_early and not self._may_hedge_early(subrequest):
                continue
            if self._is_full(subrequest):
                subrequest.hedge_ms = now_ms + HEDGE_RETRY_MS
                continue
            text = "early hedge sent" if is_early else "hedge sent"
            if not self._repeats.may_repeat(subrequest) or not self._fan_out.try_repeat(
                subrequest, text
            ):
                subrequest.hedge_ms = now_ms + HEDGE_RETRY_MS
            if is_early:
                subrequest.hedge_ms = min(next_ms, subrequest.hedge_ms)

    def _may_hedge_early(self, subrequest):
        """Return whether to send a hedge for a single call that is not late yet."""
        has_room = self._dispatcher.budget(subrequest.service).left > EARLY_HEDGE_ROOM
        return has_room and len(subrequest.calls) == 1

    def _is_full(self, subrequest):
        """Return whether no server of the service has a free slot, so that a hedge would wait."""
        if not self._dispatcher.is_short_of_room:
            return False
        return self._dispatcher.room.queue_ms(self._fan_out.servers(subrequest)) > 0.0
