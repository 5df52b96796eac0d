"""The subqueries of one request."""

import asyncio
from contextlib import aclosing

from ..exceptions import BackendRejected, PeerError, PeerRefused, PeerUnreachable, Ran
from . import telling
from .messages import Answer
from .subquery import SubqueryAnswer, SubqueryRepeated, subquery_of

# Fewer calls than this are not worth a detour.
LEAST_SHARDS = 3


class Subquery:
    """Some legs of a request, asked through ``member``.

    A taker that is not heard of may still be at work. It then runs the request on one server of
    each shard at most, since it was not left the repeats; one more is the asker's. One that has
    taken the subquery and is silent may have used all attempts: only the end of the connection,
    which ends its work, lets the asker go on.

    :param owner: :class:`Subqueries`, which is told what comes of it.
    :param legs: list of :class:`~auburnhollow.relay.legs.Leg`.
    :param before: the :class:`Subquery` that was lost and that this one stands in for, or ``None``.
    :param is_repeat: whether servers may have run the request already.
    """

    __slots__ = ("_owner", "before", "is_repeat", "is_taken", "legs", "member", "task")

    def __init__(self, owner, member, legs, before=None, is_repeat=False):
        self._owner = owner
        self.before = before
        self.is_repeat = is_repeat
        self.member = member
        self.legs = legs
        self.is_taken = False
        self.task = None
        for leg in legs:
            leg.subquery = self

    async def run(self, aggregators, message):
        """Ask, and tell the owner of each answer and of the end."""
        error = None
        try:
            async with aclosing(aggregators.ask(self.member, message)) as answers:
                async for answer in answers:
                    if not self.is_taken:
                        self.is_taken = True
                        self._leave_repeats(aggregators, message)
                    self._take(answer)
        except PeerError as failure:
            error = failure
        finally:
            left = [leg for leg in self.legs if leg.subquery is self]
            for leg in left:
                leg.subquery = None
        if left:
            self._owner.take_lost_legs(self, left, error)

    def may_have_run(self, error):
        """Return whether servers may have run the request, given the error that ended it."""
        return self.is_taken or not isinstance(error, PeerUnreachable | PeerRefused)

    def _leave_repeats(self, aggregators, message):
        if not self.is_repeat:
            aggregators.leave_repeats(self.member, message.key)

    def _take(self, answer):
        if isinstance(answer, SubqueryRepeated):
            for place in answer.places:
                self.legs[place].run += 1
            return
        if not isinstance(answer, SubqueryAnswer):
            return
        body = answer.body
        for place, signature in answer.signatures:
            # The records of all these shards are merged already: one of them bears them.
            self._owner.take_part(self.legs[place], body, signature)
            body = b""
        for place, run, tried in answer.failed:
            self._owner.take_failed_part(self.legs[place], run + self.is_repeat, tried)


class Subqueries:
    """Sends subqueries for a request, and takes what comes of them.

    :param fan_out: :class:`~auburnhollow.relay.fanout.FanOut` of the request.
    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param aggregators: :class:`~auburnhollow.relay.aggregators.Aggregators`, ``None`` to send none.
    :param request: :class:`~auburnhollow.relay.Request`.
    :param route: its :class:`~auburnhollow.routes.Route`.
    :param repeats: :class:`~auburnhollow.relay.repeats.Repeats`.
    """

    __slots__ = (
        "_aggregators",
        "_dispatcher",
        "_fan_out",
        "_repeats",
        "_request",
        "_route",
        "_sent",
    )

    def __init__(self, fan_out, dispatcher, aggregators, request, route, repeats):
        self._fan_out = fan_out
        self._dispatcher = dispatcher
        self._aggregators = aggregators
        self._request = request
        self._route = route
        self._repeats = repeats
        self._sent = []

    def count_request(self):
        """Count a request that subqueries may be sent for."""
        if self._aggregators is not None:
            self._aggregators.count_request()

    def cancel(self):
        """End all subqueries."""
        for subquery in self._sent:
            subquery.task.cancel()

    def send(self, data_centre, legs, before=None, is_repeat=False):
        """Ask for the legs through a node of the data centre; returns whether there is one."""
        if self._aggregators is None:
            return False
        if len(legs) < LEAST_SHARDS:
            return False
        member = self._aggregators.choose_aggregator(data_centre)
        if member is None:
            return False
        key = self._aggregators.new_key()
        now_ms = self._dispatcher.clock.now_ms()
        message = subquery_of(key, self._request, self._route, legs, now_ms, is_repeat)
        subquery = Subquery(self, member, legs, before, is_repeat)
        for leg in legs:
            leg.run += 1
            leg.sent += 1
        self._sent.append(subquery)
        telling.subquery(self._request.id, subquery)
        self._dispatcher.metrics.incr("relay.subqueries")
        work = subquery.run(self._aggregators, message)
        subquery.task = asyncio.get_running_loop().create_task(work)
        return True

    def take_part(self, leg, body, signature):
        """Take that a shard has answered a subquery; ``body`` may hold other shards' records."""
        leg.subquery = None
        answer = Answer(status=200, headers=(), body=body, signature=signature, load=None)
        self._fan_out.take_success(leg, answer)
        self._fan_out.wake()

    def take_failed_part(self, leg, run, tried):
        """Take that a subquery will bring no answer of a shard.

        :param run: how many servers may have run the request.
        :param tried: ids of the servers that were asked.
        """
        leg.subquery = None
        leg.run = run
        leg.tried.extend(tried)
        leg.error = BackendRejected("no server of the shard answered", ran=Ran.UNKNOWN)
        self._fan_out.retry(leg)
        self._fan_out.wake()

    def take_lost_legs(self, subquery, legs, error):
        """Take that a subquery has ended before it told of these legs.

        Another node there is asked instead, once: its connections are open, and it has a budget.
        """
        telling.lost_subquery(self._request.id, subquery, legs, error)
        self._dispatcher.metrics.incr("relay.subqueries_lost")
        may_have_run = subquery.may_have_run(error)
        for leg in legs:
            leg.error = BackendRejected(f"{subquery.member.id}: {error!r}", ran=Ran.UNKNOWN)
            if not may_have_run:
                leg.run -= 1
                leg.sent -= 1
        if may_have_run and isinstance(error, PeerRefused):
            # It knows why the request must not be sent, for instance that it crashes servers.
            self._fan_out.wake()
            return
        left = [leg for leg in legs if self._repeats.may_repeat(leg)]
        centre = subquery.member.data_centre
        if subquery.before is None and self.send(centre, left, subquery, may_have_run):
            self._fan_out.wake()
            return
        for leg in left:
            if may_have_run or leg.run:
                self._fan_out.retry(leg)
                continue
            self._fan_out.send_first(leg)
        self._fan_out.wake()
