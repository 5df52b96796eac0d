"""Sends the subqueries of a request and handles their results."""

import asyncio
from contextlib import aclosing

from ..exceptions import BackendRejected, PeerError, PeerRefused, PeerUnreachable, Ran
from . import call_log
from .messages import Answer
from .subquery_messages import SubqueryAnswer, SubqueryRepeated, pack_subquery

# For fewer shards, direct calls cost less than the extra hop.
MIN_SHARDS = 3


class Subquery:
    """Some subrequests of a request, sent together to the aggregator ``member``.

    An aggregator that has not responded may still run the request, but on at most one server of
    each shard, since repeats were not delegated to it; the requesting node may send one more. An
    aggregator that has accepted the subquery and then falls silent may have used all attempts: the
    requesting node continues only when the connection ends, which also ends the aggregator's work.

    :param owner: :class:`Subqueries`, which receives the results.
    :param subrequests: list of :class:`~auburnhollow.relay.subrequests.Subrequest`.
    :param replaced: the lost :class:`Subquery` that this one replaces, or ``None``.
    :param is_repeat: whether servers may have run the request already.
    """

    __slots__ = ("_owner", "is_repeat", "is_taken", "member", "replaced", "subrequests", "task")

    def __init__(self, owner, member, subrequests, replaced=None, is_repeat=False):
        self._owner = owner
        self.replaced = replaced
        self.is_repeat = is_repeat
        self.member = member
        self.subrequests = subrequests
        self.is_taken = False
        self.task = None
        for subrequest in subrequests:
            subrequest.subquery = self

    async def run(self, aggregators, message):
        """Send the subquery and report each answer, and the end, to the owner."""
        error = None
        try:
            async with aclosing(aggregators.ask(self.member, message)) as answers:
                async for answer in answers:
                    if not self.is_taken:
                        self.is_taken = True
                        self._delegate_repeats(aggregators, message)
                    self._handle(answer)
        except PeerError as failure:
            error = failure
        finally:
            left = [subrequest for subrequest in self.subrequests if subrequest.subquery is self]
            for subrequest in left:
                subrequest.subquery = None
        if left:
            self._owner.handle_lost(self, left, error)

    def may_have_run(self, error):
        """Return whether servers may have run the request, given the error that ended it."""
        return self.is_taken or not isinstance(error, PeerUnreachable | PeerRefused)

    def _delegate_repeats(self, aggregators, message):
        if not self.is_repeat:
            aggregators.delegate_repeats(self.member, message.key)

    def _handle(self, answer):
        if isinstance(answer, SubqueryRepeated):
            for index in answer.indexes:
                self.subrequests[index].runs += 1
            return
        if not isinstance(answer, SubqueryAnswer):
            return
        body = answer.body
        for index, signature in answer.signatures:
            # The records of these shards arrive merged in one body; attach it to the first shard.
            self._owner.record_answer(self.subrequests[index], body, signature)
            body = b""
        for index, runs, tried in answer.failed:
            self._owner.record_failure(self.subrequests[index], runs + self.is_repeat, tried)


class Subqueries:
    """Sends subqueries for a request and passes their results to its fan-out.

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
        """Count a request that may use subqueries."""
        if self._aggregators is not None:
            self._aggregators.count_request()

    def cancel(self):
        """Cancel all subqueries."""
        for subquery in self._sent:
            subquery.task.cancel()

    def can_send(self, data_centre, subrequests):
        """Return whether the subrequests can be sent to an aggregator of the data centre."""
        return (
            self._aggregators is not None
            and len(subrequests) >= MIN_SHARDS
            and self._dispatcher.gate.may_hold(self._request, data_centre)
            and self._aggregators.choose_aggregator(data_centre) is not None
        )

    def send(self, data_centre, subrequests, replaced=None, is_repeat=False):
        """Send the subrequests to an aggregator of the data centre; return whether it was sent."""
        if self._aggregators is None:
            return False
        if len(subrequests) < MIN_SHARDS:
            return False
        if not self._dispatcher.gate.may_hold(self._request, data_centre):
            return False
        member = self._aggregators.choose_aggregator(data_centre)
        if member is None:
            return False
        key = self._aggregators.new_key()
        now_ms = self._dispatcher.clock.now_ms()
        message = pack_subquery(key, self._request, self._route, subrequests, now_ms, is_repeat)
        subquery = Subquery(self, member, subrequests, replaced, is_repeat)
        for subrequest in subrequests:
            subrequest.runs += 1
            subrequest.sends += 1
        self._sent.append(subquery)
        call_log.log_subquery(self._request.id, subquery)
        self._dispatcher.metrics.incr("relay.subqueries")
        work = subquery.run(self._aggregators, message)
        subquery.task = asyncio.get_running_loop().create_task(work)
        return True

    def record_answer(self, subrequest, body, signature):
        """Record that a shard answered; ``body`` may hold records of other shards too."""
        subrequest.subquery = None
        answer = Answer(status=200, headers=(), body=body, signature=signature, load=None)
        self._fan_out.record_success(subrequest, answer)
        self._fan_out.wake()

    def record_failure(self, subrequest, runs, tried):
        """Record that the aggregator got no answer from a shard.

        :param runs: how many servers may have run the request.
        :param tried: ids of the servers that were tried.
        """
        subrequest.subquery = None
        subrequest.runs = runs
        subrequest.tried.extend(tried)
        subrequest.error = BackendRejected("no server of the shard answered", ran=Ran.UNKNOWN)
        self._fan_out.retry(subrequest)
        self._fan_out.wake()

    def handle_lost(self, subquery, subrequests, error):
        """Handle the end of a subquery that did not report on these subrequests.

        They are sent once to another aggregator of the data centre, which has open connections and
        a budget of its own.
        """
        call_log.log_lost_subquery(self._request.id, subquery, subrequests, error)
        self._dispatcher.metrics.incr("relay.subqueries_lost")
        may_have_run = subquery.may_have_run(error)
        for subrequest in subrequests:
            subrequest.error = BackendRejected(f"{subquery.member.id}: {error!r}", ran=Ran.UNKNOWN)
            if not may_have_run:
                subrequest.runs -= 1
                subrequest.sends -= 1
        if may_have_run and isinstance(error, PeerRefused):
            # The aggregator has a reason not to send it, for instance that it crashes servers.
            self._fan_out.wake()
            return
        left = [subrequest for subrequest in subrequests if self._repeats.may_repeat(subrequest)]
        data_centre = subquery.member.data_centre
        if subquery.replaced is None and self.send(data_centre, left, subquery, may_have_run):
            self._fan_out.wake()
            return
        for subrequest in left:
            if may_have_run or subrequest.runs:
                self._fan_out.retry(subrequest)
                continue
            self._fan_out.send_first(subrequest)
        self._fan_out.wake()
