"""Coordinates a read request: admission, choice of snapshot, fan-out, merge, coverage."""

import asyncio

from ..configuration.schema import CHECK
from ..exceptions import BadRequest, DeadlinePassed, NotReady, QueryError, Ran, Unavailable
from ..limits import admitted
from ..quarantine import fingerprint_of
from ..records import Record
from ..retry import jittered_ms
from ..routing.plan import find_by_labels, find_service, plan_request
from .budgets import ServiceBudgets
from .coverage import Coverage, Gap, Outcome, merge_rows
from .forward import may_forward, pack_answer, unpack_search
from .jobs import RegionJob, ShardJob
from .messages import Answer

NOT_READY_RETRY_MS = 1_000.0
UNAVAILABLE_RETRY_MS = 500.0
COMPLETE = "complete"


class Components:
    """The objects of one node that take part in answering requests.

    Each is passed as a keyword argument named like its slot.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param configuration_holder: :class:`~auburnhollow.configuration.ConfigurationHolder`.
    """

    __slots__ = (
        "backends",
        "clock",
        "ejection",
        "end_checks",
        "events",
        "forwarder",
        "limiter",
        "configuration_holder",
        "leaving",
        "metrics",
        "budgets_by_service",
        "quarantine",
        "random",
        "reach",
        "replicas",
        "shares",
        "snapshots",
    )

    def __init__(self, **parts):
        self.budgets_by_service = {}
        for name, part in parts.items():
            setattr(self, name, part)

    def configuration(self):
        """Return the configuration in force.

        :raises NotReady: when there is none yet.
        """
        configuration = self.configuration_holder.configuration
        if configuration is None:
            raise NotReady("this node has no configuration yet", retry_after_ms=NOT_READY_RETRY_MS)
        return configuration

    def budgets(self, service):
        """Return the :class:`ServiceBudgets` of a service."""
        found = self.budgets_by_service.get(service.name)
        if found is None or not found.matches(service.policy):
            found = ServiceBudgets(self.clock, service.policy)
            self.budgets_by_service[service.name] = found
        return found


class Coordinator:
    """Answers read requests.

    :param components: :class:`Components`.

    >>> answer = await coordinator.search(search)
    >>> answer.coverage.is_complete
    True
    """

    __slots__ = ("_components", "_running_searches")

    def __init__(self, components):
        self._components = components
        self._running_searches = {}

    async def search(self, search):
        """Return the :class:`Answer` to a :class:`Search`.

        A caller that repeats a request with the same id while the first is in progress gets the
        same answer; the backend servers are not called twice.

        :raises QueryError: when there is no answer.
        """
        key = (search.caller, search.request_id)
        running = self._running_searches.get(key)
        if running is not None and running.search == search:
            self._components.metrics.incr("scatter.joined")
            running.waiting += 1
            return await self._wait(key, running)
        running = RunningSearch(search, asyncio.create_task(self._admit(search)))
        self._running_searches[key] = running
        return await self._wait(key, running)

    async def _wait(self, key, running):
        try:
            return await asyncio.shield(running.task)
        finally:
            running.waiting -= 1
            if running.waiting == 0:
                running.task.cancel()
                if self._running_searches.get(key) is running:
                    del self._running_searches[key]

    async def _admit(self, search):
        components = self._components
        with admitted(components.limiter, search.request_class):
            answer = await self._answer(search)
            if answer.coverage.is_complete:
                components.limiter.record_success()
            return answer

    async def _answer(self, search):
        components = self._components
        arrived_ms = components.clock.now_ms()
        service = self._service(search)
        fingerprint = fingerprint_of(service.name, search.query)
        components.quarantine.check(fingerprint)
        plan = self._plan(service, search, search.at_least)
        until_ms = arrived_ms + _time_limit_ms(search)
        result = await self._fan_out(search, plan, until_ms, fingerprint)
        if self._lacks_version(result) and components.clock.now_ms() < until_ms:
            retry_plan = self._plan(self._service(search), search, search.at_least)
            if retry_plan.snapshot.version != plan.snapshot.version:
                components.metrics.incr("scatter.restarts")
                result = await self._fan_out(search, retry_plan, until_ms, fingerprint)
        return self._merge(search, result)

    def _service(self, search):
        configuration = self._components.configuration()
        if search.service is None:
            return find_by_labels(configuration, search.selector, search.kind)
        return find_service(configuration, search.service, search.kind)

    def _plan(self, service, search, at_least):
        snapshot = self._components.snapshots.choose(service, at_least)
        plan = plan_request(self._components.configuration(), service, snapshot, search.selector)
        if search.kind == CHECK and len(plan.shards) > 1:
            raise BadRequest(
                f"a check reads one shard, the selector matches {len(plan.shards)}",
                request=search,
            )
        return plan

    async def answer_region(self, message):
        """Answer a :class:`RegionAsk` of a node in another region by calling servers directly.

        :raises QueryError: when this node can't; the other node then calls the servers itself.
        """
        search = unpack_search(message)
        configuration = self._components.configuration()
        service = find_service(configuration, message.service, search.kind)
        fingerprint = fingerprint_of(service.name, search.query)
        self._components.quarantine.check(fingerprint)
        snapshot = self._components.snapshots.for_version(service, message.version)
        plan = plan_request(configuration, service, snapshot, {})
        plan.shards = message.shards
        until_ms = self._components.clock.now_ms() + message.deadline_ms
        with admitted(self._components.limiter, search.request_class):
            result = await self._fan_out(search, plan, until_ms, fingerprint, forwards=False)
        return pack_answer(search, result.outcomes, result.ran is not Ran.NO)

    async def _fan_out(self, search, plan, until_ms, fingerprint, forwards=True):
        """Query all shards; return the :class:`Result`."""

        def make_shard_job(shard):
            return ShardJob(self._components, search, plan, shard, until_ms, fingerprint)

        region_groups, direct = [], plan.shards
        if (
            forwards
            and may_forward(search)
            and not self._components.quarantine.is_suspect(fingerprint)
        ):
            region_groups, direct = self._components.forwarder.region_groups(
                self._components.configuration(), plan
            )
        jobs = [make_shard_job(shard) for shard in direct]
        for group in region_groups:
            jobs.append(RegionJob(self._components, search, plan, group, until_ms, make_shard_job))
        tasks = {asyncio.create_task(job.run()): job for job in jobs}
        try:
            outcomes = await self._gather(tasks, until_ms)
        except QueryError as error:
            if any(job.ran is not Ran.NO for job in jobs):
                error.ran = Ran.UNKNOWN
            raise
        finally:
            for task in tasks:
                task.cancel()
        in_doubt = any(job.ran is not Ran.NO for job in jobs)
        return Result(plan=plan, outcomes=outcomes, ran=Ran.UNKNOWN if in_doubt else Ran.NO)

    async def _gather(self, tasks, until_ms):
        remaining_ms = max(0.0, until_ms - self._components.clock.now_ms())
        done, pending = await asyncio.wait(
            tasks, timeout=remaining_ms / 1000, return_when=asyncio.FIRST_EXCEPTION
        )
        for task in done:
            if task.exception() is not None:
                raise task.exception()
        if pending:
            self._components.limiter.record_overload()
        outcomes = []
        for task in done:
            outcomes += task.result()
        for task in pending:
            for shard in tasks[task].shards:
                outcomes.append(Outcome.missing(shard, Gap.DEADLINE))
        return outcomes

    def _lacks_version(self, result):
        """Return whether a shard has no server with the version; record it if so."""
        if not any(outcome.gap is Gap.LACKS_VERSION for outcome in result.outcomes):
            return False
        service, version = result.plan.service.name, result.plan.snapshot.version
        self._components.events.record("version-lacking", service=service, version=version)
        self._components.snapshots.mark_lacking(service, version)
        return True

    def _merge(self, search, result):
        outcomes = result.outcomes
        coverage = Coverage(result.plan.shards, outcomes)
        if coverage.answered == 0 and not any(outcome.rows for outcome in outcomes):
            raise self._no_answer_error(search, coverage, result.ran)
        if not coverage.is_complete:
            self._components.metrics.incr("scatter.partial")
        return Answer(
            request_id=search.request_id,
            service=result.plan.service.name,
            snapshot=result.plan.snapshot.version,
            rows=merge_rows(outcomes, search.rows),
            coverage=coverage,
        )

    def _no_answer_error(self, search, coverage, ran):
        outcomes = list(coverage.gaps.values())
        retry_ms = jittered_ms(self._components.random, UNAVAILABLE_RETRY_MS)
        reasons = sorted({outcome.gap.value for outcome in outcomes})
        text = f"none of {coverage.asked} shards answered: {', '.join(reasons)}"
        kind = Unavailable
        if any(outcome.gap is Gap.DEADLINE for outcome in outcomes):
            kind = DeadlinePassed
        return kind(text, ran, retry_after_ms=retry_ms, request=search)


class Result(Record):
    """The result of one fan-out, with one :class:`Outcome` for each shard of the plan."""

    __slots__ = ("plan", "outcomes", "ran")


class RunningSearch:
    """A request in progress; ``waiting`` is the number of callers that wait for it."""

    __slots__ = ("search", "task", "waiting")

    def __init__(self, search, task):
        self.search = search
        self.task = task
        self.waiting = 1


def _time_limit_ms(search):
    if search.coverage == COMPLETE:
        return max(search.deadline_ms, search.limit_ms)
    return search.deadline_ms
