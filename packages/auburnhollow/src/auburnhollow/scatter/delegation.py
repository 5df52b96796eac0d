"""Has searches and orders answered by other nodes while this node reaches no backend server."""

import logging

from ..decisions import log_decision
from ..exceptions import (
    DeadlinePassed,
    PeerError,
    QueryError,
    Ran,
    Unavailable,
    error_of,
)
from ..once.requests import Order, OrderResult
from ..peers.codec import Message, register
from ..retry import jittered_ms
from .coverage import Coverage, Gap, Outcome
from .messages import Answer, Search

log = logging.getLogger("scatter")

# Nodes that are asked for one search, one after the other.
MAX_NODES = 3
# Part of the remaining time that is reserved for the network latency to another node.
LINK_LATENCY_MS = 30.0
MIN_REMAINING_MS = 40.0
AVOID_MS = 1_000.0
# A search that has failed waits this long for a check in progress to be decided.
DECISION_MS = 500.0
RETRY_MS = 500.0


@register("delegated-search")
class DelegatedSearch(Message):
    """A caller's search, for another node to answer; ``search`` is :meth:`Search.to_list`.

    ``revision`` is the oldest revision of the configuration by which it may be answered, ``None``
    for nodes of builds that do not compare.
    """

    __slots__ = ("search", "revision")
    DEFAULTS = {"revision": None}


@register("delegated-search-answer")
class DelegatedSearchAnswer(Message):
    """The answer to a search.

    ``gaps`` holds the name, the gap and the detail of each of the ``shards`` that is missing.
    """

    __slots__ = ("service", "snapshot", "rows", "shards", "gaps")


@register("delegated-order")
class DelegatedOrder(Message):
    """A caller's order, for another node to run; ``order`` is :meth:`Order.to_list`.

    ``revision`` is as that of :class:`DelegatedSearch`.
    """

    __slots__ = ("order", "revision")
    DEFAULTS = {"revision": None}


@register("delegated-order-result")
class DelegatedOrderResult(Message):
    """The result of an order; ``result`` is :meth:`OrderResult.to_list`."""

    __slots__ = ("result",)


@register("delegated-refusal")
class DelegatedRefusal(Message):
    """A search or order has failed with a :class:`~auburnhollow.exceptions.QueryError`."""

    __slots__ = ("code", "detail", "ran", "retry_after_ms")


class RequestDelegation:
    """Answers the requests of callers here, or through other nodes while this one is cut off.

    An order goes to a second node only if the first one has said that it did not run. A node whose
    configuration is older than the sender's refuses.

    :param configuration_holder: :class:`~auburnhollow.configuration.ConfigurationHolder`.
    :param coordinator: :class:`~auburnhollow.scatter.Coordinator`.
    :param orders: :class:`~auburnhollow.once.Orders`.
    :param reach: :class:`~auburnhollow.reach.Reach`.
    :param reach_gossip: :class:`~auburnhollow.reach.ReachGossip`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    """

    __slots__ = (
        "_avoid_until_ms",
        "_clock",
        "_configuration_holder",
        "_coordinator",
        "_metrics",
        "_orders",
        "_peers",
        "_random",
        "_reach",
        "_reach_gossip",
    )

    def __init__(
        self,
        configuration_holder,
        coordinator,
        orders,
        reach,
        reach_gossip,
        peers,
        clock,
        random,
        metrics,
    ):
        self._configuration_holder = configuration_holder
        self._coordinator = coordinator
        self._orders = orders
        self._reach = reach
        self._reach_gossip = reach_gossip
        self._peers = peers
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._avoid_until_ms = {}
        reach.on_change = lambda _is_cut_off: reach_gossip.publish()

    async def search(self, search):
        """Return the :class:`Answer` to a :class:`Search`.

        :raises QueryError: when there is no answer.
        """
        began_ms = self._clock.now_ms()
        if not self._is_stranded:
            try:
                answer = await self._coordinator.search(search)
            except QueryError:
                if not await self._is_stranded_after_check():
                    raise
            else:
                if answer.coverage.answered or not await self._is_stranded_after_check():
                    return answer
        passed_ms = self._clock.now_ms() - began_ms
        message = DelegatedSearch(search=_shortened(search, passed_ms).to_list())
        limit_ms = began_ms + max(search.deadline_ms, search.limit_ms)
        return await self._ask_until_answered(search.request_id, message, limit_ms)

    async def run(self, order):
        """Return the :class:`OrderResult` of an :class:`Order`.

        :raises QueryError: when there is none; its ``ran`` covers all tries with the key.
        """
        if not self._is_stranded:
            return await self._orders.run(order)
        limit_ms = self._clock.now_ms() + (order.deadline_ms or DECISION_MS)
        return await self._ask_until_answered(
            order.key, DelegatedOrder(order=order.to_list()), limit_ms, is_repeatable=False
        )

    async def answer_search(self, message):
        """Answer a :class:`DelegatedSearch`."""
        search = Search.from_list(message.search)
        try:
            self._check_open(message.revision)
            answer = await self._coordinator.search(search)
        except QueryError as error:
            return _refusal(error)
        gaps = answer.coverage.gaps
        return DelegatedSearchAnswer(
            service=answer.service,
            snapshot=answer.snapshot,
            rows=answer.rows,
            shards=answer.coverage.to_map()["shards"],
            gaps=[[name, gap.gap, gap.detail] for name, gap in gaps.items()],
        )

    async def answer_order(self, message):
        """Answer a :class:`DelegatedOrder`."""
        try:
            self._check_open(message.revision)
            result = await self._orders.run(Order.from_list(message.order))
        except QueryError as error:
            return _refusal(error)
        return DelegatedOrderResult(result=result.to_list())

    @property
    def _is_stranded(self):
        return self._reach.is_cut_off and bool(self._reach_gossip.reaching())

    async def _is_stranded_after_check(self):
        """Return whether this node is cut off, once a check in progress is decided."""
        if self._reach.is_deciding:
            try:
                async with self._clock.timeout(DECISION_MS):
                    await self._reach.decided()
            except TimeoutError:
                return False
        return self._is_stranded

    def _check_open(self, revision):
        if self._reach.is_cut_off:
            raise self._unavailable("this node reaches no server either")
        if revision is not None and self._configuration_holder.number < revision:
            raise self._unavailable("this node's configuration is older than the sender's")

    async def _ask_until_answered(self, request_id, message, limit_ms, is_repeatable=True):
        asked = []
        error = None
        while len(asked) < MAX_NODES:
            remaining_ms = limit_ms - self._clock.now_ms()
            member = self._choose(asked)
            if member is None or remaining_ms < MIN_REMAINING_MS:
                break
            asked.append(member.id)
            message.revision = self._least_revision(member)
            log_decision(log, "request delegated", request_id, through=member.id)
            self._metrics.incr("scatter.delegated")
            try:
                answer = await self._peers.ask(member.address, message, remaining_ms)
            except PeerError as failure:
                error = failure
                self._avoid_until_ms[member.id] = self._clock.now_ms() + AVOID_MS
                log_decision(
                    log, "delegated request lost", request_id, through=member.id, error=repr(error)
                )
                if not is_repeatable:
                    raise _unknown(member, failure) from failure
                continue
            if not isinstance(answer, DelegatedRefusal):
                return _unpack(answer, request_id)
            error = error_of(answer.code, answer.detail, Ran(answer.ran), answer.retry_after_ms)
            if not isinstance(error, Unavailable) or error.ran is not Ran.NO:
                raise error
        if isinstance(error, QueryError):
            raise error
        raise self._unavailable(f"no server is reached from here, nor through others: {error}")

    def _least_revision(self, member):
        """Return the oldest revision by which a node may answer, ``None`` if it can't compare."""
        if not self._reach_gossip.compares_versions(member.id):
            return None
        return self._configuration_holder.number

    def _choose(self, asked):
        now_ms = self._clock.now_ms()
        candidates = []
        for member in self._reach_gossip.reaching():
            if member.id in asked or self._avoid_until_ms.get(member.id, 0.0) > now_ms:
                continue
            candidates.append(member)
        return self._random.choice(candidates) if candidates else None

    def _unavailable(self, detail):
        return Unavailable(detail, ran=Ran.NO, retry_after_ms=jittered_ms(self._random, RETRY_MS))


class ConfiguredServers:
    """The backend servers of the configuration in force.

    :param configuration_holder: :class:`~auburnhollow.configuration.ConfigurationHolder`.
    """

    __slots__ = ("_configuration_holder",)

    def __init__(self, configuration_holder):
        self._configuration_holder = configuration_holder

    def __len__(self):
        configuration = self._configuration_holder.configuration
        return 0 if configuration is None else len(configuration.servers)

    @property
    def servers(self):
        """All servers."""
        configuration = self._configuration_holder.configuration
        return [] if configuration is None else list(configuration.servers.values())


def _shortened(search, passed_ms):
    """Return the search with the time that is left at another node."""
    shortened = Search.from_list(search.to_list())
    shortened.deadline_ms = max(0.0, search.deadline_ms - passed_ms - LINK_LATENCY_MS)
    shortened.limit_ms = max(0.0, search.limit_ms - passed_ms - LINK_LATENCY_MS)
    return shortened


def _unpack(answer, request_id):
    if isinstance(answer, DelegatedOrderResult):
        return OrderResult.from_list(answer.result)
    gaps = {name: Outcome.missing(name, Gap(gap), detail) for name, gap, detail in answer.gaps}
    outcomes = [gaps.get(name) or Outcome.answered(name, []) for name in answer.shards]
    return Answer(
        request_id=request_id,
        service=answer.service,
        snapshot=answer.snapshot,
        rows=answer.rows,
        coverage=Coverage(answer.shards, outcomes),
    )


def _refusal(error):
    return DelegatedRefusal(
        code=error.code,
        detail=error.detail,
        ran=str(error.ran),
        retry_after_ms=error.retry_after_ms,
    )


def _unknown(member, failure):
    return DeadlinePassed(
        f"{member.id} gave no answer: {failure}; retry with the same key", Ran.UNKNOWN
    )
