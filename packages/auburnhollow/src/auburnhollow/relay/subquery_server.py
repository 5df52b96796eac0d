"""Answers the subqueries of other nodes: the aggregator's side."""

import asyncio
import logging

from ..clock import MS_PER_SECOND
from ..decisions import log_decision
from ..exceptions import NotReady
from .fanout import FanOut
from .merge import merge
from .subquery_messages import SubqueryAnswer, SubqueryRepeated, SubqueryTaken, unpack_subquery

log = logging.getLogger("relay")

# Typical one-way latency between data centres of a region; the exact value matters little.
ONE_WAY_MS = 4.0
# Share of the objective up to which results are held back, to be sent in one message.
FIRST_ANSWER_SHARE = 0.5


class SubqueryServer:
    """Sends the request of a subquery to its shards and reports each shard's result.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param is_open: function that returns whether this node accepts subqueries.
    :param check: function that raises a :class:`~auburnhollow.exceptions.QueryError` for a request
        that this node's configuration does not allow, or ``None``.
    """

    __slots__ = ("_check", "_dispatcher", "_in_progress", "_is_open")

    def __init__(self, dispatcher, is_open, check=None):
        self._check = check
        self._dispatcher = dispatcher
        self._is_open = is_open
        self._in_progress = {}

    @property
    def in_progress(self):
        """How many subqueries are being answered."""
        return len(self._in_progress)

    async def allow_repeats(self, message):
        """Handle a :class:`~auburnhollow.relay.subquery_messages.SubqueryRepeats`."""
        progress = self._in_progress.get(message.key)
        if progress is not None:
            progress.allow_repeats()

    async def answer(self, message):
        """Yield the answers to a :class:`~auburnhollow.relay.subquery_messages.SubqueryAsk`.

        :raises QueryError: if the request is not sent to any server.
        """
        if not self._is_open():
            raise NotReady("this node accepts no subqueries")
        dispatcher = self._dispatcher
        request, route = unpack_subquery(message, dispatcher.clock.now_ms(), ONE_WAY_MS)
        if self._check is not None:
            self._check(request)
        progress = SubqueryProgress(dispatcher, request, route, message.is_repeat)
        dispatcher.metrics.incr("relay.subqueries_taken")
        log_decision(
            log,
            "subquery taken",
            request.id,
            route=route.name,
            shards=len(route.shards),
            age_ms=round(message.age_ms),
            left_ms=round(message.remaining_ms),
        )
        self._in_progress[message.key] = progress
        task = asyncio.get_running_loop().create_task(progress.run())
        try:
            yield SubqueryTaken()
            async for each in progress.messages(task):
                yield each
        finally:
            self._in_progress.pop(message.key, None)
            task.cancel()


class SubqueryProgress:
    """Runs a subquery and tracks which results have been reported to the requesting node.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param is_repeat: whether servers may have run the request for another node.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_fan_out",
        "_first_answer_ms",
        "_reported",
        "_reported_runs",
        "_route",
        "_subrequests",
        "_unreported",
    )

    def __init__(self, dispatcher, request, route, is_repeat):
        self._clock = dispatcher.clock
        self._route = route
        self._changed = asyncio.Event()
        # No minimum: the requesting node decides how many answers are enough.
        self._fan_out = FanOut(
            dispatcher,
            request,
            route,
            route.shards,
            min_answers=0,
            on_change=self._changed.set,
            before_send=self._wait_until_reported,
            is_repeat=is_repeat,
        )
        self._fan_out.limit_attempts(attempts=1)
        self._subrequests = self._fan_out.subrequests
        self._first_answer_ms = request.received_ms + route.objective_ms * FIRST_ANSWER_SHARE
        self._reported = set()
        self._reported_runs = [1] * len(self._subrequests)
        self._unreported = []

    def allow_repeats(self):
        """Allow retries and hedges, up to the route's attempts."""
        self._fan_out.limit_attempts(self._route.attempts)

    async def run(self):
        """Call the shards until each has answered or finally failed, or the deadline passes."""
        try:
            await self._fan_out.run()
        finally:
            self._changed.set()

    async def messages(self, task):
        """Yield messages for the requesting node until all results are reported.

        :param task: the task of :meth:`run`.
        :raises QueryError: if the request is not sent to any server.
        """
        while True:
            await self._wait()
            self._changed.clear()
            if task.done():
                task.result()
                yield self._answer(is_end=True)
                return
            repeated = self._new_repeats()
            if repeated:
                yield SubqueryRepeated(indexes=repeated)
            self._release_repeats(repeated)
            if self._clock.now_ms() >= self._first_answer_ms and self._has_new_results():
                yield self._answer(is_end=False)

    async def _wait_until_reported(self, subrequest):
        """Wait until a repeat is reported; the requesting node must count it if this one dies."""
        if subrequest.runs <= self._reported_runs[self._subrequests.index(subrequest)]:
            return
        reported = asyncio.get_running_loop().create_future()
        self._unreported.append((subrequest, reported))
        self._changed.set()
        await reported

    def _release_repeats(self, indexes):
        """Release the repeats that have been reported to the requesting node."""
        for index in indexes:
            self._reported_runs[index] += 1
        waiting, self._unreported = self._unreported, []
        for subrequest, reported in waiting:
            if subrequest.runs > self._reported_runs[self._subrequests.index(subrequest)]:
                self._unreported.append((subrequest, reported))
                continue
            if not reported.done():
                reported.set_result(None)

    async def _wait(self):
        """Wait for a change, or for the time of the first answer."""
        wait_ms = self._first_answer_ms - self._clock.now_ms()
        if wait_ms <= 0:
            await self._changed.wait()
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(wait_ms / MS_PER_SECOND, self._changed.set)
        try:
            await self._changed.wait()
        finally:
            timer.cancel()

    def _new_repeats(self):
        found = []
        for index, subrequest in enumerate(self._subrequests):
            unreported = subrequest.runs - self._reported_runs[index]
            found.extend([index] * unreported)
        return found

    def _has_new_results(self):
        return any(
            subrequest.is_over and index not in self._reported
            for index, subrequest in enumerate(self._subrequests)
        )

    def _answer(self, is_end):
        bodies = []
        signatures = []
        failed = []
        for index, subrequest in enumerate(self._subrequests):
            if index in self._reported or not (subrequest.is_over or is_end):
                continue
            self._reported.add(index)
            if subrequest.answer is None:
                failed.append([index, self._runs_of(subrequest), subrequest.tried])
                # From here on, the requesting node retries it.
                subrequest.error = None
                continue
            bodies.append(subrequest.answer.body)
            signatures.append([index, subrequest.answer.signature])
        return SubqueryAnswer(
            body=merge(bodies, self._route.most_records),
            signatures=signatures,
            failed=failed,
            is_end=is_end,
        )

    def _runs_of(self, subrequest):
        """Return how many servers to report as having run the subrequest.

        For a request that crashes servers this is the maximum, so that the requesting node does not
        send it to another server either.
        """
        return self._route.attempts if self._fan_out.is_suspect else subrequest.runs
