"""Answering the subqueries of other nodes."""

import asyncio
import logging

from ..clock import MS_PER_SECOND
from ..decisions import decide
from ..exceptions import NotReady
from .fanout import FanOut
from .merge import merge
from .subquery import SubqueryAnswer, SubqueryRepeated, SubqueryTaken, request_in

log = logging.getLogger("relay")

# One way between the data centres of a region; the exact time changes little.
WAY_MS = 4.0
# Until this share of the objective, parts wait for the others: one message then brings all.
FIRST_SHARE = 0.5


class SubqueryServer:
    """Asks the shards of a subquery, and tells what comes of each.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param is_open: function that returns whether subqueries are taken.
    """

    __slots__ = ("_dispatcher", "_in_progress", "_is_open")

    def __init__(self, dispatcher, is_open):
        self._dispatcher = dispatcher
        self._is_open = is_open
        self._in_progress = {}

    @property
    def in_progress(self):
        """How many subqueries are being answered."""
        return len(self._in_progress)

    async def allow_repeats(self, message):
        """Take a :class:`~auburnhollow.relay.subquery.SubqueryRepeats`."""
        progress = self._in_progress.get(message.key)
        if progress is not None:
            progress.allow_repeats()

    async def answer(self, message):
        """Yield the answers to a :class:`~auburnhollow.relay.subquery.SubqueryAsk`.

        :raises QueryError: when the request is not sent to any server.
        """
        if not self._is_open():
            raise NotReady("this node takes no subqueries")
        dispatcher = self._dispatcher
        request, route = request_in(message, dispatcher.clock.now_ms(), WAY_MS)
        progress = Progress(dispatcher, request, route, message.is_repeat)
        dispatcher.metrics.incr("relay.subqueries_taken")
        decide(
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


class Progress:
    """What has come of a subquery's shards, and what the asker has been told.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param is_repeat: whether servers may have run the request for another node.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_fan_out",
        "_first_ms",
        "_legs",
        "_route",
        "_runs_told",
        "_told",
        "_untold",
    )

    def __init__(self, dispatcher, request, route, is_repeat):
        self._clock = dispatcher.clock
        self._route = route
        self._changed = asyncio.Event()
        # No least share: the asker decides what is enough.
        self._fan_out = FanOut(
            dispatcher,
            request,
            route,
            route.shards,
            least=0,
            on_change=self._changed.set,
            announce=self._announce,
            is_repeat=is_repeat,
        )
        self._fan_out.bound_repeats(attempts=1)
        self._legs = self._fan_out.legs
        self._first_ms = request.received_ms + route.objective_ms * FIRST_SHARE
        self._told = set()
        self._runs_told = [1] * len(self._legs)
        self._untold = []

    def allow_repeats(self):
        """Let shards be asked of second servers."""
        self._fan_out.bound_repeats(self._route.attempts)

    async def run(self):
        """Ask the shards until each has answered or failed for good, or the time is over."""
        try:
            await self._fan_out.run()
        finally:
            self._changed.set()

    async def messages(self, task):
        """Yield messages for the asker until all is told.

        :param task: of :meth:`run`.
        :raises QueryError: when the request is not sent to any server.
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
                yield SubqueryRepeated(places=repeated)
            self._let_go(repeated)
            if self._clock.now_ms() >= self._first_ms and self._has_news():
                yield self._answer(is_end=False)

    async def _announce(self, leg):
        """Wait until a repeat has been told: its asker must count it even if this node ends."""
        if leg.run <= self._runs_told[self._legs.index(leg)]:
            return
        told = asyncio.get_running_loop().create_future()
        self._untold.append((leg, told))
        self._changed.set()
        await told

    def _let_go(self, places):
        """Let the repeats be sent that the asker has been told of."""
        for place in places:
            self._runs_told[place] += 1
        waiting, self._untold = self._untold, []
        for leg, told in waiting:
            if leg.run > self._runs_told[self._legs.index(leg)]:
                self._untold.append((leg, told))
                continue
            if not told.done():
                told.set_result(None)

    async def _wait(self):
        """Wait for a change, or for the moment of the first answer."""
        wait_ms = self._first_ms - self._clock.now_ms()
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
        for place, leg in enumerate(self._legs):
            untold = leg.run - self._runs_told[place]
            found.extend([place] * untold)
        return found

    def _has_news(self):
        return any(leg.is_over and place not in self._told for place, leg in enumerate(self._legs))

    def _answer(self, is_end):
        bodies = []
        signatures = []
        failed = []
        for place, leg in enumerate(self._legs):
            if place in self._told or not (leg.is_over or is_end):
                continue
            self._told.add(place)
            if leg.answer is None:
                failed.append([place, self._run_of(leg), leg.tried])
                # The asker goes on with it from here.
                leg.error = None
                continue
            bodies.append(leg.answer.body)
            signatures.append([place, leg.answer.signature])
        return SubqueryAnswer(
            body=merge(bodies, self._route.most_records),
            signatures=signatures,
            failed=failed,
            is_end=is_end,
        )

    def _run_of(self, leg):
        """Return on how many servers the leg counts as run.

        A request that crashes servers must not be given another one by the asker either.
        """
        return self._route.attempts if self._fan_out.is_suspect else leg.run
