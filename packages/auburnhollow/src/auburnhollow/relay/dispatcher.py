"""Dispatches requests to backend servers, with budgets for retries and hedges."""

from contextlib import contextmanager

from ..admission import Room
from ..exceptions import Ran, Unavailable
from ..placement import LagReserve
from ..quarantine import EndChecks
from ..reach import Reach
from ..records import Record
from ..retry import jittered_ms
from ..retry.window import Slack, WindowBudget
from .fanout import FanOut
from .merge import merge
from .messages import Merged
from .readmission import Readmission
from .routetimes import RouteTimes

# A missing server is back, or its replacement is known, within a few heartbeats.
UNAVAILABLE_RETRY_MS = 250.0


class DispatchSettings(Record):
    """Limits on repeats, that is, on retries and hedges, and how objectives are met.

    ``retry_ratio`` is the number of repeats allowed per request of a service within
    ``retry_window_ms``; ``retry_slack`` is how many all nodes together may send beyond that.
    ``short_objectives`` is set if objectives are short beside the ways to servers and callers,
    ``admission`` if requests wait or are refused while servers have no room.
    """

    __slots__ = (
        "retry_ratio",
        "retry_window_ms",
        "retry_slack",
        "short_objectives",
        "admission",
    )
    DEFAULTS = {"short_objectives": False, "admission": False}


class Dispatcher:
    """Sends requests to one service, or to each shard of a route.

    :param gate: :class:`~auburnhollow.gate.Gate`, which sends the requests.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param choice: :class:`~auburnhollow.relay.choice.ServerChoice`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param quarantine: :class:`~auburnhollow.quarantine.Quarantine`.
    :param settings: :class:`DispatchSettings`.
    :param count_nodes: function that returns the number of known nodes, including this one.
    :param aggregators: :class:`~auburnhollow.relay.aggregators.Aggregators`, or ``None``.

    ``is_stranded`` is set while this node reaches no server, and other nodes do.

    >>> merged = await dispatcher.gather(request, route)
    """

    __slots__ = (
        "_budgets",
        "_count_nodes",
        "_fan_outs",
        "_random",
        "_settings",
        "_slack",
        "_times",
        "aggregators",
        "choice",
        "clock",
        "end_checks",
        "gate",
        "is_stranded",
        "lag",
        "metrics",
        "quarantine",
        "reach",
        "readmission",
        "registry",
        "room",
    )

    def __init__(
        self,
        gate,
        registry,
        choice,
        clock,
        random,
        metrics,
        quarantine,
        settings,
        count_nodes,
        aggregators=None,
    ):
        self.aggregators = aggregators
        self.gate = gate
        self.registry = registry
        self.room = Room(clock, count_nodes)
        self.choice = choice
        self.clock = clock
        self.metrics = metrics
        self.quarantine = quarantine
        self._random = random
        self._settings = settings
        self._count_nodes = count_nodes
        self._slack = self._new_slack()
        self._budgets = {}
        self._times = {}
        self.readmission = Readmission(gate, registry, choice, clock)
        self.end_checks = EndChecks(clock, self._can_connect, self._neighbours, self._elsewhere)
        self.reach = Reach(clock, random, self._can_connect, registry)
        self.lag = LagReserve()
        self.is_stranded = False
        self._fan_outs = set()

    async def forward(self, request, route, service, is_repeat=False):
        """Send a request to one server of ``service`` and return its :class:`Answer`.

        :param is_repeat: whether servers may have run the request already.
        :raises QueryError: its ``ran`` tells whether a server may have run the request.
        """
        fan_out = FanOut(self, request, route, (service,), min_answers=1, is_repeat=is_repeat)
        (subrequest,) = await fan_out.run()
        return subrequest.answer

    async def gather(self, request, route, is_repeat=False):
        """Send a request to one server of each shard and return the :class:`Merged` answer.

        :param is_repeat: whether servers may have run the request already.
        :raises QueryError: if fewer shards have answered than the route requires.
        """
        shards = route.shards
        aggregators = self.aggregators if route.repeatable else None
        fan_out = FanOut(
            self, request, route, shards, min_shards(route), aggregators, is_repeat=is_repeat
        )
        subrequests = await fan_out.run()
        bodies = []
        signatures = []
        for subrequest in subrequests:
            if subrequest.answer is None:
                continue
            bodies.append(subrequest.answer.body)
            signatures.append(subrequest.answer.signature)
        if len(signatures) < len(shards):
            self.metrics.incr("relay.partial")
        return Merged(
            body=merge(bodies, route.most_records),
            signatures=signatures,
            missing=len(shards) - len(signatures),
        )

    @contextmanager
    def running(self, fan_out):
        """Run the block as a fan-out in progress, which ends its calls if this node is stranded."""
        self._fan_outs.add(fan_out)
        try:
            yield
        finally:
            self._fan_outs.discard(fan_out)

    def set_stranded(self, is_stranded):
        """Set ``is_stranded``, and end the calls in progress that no server will answer."""
        was_stranded, self.is_stranded = self.is_stranded, is_stranded
        if was_stranded or not is_stranded:
            return
        for fan_out in list(self._fan_outs):
            fan_out.give_up_calls()

    @property
    def hurries(self):
        """Whether hedges go out early and answers leave time for this node's own delay.

        So the settings ask for, or servers that report how slow their machines are.
        """
        return self._settings.short_objectives or self.choice.has_slowness

    @property
    def has_admission(self):
        """Whether the settings ask for admission by room."""
        return self._settings.admission

    @property
    def is_short_of_room(self):
        """Whether requests are admitted by room, and servers have reported queues just now."""
        return self.has_admission and self.room.is_busy

    def budget(self, service):
        """Return the :class:`WindowBudget` for repeats to a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = WindowBudget(
                self.clock, settings.retry_ratio, settings.retry_window_ms, self._slack
            )
            self._budgets[service] = budget
        return budget

    def budgets_left(self):
        """Return how many repeats may be sent now for each service."""
        return {service: budget.left for service, budget in sorted(self._budgets.items())}

    def least_budget_left(self):
        """Return the smallest number of repeats left of any service, or ``None`` without any."""
        return min((budget.left for budget in self._budgets.values()), default=None)

    def apply_settings(self, settings):
        """Apply changed :class:`DispatchSettings` and reset all budgets.

        New budgets allow nothing beyond the ratio until a window has passed, so that no window has
        more repeats than the old and the new limits allow.
        """
        if settings == self._settings:
            return
        self._settings = settings
        self._slack = self._new_slack()
        self._budgets = {}

    def times(self, route):
        """Return the :class:`RouteTimes` of a route."""
        times = self._times.get(route.name)
        if times is None:
            times = RouteTimes(route.objective_ms)
            self._times[route.name] = times
        return times

    def unavailable(self, detail, ran=Ran.NO, retry_ms=UNAVAILABLE_RETRY_MS):
        """Return the error for a request that no server can answer now.

        :param retry_ms: when the caller should retry, in milliseconds, before jitter.
        """
        return Unavailable(detail, ran=ran, retry_after_ms=jittered_ms(self._random, retry_ms))

    def forget(self, table):
        """Drop the state of routes and servers that are gone, after a new configuration.

        :param table: the new :class:`~auburnhollow.routes.RouteTable`.
        """
        names = {route.name for route in table.routes}
        self._times = {name: times for name, times in self._times.items() if name in names}
        self.choice.set_connection_limits(table.services)
        self.choice.forget(self.registry.servers)
        self.room.forget(self.registry.servers)

    async def _can_connect(self, server):
        return await self.gate.can_connect(server)

    def _neighbours(self, server):
        """Return the other servers in the data centre of a server that are not known as down."""
        return [other for other in self._others(server) if other.data_centre == server.data_centre]

    def _elsewhere(self, server):
        """Return the servers of other data centres that are not known as down."""
        return [other for other in self._others(server) if other.data_centre != server.data_centre]

    def _others(self, server):
        found = []
        for other in self.registry.servers:
            if other.id != server.id and not self.choice.view(other).is_down:
                found.append(other)
        self._random.shuffle(found)
        return found

    def _new_slack(self):
        return Slack(
            self.clock,
            self._count_nodes,
            self._settings.retry_slack,
            self._settings.retry_window_ms,
            self.aggregators,
        )


def min_shards(route):
    """Return the minimum number of shards that must answer."""
    count = len(route.shards)
    minimum = 1
    while minimum < count and minimum / count < route.least_share:
        minimum += 1
    return minimum
