"""Choosing the backend server for one call."""

from .views import ServerView

# Round trips between data centres until they are measured; typical within and between regions.
SAME_CENTRE_MS = 1.0
SAME_REGION_MS = 8.0
OTHER_REGION_MS = 25.0
# Links between regions are costly: a call takes one only where that is clearly faster.
OTHER_REGION_COST_MS = 15.0
# A server that fails is better than none, so it costs time but is not ruled out.
EJECTED_MS = 5_000.0
# What a failed call costs its request: the way there and back, and a repeat of the budget.
TROUBLE_MS = 150.0
# A server resets connections beyond its bound; a call that waits elsewhere is better off.
CROWDED_MS = 60.0
# Fresh nodes do not know yet how many they are.
LEAST_NODES = 8
LEAST_CALLS = 2
# Nodes that know the same must not all take the same server.
BLUR = 0.1


class ServerChoice:
    """Chooses the server that is expected to answer first.

    Expected is the way there and back, plus the usual work of the route at the server's measured
    speed, plus a queue where its slots are taken, plus the time that a late call has waited
    already: a server that pauses or hangs is left alone until it answers again. A server counts as
    slower when its calls fail, or when this node uses more than its share of its connections.

    :param data_centre: where this node runs.
    :param regions: dictionary of data centres to regions.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param count_nodes: function that returns how many nodes call servers, as far as is known.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_count_nodes",
        "_data_centre",
        "_distances",
        "_random",
        "_regions",
        "_views",
    )

    def __init__(self, data_centre, regions, clock, random, count_nodes=lambda: 1):
        self._data_centre = data_centre
        self._regions = regions
        self._clock = clock
        self._random = random
        self._count_nodes = count_nodes
        self._connections = {}
        self._distances = {}
        self._views = {}

    def choose(self, servers, work_ms, tried=()):
        """Return a server, or ``None`` when all were tried.

        :param servers: the servers that may get work.
        :param work_ms: usual time of the work.
        :param tried: ids of servers not to take again.
        """
        now_ms = self._clock.now_ms()
        best = None
        best_ms = 0.0
        for server in servers:
            if server.id in tried:
                continue
            cost_ms = self._cost_ms(server, work_ms, now_ms)
            if best is None or cost_ms < best_ms:
                best = server
                best_ms = cost_ms
        return best

    def expected_ms(self, server, work_ms):
        """Return the usual time of a call to the server, without queues."""
        view = self.view(server)
        return self.distance_ms(server) + work_ms * view.slowdown(self._clock.now_ms())

    @property
    def data_centre(self):
        """Where this node runs."""
        return self._data_centre

    def cost_ms(self, server, work_ms):
        """Return what a call to the server costs: its expected time, and what speaks against it."""
        return self._cost_ms(server, work_ms, self._clock.now_ms())

    def distance_ms(self, server):
        """Return the time to the server and back, in milliseconds."""
        return self.distance_to(server.data_centre)

    def distance_to(self, data_centre):
        """Return the time to a data centre and back, in milliseconds."""
        distance = self._distances.get(data_centre)
        if distance is None:
            distance = self._first_distance_ms(data_centre)
            self._distances[data_centre] = distance
        return distance

    def view(self, server):
        """Return the :class:`ServerView` of a server."""
        view = self._views.get(server.incarnation)
        if view is None:
            view = ServerView(server, self._clock.now_ms())
            self._views[server.incarnation] = view
        return view

    def bound_connections(self, services):
        """Take how many connections the servers of each service accept.

        :param services: dictionary of names to :class:`~auburnhollow.routes.Service`.
        """
        self._connections = {name: service.connections for name, service in services.items()}

    def share(self, server):
        """Return how many calls to the server this node may have without crowding others."""
        connections = self._connections.get(server.service)
        if connections is None:
            return server.slots
        return max(LEAST_CALLS, connections // max(LEAST_NODES, self._count_nodes()))

    def forget(self, servers):
        """Drop what is known of all servers but these."""
        kept = {server.incarnation for server in servers}
        for incarnation in [one for one in self._views if one not in kept]:
            if not self._views[incarnation].calls:
                del self._views[incarnation]

    def _cost_ms(self, server, work_ms, now_ms):
        view = self.view(server)
        busy = view.busy(now_ms)
        work_ms = work_ms * view.slowdown(now_ms) * (1.0 + BLUR * self._random.random())
        cost_ms = self.distance_ms(server) + self._link_cost_ms(server) + work_ms
        if busy >= server.slots:
            cost_ms += work_ms * (busy + 1 - server.slots) / server.slots
        cost_ms += view.lateness_ms(now_ms) + view.failing_share(now_ms) * TROUBLE_MS
        crowd = len(view.calls) + 1 - self.share(server)
        if crowd > 0:
            cost_ms += crowd * CROWDED_MS
        if view.is_ejected(now_ms):
            cost_ms += EJECTED_MS
        return cost_ms

    def _link_cost_ms(self, server):
        region = self._regions.get(self._data_centre)
        return 0.0 if self._regions.get(server.data_centre) == region else OTHER_REGION_COST_MS

    def _first_distance_ms(self, data_centre):
        if data_centre == self._data_centre:
            return SAME_CENTRE_MS
        if self._regions.get(data_centre) == self._regions.get(self._data_centre):
            return SAME_REGION_MS
        return OTHER_REGION_MS
