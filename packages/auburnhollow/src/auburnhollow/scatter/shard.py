"""Queries one shard for one request: choice of replica, call, hedges, retries."""

import asyncio

from ..backends import ShardCall
from ..exceptions import (
    BackendDied,
    BackendError,
    BackendFault,
    BackendLacksVersion,
    BackendRefused,
    BackendUnreachable,
    Ran,
)
from ..identifiers import new_id
from ..limits.classes import REPORT
from ..routing.calls import call_server, next_server
from .coverage import Gap, Outcome

MAX_HEDGES = 2
RETRY_PAUSE_MS = 2.0
MAX_RETRY_PAUSE_MS = 100.0
SUSPECT_DELAY_MS = 25.0


class ShardQuery:
    """Queries one shard until it answers or the time is up.

    :param components: :class:`~auburnhollow.scatter.coordinator.Components` of this node.
    :param search: :class:`~auburnhollow.scatter.Search`.
    :param plan: :class:`~auburnhollow.routing.Plan`.
    :param shard: name of the shard.
    :param until_ms: when to stop, on the clock of ``components``.
    """

    __slots__ = (
        "_calls_in_doubt",
        "_components",
        "_fingerprint",
        "_plan",
        "_search",
        "_shard",
        "_tried",
        "_until_ms",
    )

    def __init__(self, components, search, plan, shard, until_ms, fingerprint):
        self._components = components
        self._search = search
        self._plan = plan
        self._shard = shard
        self._until_ms = until_ms
        self._fingerprint = fingerprint
        self._tried = set()
        self._calls_in_doubt = 0

    @property
    def ran(self):
        """Whether a server may have run the request."""
        return Ran.NO if self._calls_in_doubt == 0 else Ran.UNKNOWN

    async def run(self):
        """Return the :class:`Outcome` of the shard.

        :raises Quarantined: when the request is in quarantine.
        """
        self._components.budgets(self._plan.service).earn()
        last_error = None
        pause_ms = RETRY_PAUSE_MS
        while self._remaining_ms() > 0:
            server = await next_server(
                self._components,
                self._plan.service,
                self._servers(),
                self._tried,
                self._search.request_class,
            )
            if server is None:
                return self._missing_outcome(last_error)
            try:
                return await self._ask(server)
            except BackendLacksVersion as error:
                last_error = error
                continue
            except BackendError as error:
                last_error = error
            if not self._may_retry(last_error):
                return self._missing_outcome(last_error)
            await self._components.clock.sleep(pause_ms * self._components.random.random())
            pause_ms = min(MAX_RETRY_PAUSE_MS, pause_ms * 2)
        return Outcome.missing(self._shard, Gap.DEADLINE, _error_text(last_error))

    def _remaining_ms(self):
        return self._until_ms - self._components.clock.now_ms()

    def _servers(self):
        return self._plan.replicas.get(self._shard, [])

    def _choose(self):
        return self._components.replicas.choose(
            self._components.configuration(), self._plan.service, self._servers(), self._tried
        )

    async def _ask(self, server):
        """Call a server, with hedges; a suspect request runs on one server at a time."""
        if self._components.quarantine.is_suspect(self._fingerprint):
            # Wait for reports of deaths in the request's other shards, which arrive soon after.
            await self._components.clock.sleep(SUSPECT_DELAY_MS)
            async with self._components.quarantine.canary(self._fingerprint) as is_suspect:
                if is_suspect:
                    return await self._call(server, as_canary=True)
        return await self._call_with_hedges(server)

    async def _call_with_hedges(self, server):
        """Return the first answer; send a hedge for each slow call, up to ``MAX_HEDGES``.

        :raises BackendError: the error of the last call, when none was answered.
        """
        calls = [asyncio.create_task(self._call(server))]
        delay_ms = self._hedge_delay_ms(server)
        hedges = 0
        last_error = None
        try:
            while calls:
                timeout = None if delay_ms is None else delay_ms / 1000
                done, _ = await asyncio.wait(
                    calls, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    hedge = self._choose_hedge()
                    hedges += 1
                    delay_ms = None
                    if hedge is not None:
                        calls.append(asyncio.create_task(self._call(hedge)))
                        if hedges < MAX_HEDGES:
                            delay_ms = self._hedge_delay_ms(hedge)
                    continue
                for call in [call for call in calls if call in done]:
                    calls.remove(call)
                    last_error = call.exception()
                    if last_error is None:
                        return call.result()
                    if not isinstance(last_error, BackendError):
                        raise last_error
            raise last_error
        finally:
            for call in calls:
                call.cancel()

    def _hedge_delay_ms(self, server):
        if self._search.request_class == REPORT:
            return None
        typical_ms = self._components.replicas.typical_ms(self._components.configuration(), server)
        return self._components.budgets(self._plan.service).hedge_delay_ms(typical_ms)

    def _choose_hedge(self):
        """Return the server for a hedge, or ``None`` when none may be sent."""
        if self._components.quarantine.is_in_doubt(self._fingerprint):
            return None
        server = self._choose()
        if server is None or not self._components.budgets(self._plan.service).may_hedge():
            return None
        self._components.metrics.incr("scatter.hedges")
        return server

    async def _call(self, server, as_canary=False):
        self._tried.add(server.id)
        call = ShardCall(
            request_id=new_id(),
            service=self._plan.service.name,
            shard=self._shard,
            version=self._plan.snapshot.version,
            deadline_ms=max(1.0, self._remaining_ms()),
            query=self._search.query,
        )
        self._calls_in_doubt += 1
        try:
            answer = await call_server(
                self._components,
                self._plan.service,
                server,
                call,
                self._shard,
                self._fingerprint,
                as_canary,
            )
        except BackendError as error:
            if error.ran is Ran.NO:
                self._calls_in_doubt -= 1
            raise
        if answer.partial:
            return Outcome.partial(self._shard, answer.rows)
        return Outcome.answered(self._shard, answer.rows)

    def _may_retry(self, error):
        if isinstance(error, BackendFault):
            return False
        if isinstance(error, BackendUnreachable):
            # It put no load on any server, so it does not count against the budget.
            return True
        if isinstance(error, BackendRefused) and error.reason != "overload":
            return True
        if isinstance(error, BackendRefused):
            # Other replicas may have room when one has a full queue.
            return self._components.budgets(self._plan.service).may_retry_elsewhere()
        if isinstance(error, BackendDied):
            # A dead server is a lost replica: coverage needs an answer from another one.
            return True
        return self._components.budgets(self._plan.service).may_retry()

    def _missing_outcome(self, last_error):
        if last_error is None:
            return Outcome.missing(self._shard, Gap.NO_REPLICA, "no replica accepts work")
        if isinstance(last_error, BackendLacksVersion):
            return Outcome.missing(self._shard, Gap.LACKS_VERSION, _error_text(last_error))
        if isinstance(last_error, BackendRefused):
            return Outcome.missing(self._shard, Gap.REFUSED, _error_text(last_error))
        return Outcome.missing(self._shard, Gap.FAILED, _error_text(last_error))


def _error_text(error):
    return None if error is None else str(error)
