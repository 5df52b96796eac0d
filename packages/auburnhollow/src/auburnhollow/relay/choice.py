"""Chooses the backend server for a call."""

import math

from .views import ServerView

# Default round-trip times; typical within a data centre, within a region and between regions.
SAME_DATA_CENTRE_RTT_MS = 1.0
SAME_REGION_RTT_MS = 8.0
OTHER_REGION_RTT_MS = 25.0
# Links between regions are expensive: a call uses one only if it is clearly faster.
OTHER_REGION_COST_MS = 15.0
# A failing server is better than none, so ejection adds to the cost instead of excluding it.
EJECTED_COST_MS = 5_000.0
# A failed call costs its request a round trip and a repeat from the budget.
FAILURE_COST_MS = 150.0
# A server resets connections beyond its limit; queueing at another server is better.
OVER_SHARE_COST_MS = 60.0
# A node that has just started may not know all other nodes yet.
MIN_NODES = 8
MIN_CALLS = 2
# A service's load changes over seconds.
PRESSURE_AGE_MS = 3_000.0
# Random variation, so that nodes with the same measurements do not all choose the same server.
JITTER = 0.1


class ServerChoice:
    """Chooses the server with the shortest expected time.

    The expected time is the round trip, plus the route's typical work time multiplied by the
    server's slowdown, plus queueing time if all slots are taken, plus the time that a late call
    has already waited, so that a paused or unresponsive server is avoided until it answers again.
    Failing calls, and using more than this node's share of the server's connections, add to the
    cost.

    :param data_centre: data centre of this node.
    :param regions: dictionary of data centres to regions.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param count_nodes: function that returns the known number of nodes that call servers.
    :param rates: :class:`~auburnhollow.limits.ServerRates`, or ``None`` if servers name none.
    :param sources: further sources of turns; each has a length, and the methods ``wait_ms``,
        ``take`` and ``forget`` of :class:`~auburnhollow.limits.ServerRates`. A request waits for
        all of them.

    ``pace`` is the :class:`~auburnhollow.pace.Pace` of servers that have started or recovered, or
    ``None``. ``has_slowness`` is set once a server has reported how slow its machine is.
    """

    __slots__ = (
        "_clock",
        "_connection_limits",
        "_count_nodes",
        "_data_centre",
        "_random",
        "_rates",
        "_regions",
        "_round_trips_ms",
        "_sources",
        "_views",
        "has_slowness",
        "pace",
    )

    def __init__(
        self, data_centre, regions, clock, random, count_nodes=lambda: 1, rates=None, sources=()
    ):
        self._data_centre = data_centre
        self._regions = regions
        self._clock = clock
        self._random = random
        self._count_nodes = count_nodes
        self._rates = rates
        self._sources = list(sources) if rates is None else [rates, *sources]
        self._connection_limits = {}
        self._round_trips_ms = {}
        self._views = {}
        self.has_slowness = False
        self.pace = None

    def choose(self, servers, work_ms, tried=(), until_ms=math.inf):
        """Return the server with the lowest cost, or ``None`` if there is none to choose.

        :param servers: the servers that may get requests.
        :param work_ms: the route's typical work time in milliseconds.
        :param tried: ids of servers not to choose again.
        :param until_ms: when an answer must be expected from a server that has named a rate.
        """
        now_ms = self._clock.now_ms()
        is_limited = self.is_limited
        best = None
        best_ms = 0.0
        if self.pace is not None and len(self.pace) > 0:
            servers = self._thin(servers, work_ms, tried, until_ms)
        for server in servers:
            if server.id in tried:
                continue
            wait_ms = self.wait_ms(server) if is_limited else 0.0
            if wait_ms > 0 and now_ms + wait_ms + self.expected_ms(server, work_ms) > until_ms:
                continue
            cost_ms = wait_ms + self._cost_ms(server, work_ms, now_ms)
            if best is None or cost_ms < best_ms:
                best = server
                best_ms = cost_ms
        return best

    def _thin(self, servers, work_ms, tried, until_ms):
        """Return the servers without those that are passed over to find their pace.

        They give way only to a server that can take the request.
        """
        now_ms = self._clock.now_ms()
        able = []
        for server in servers:
            if server.id in tried or self.view(server).is_ejected(now_ms):
                continue
            wait_ms = self.wait_ms(server)
            if wait_ms > 0 and now_ms + wait_ms + self.expected_ms(server, work_ms) > until_ms:
                continue
            able.append(server)
        return self.pace.thin(able) if able else servers

    @property
    def is_limited(self):
        """Whether requests must wait for turns at some servers."""
        return any(len(source) for source in self._sources)

    def wait_ms(self, server):
        """Return how long a request must wait for this node's turn at a server."""
        incarnation = server.incarnation
        return max((source.wait_ms(incarnation) for source in self._sources), default=0.0)

    def take_turn(self, server):
        """Use this node's next turn at a server; return how long the request must wait for it."""
        wait_ms = self.wait_ms(server)
        for source in self._sources:
            source.take(server.incarnation)
        return wait_ms

    def hear(self, server, notice, asked_ms):
        """Apply a server's :class:`~auburnhollow.limits.Notice`, if there is one.

        :param asked_ms: the start of the call that it answered.
        """
        if self._rates is not None and notice is not None and notice.has_rate:
            self._rates.hear(server.incarnation, notice, asked_ms)

    def recovered(self, server, reason):
        """Forget the trouble of a server that has recovered, and find its pace anew.

        :param reason: what it has recovered from, for the log.
        """
        if self.pace is None or not self.pace.is_wanted(server.service):
            return
        self.view(server).forget_trouble(self._clock.now_ms())
        self.pace.begin(server, reason)

    def pressure(self, server, others):
        """Return the mean load of ``others`` in parts of their slots, ``None`` if none is known.

        :param server: the server that is left out.
        """
        now_ms = self._clock.now_ms()
        parts = []
        for other in others:
            load = None
            if other.id != server.id:
                load = self.view(other).reported_load(now_ms, PRESSURE_AGE_MS)
            if load is not None:
                parts.append(load / other.slots)
        return sum(parts) / len(parts) if parts else None

    def expected_ms(self, server, work_ms):
        """Return the expected time of a call to the server in milliseconds, without queueing."""
        view = self.view(server)
        return self.round_trip_ms(server) + work_ms * view.slowdown(self._clock.now_ms())

    @property
    def data_centre(self):
        """The data centre of this node."""
        return self._data_centre

    def cost_ms(self, server, work_ms):
        """Return the cost of a call to the server: its expected time and penalties."""
        return self._cost_ms(server, work_ms, self._clock.now_ms())

    def round_trip_ms(self, server):
        """Return the round-trip time to the server, in milliseconds."""
        return self.round_trip_to_ms(server.data_centre)

    def round_trip_to_ms(self, data_centre):
        """Return the round-trip time to a data centre, in milliseconds."""
        round_trip_ms = self._round_trips_ms.get(data_centre)
        if round_trip_ms is None:
            round_trip_ms = self._default_round_trip_ms(data_centre)
            self._round_trips_ms[data_centre] = round_trip_ms
        return round_trip_ms

    def view(self, server):
        """Return the :class:`ServerView` of a server."""
        view = self._views.get(server.incarnation)
        if view is None:
            view = ServerView(server, self._clock.now_ms())
            self._views[server.incarnation] = view
        return view

    def set_connection_limits(self, services):
        """Set how many connections the servers of each service accept.

        :param services: dictionary of names to :class:`~auburnhollow.routes.Service`.
        """
        self._connection_limits = {name: service.connections for name, service in services.items()}

    def share(self, server):
        """Return this node's share of the server's connections."""
        connections = self._connection_limits.get(server.service)
        if connections is None:
            return server.slots
        return max(MIN_CALLS, connections // max(MIN_NODES, self._count_nodes()))

    def forget(self, servers):
        """Drop the views of all servers except these and those with calls in progress."""
        kept = {server.incarnation for server in servers}
        for source in self._sources:
            source.forget(kept)
        if self.pace is not None:
            self.pace.forget(kept)
        for incarnation in [one for one in self._views if one not in kept]:
            if not self._views[incarnation].calls:
                del self._views[incarnation]

    def _cost_ms(self, server, work_ms, now_ms):
        view = self.view(server)
        load = view.load(now_ms)
        work_ms = work_ms * view.slowdown(now_ms) * (1.0 + JITTER * self._random.random())
        cost_ms = self.round_trip_ms(server) + self._link_cost_ms(server) + work_ms
        if load >= server.slots:
            cost_ms += work_ms * (load + 1 - server.slots) / server.slots
        cost_ms += view.lateness_ms(now_ms) + view.failing_share(now_ms) * FAILURE_COST_MS
        excess_calls = len(view.calls) + 1 - self.share(server)
        if excess_calls > 0:
            cost_ms += excess_calls * OVER_SHARE_COST_MS
        if view.is_ejected(now_ms):
            cost_ms += EJECTED_COST_MS
        return cost_ms

    def _link_cost_ms(self, server):
        region = self._regions.get(self._data_centre)
        return 0.0 if self._regions.get(server.data_centre) == region else OTHER_REGION_COST_MS

    def _default_round_trip_ms(self, data_centre):
        if data_centre == self._data_centre:
            return SAME_DATA_CENTRE_RTT_MS
        if self._regions.get(data_centre) == self._regions.get(self._data_centre):
            return SAME_REGION_RTT_MS
        return OTHER_REGION_RTT_MS
