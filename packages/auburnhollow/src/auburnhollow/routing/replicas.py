"""Choosing one replica of a shard."""

from ..records import Record

SMOOTHING = 0.2
FIRST_LATENCY_MS = 5.0
LOAD_FRESH_MS = 1_000.0
WARM_UP_MS = 5_000.0
COLD_WEIGHT = 4.0
ACROSS_CENTRES_MS = 7.0
ACROSS_REGIONS_MS = 24.0


class Measured(Record):
    """What calls to one server have shown: smoothed latency, its own word of its load."""

    __slots__ = ("latency_ms", "load", "load_ms", "since_ms", "incarnation")


class ReplicaChoice:
    """Chooses replicas by outstanding calls, measured latency and reported load.

    The better of two random replicas is taken (power of two choices: M. Mitzenmacher, 2001). A
    server that has just started counts as slower until it is warm. Latency as measured holds the
    distance between data centres; before the first answer the usual round trip stands in for it.

    :param place: data centre of this node.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param shares: :class:`~auburnhollow.limits.Shares`.
    :param ejection: :class:`Ejection`.
    :param leaving: :class:`~auburnhollow.drain.Leaving`.
    """

    __slots__ = ("_clock", "_ejection", "_leaving", "_measured", "_place", "_random", "_shares")

    def __init__(self, place, clock, random, shares, ejection, leaving):
        self._place = place
        self._clock = clock
        self._random = random
        self._shares = shares
        self._ejection = ejection
        self._leaving = leaving
        self._measured = {}

    def choose(self, configuration, service, servers, tried=()):
        """Return a server for one call, or ``None`` when there is none.

        :param servers: the replicas of the shard.
        :param tried: ids of servers not to ask again.
        """
        free = []
        for server in self.open_to_work(configuration, servers, tried):
            if self._shares.has_room(server, service.connections):
                free.append(server)
        if not free:
            return None
        good = self._ejection.usable(free, servers)
        if len(good) == 1:
            return good[0]
        first, second = self._random.sample(good, 2)
        if self._cost(configuration, service, first) <= self._cost(configuration, service, second):
            return first
        return second

    def open_to_work(self, configuration, servers, tried=()):
        """Return those of ``servers`` that may get new work, busy or not."""
        found = []
        for server in servers:
            if server.id in tried or server.id in configuration.draining:
                continue
            if not self._leaving.is_leaving(server.id):
                found.append(server)
        return found

    def observe(self, server, latency_ms, load=None, incarnation=None):
        """Take what one call has shown."""
        now_ms = self._clock.now_ms()
        measured = self._measured.get(server.id)
        if measured is None or (incarnation is not None and incarnation > measured.incarnation):
            since_ms = None if measured is None else now_ms
            measured = Measured(
                latency_ms=latency_ms,
                load=0,
                load_ms=None,
                since_ms=since_ms,
                incarnation=incarnation or 0,
            )
            self._measured[server.id] = measured
        measured.latency_ms += SMOOTHING * (latency_ms - measured.latency_ms)
        if load is not None:
            measured.load = load
            measured.load_ms = now_ms

    def cost(self, configuration, service, server):
        """Return the expected latency of one call in milliseconds, for people who ask why."""
        return self._cost(configuration, service, server)

    def forget(self, known):
        """Drop what is kept of servers that are not in ``known``."""
        for server in [server for server in self._measured if server not in known]:
            del self._measured[server]

    def _cost(self, configuration, service, server):
        now_ms = self._clock.now_ms()
        busy = self._shares.busy(server)
        measured = self._measured.get(server.id)
        if measured is None:
            distance_ms = self._distance_ms(configuration, server)
            return (FIRST_LATENCY_MS + distance_ms) * (1.0 + busy / service.slots)
        if measured.load_ms is not None and now_ms - measured.load_ms < LOAD_FRESH_MS:
            busy = max(busy, measured.load)
        cost = measured.latency_ms * (1.0 + busy / service.slots)
        if measured.since_ms is not None and now_ms - measured.since_ms < WARM_UP_MS:
            cost *= COLD_WEIGHT
        return cost

    def _distance_ms(self, configuration, server):
        if server.data_centre == self._place:
            return 0.0
        regions = configuration.regions
        if regions.get(server.data_centre) == regions.get(self._place):
            return ACROSS_CENTRES_MS
        return ACROSS_REGIONS_MS
