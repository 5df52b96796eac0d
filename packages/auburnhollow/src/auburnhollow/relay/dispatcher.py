"""Sends requests to backend servers, and again where that helps."""

from ..exceptions import Ran, Unavailable
from ..records import Record
from ..retry import jittered_ms
from ..retry.window import Slack, WindowBudget
from .fanout import FanOut
from .merge import merge
from .messages import Merged
from .readmission import Readmission
from .routetimes import RouteTimes

# A missing server is back, or its successor known, within a few heartbeats.
UNAVAILABLE_RETRY_MS = 250.0


class DispatchSettings(Record):
    """Bounds of the relay.

    ``retry_ratio`` is the repeats allowed per request of a service within ``retry_window_ms``,
    ``retry_slack`` what all nodes together may send beyond that.
    """

    __slots__ = ("retry_ratio", "retry_window_ms", "retry_slack")


class Dispatcher:
    """Passes requests on to one service, or to each shard of a route.

    :param client: :class:`~auburnhollow.relay.ServerClient`.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param choice: :class:`~auburnhollow.relay.choice.ServerChoice`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param quarantine: :class:`~auburnhollow.quarantine.Quarantine`.
    :param settings: :class:`DispatchSettings`.
    :param count_nodes: function that returns how many nodes are known, this one included.
    :param aggregators: :class:`~auburnhollow.relay.aggregators.Aggregators`, or ``None``.

    >>> merged = await dispatcher.gather(request, route)
    """

    __slots__ = (
        "_budgets",
        "_count_nodes",
        "_random",
        "_settings",
        "_slack",
        "_times",
        "aggregators",
        "choice",
        "client",
        "clock",
        "metrics",
        "quarantine",
        "readmission",
        "registry",
    )

    def __init__(
        self,
        client,
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
        self.client = client
        self.registry = registry
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
        self.readmission = Readmission(client, registry, choice, clock)

    async def forward(self, request, route, service):
        """Send a request to one server of ``service`` and return its :class:`Answer`.

        :raises QueryError: with ``ran`` true to what servers may have done.
        """
        fan_out = FanOut(self, request, route, (service,), least=1)
        (leg,) = await fan_out.run()
        return leg.answer

    async def gather(self, request, route):
        """Send a request to one server of each shard and return the :class:`Merged` answer.

        :raises QueryError: when fewer shards have answered than the route wants.
        """
        shards = route.shards
        aggregators = self.aggregators if route.repeatable else None
        fan_out = FanOut(self, request, route, shards, least_shards(route), aggregators)
        legs = await fan_out.run()
        bodies = []
        signatures = []
        for leg in legs:
            if leg.answer is None:
                continue
            bodies.append(leg.answer.body)
            signatures.append(leg.answer.signature)
        if len(signatures) < len(shards):
            self.metrics.incr("relay.partial")
        return Merged(
            body=merge(bodies, route.most_records),
            signatures=signatures,
            missing=len(shards) - len(signatures),
        )

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
        """Return how many repeats may be sent now, by service."""
        return {service: budget.left for service, budget in sorted(self._budgets.items())}

    def least_budget_left(self):
        """Return the repeats left of the service that has the fewest, ``None`` before any."""
        return min((budget.left for budget in self._budgets.values()), default=None)

    def apply_settings(self, settings):
        """Take over other :class:`DispatchSettings`.

        Budgets that start anew allow nothing beyond the ratio until a window has passed, so that
        no window sees more than the old bound and the new one allow.
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

    def unavailable(self, detail, ran=Ran.NO):
        """Return the error of a request that no server can answer now."""
        return Unavailable(
            detail, ran=ran, retry_after_ms=jittered_ms(self._random, UNAVAILABLE_RETRY_MS)
        )

    def forget(self, table):
        """Drop what is kept of routes and services that a new configuration no longer names."""
        names = {route.name for route in table.routes}
        self._times = {name: times for name, times in self._times.items() if name in names}
        self.choice.bound_connections(table.services)
        self.choice.forget(self.registry.servers)

    def _new_slack(self):
        return Slack(
            self.clock,
            self._count_nodes,
            self._settings.retry_slack,
            self._settings.retry_window_ms,
            self.aggregators,
        )


def least_shards(route):
    """Return how many shards must answer at least."""
    count = len(route.shards)
    least = 1
    while least < count and least / count < route.least_share:
        least += 1
    return least
