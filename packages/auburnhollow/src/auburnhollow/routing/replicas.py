"""Choosing one replica of a shard."""

import math

from ..records import Record

SAMPLED = 3
BLUR = 0.2
SMOOTHING = 0.3
LATE_SMOOTHING = 0.5
TYPICAL_STEP = 0.05
FORGET_MS = 3_000.0
FIRST_LATENCY_MS = 5.0
LOAD_FRESH_MS = 1_000.0
WARM_UP_MS = 5_000.0
COLD_WEIGHT = 4.0
FULL_QUEUE = 4
ACROSS_CENTRES_MS = 7.0
ACROSS_REGIONS_MS = 24.0
UNKNOWN = 0


class Measured(Record):
    """What calls to one server have shown.

    ``latency_ms`` is the smoothed latency, ``typical_ms`` its running median, ``seen_ms`` the time
    of the last call, ``load`` the server's own word at ``load_ms``, ``since_ms`` when the present
    ``incarnation`` was first met, ``None`` for the first of all.
    """

    __slots__ = (
        "latency_ms",
        "typical_ms",
        "seen_ms",
        "load",
        "load_ms",
        "since_ms",
        "incarnation",
    )


class ReplicaChoice:
    """Chooses replicas by outstanding calls, measured latency and reported load.

    The best of ``SAMPLED`` random replicas is taken (power of choices: M. Mitzenmacher, 2001). A
    server that was slow is tried again after a while: what is known of it fades towards its
    typical latency. A server that has just started counts as slower until it is warm. Latency as
    measured holds the distance between data centres; before the first answer the usual round trip
    stands in for it, and later what other servers of the same data centre have shown.

    :param place: data centre of this node.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param shares: :class:`~auburnhollow.limits.Shares`.
    :param ejection: :class:`Ejection`.
    :param leaving: :class:`~auburnhollow.drain.LeavingServers`.
    """

    __slots__ = (
        "_centres_ms",
        "_clock",
        "_ejection",
        "_leaving",
        "_measured",
        "_place",
        "_random",
        "_shares",
    )

    def __init__(self, place, clock, random, shares, ejection, leaving):
        self._place = place
        self._clock = clock
        self._random = random
        self._shares = shares
        self._ejection = ejection
        self._leaving = leaving
        self._measured = {}
        self._centres_ms = {}

    def choose(self, configuration, service, servers, tried=()):
        """Return a server for one call, or ``None`` when there is none.

        :param servers: the replicas of the shard.
        :param tried: ids of servers not to ask again.
        """
        free = []
        for server in self.eligible_servers(configuration, servers, tried):
            if self._shares.has_room(server, service.connections):
                free.append(server)
        if not free:
            return None
        good = self._ejection.usable(free, servers)
        if len(good) == 1:
            return good[0]
        sampled = good if len(good) <= SAMPLED else self._random.sample(good, SAMPLED)
        return min(sampled, key=lambda server: self._blurred_cost(configuration, service, server))

    def eligible_servers(self, configuration, servers, tried=()):
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
        if measured is None or measured.incarnation < (incarnation or UNKNOWN):
            started_anew = measured is not None and measured.incarnation != UNKNOWN
            measured = _first_measure(latency_ms, now_ms)
            measured.since_ms = now_ms if started_anew else None
            measured.incarnation = incarnation or UNKNOWN
            self._measured[server.id] = measured
        known_ms = _faded_ms(measured, now_ms)
        measured.latency_ms = known_ms + SMOOTHING * (latency_ms - known_ms)
        measured.seen_ms = now_ms
        measured.typical_ms = _stepped(measured.typical_ms, latency_ms)
        centre_ms = self._centres_ms.get(server.data_centre, latency_ms)
        self._centres_ms[server.data_centre] = _stepped(centre_ms, latency_ms)
        if load is not None:
            measured.load = load
            measured.load_ms = now_ms

    def observe_cancelled(self, configuration, server, latency_ms):
        """Take that a call which was given up had lasted ``latency_ms`` by then.

        One such call may be chance; two in a row say that the server is slow just now.
        """
        now_ms = self._clock.now_ms()
        measured = self._measured.get(server.id)
        if measured is None:
            measured = _first_measure(self._first_ms(configuration, server), now_ms)
            self._measured[server.id] = measured
        known_ms = _faded_ms(measured, now_ms)
        measured.latency_ms = known_ms + LATE_SMOOTHING * max(0.0, latency_ms - known_ms)
        measured.seen_ms = now_ms

    def observe_overload(self, configuration, service, server):
        """Take that the server has just shed a call: its queue is full."""
        now_ms = self._clock.now_ms()
        measured = self._measured.get(server.id)
        if measured is None:
            measured = _first_measure(self._first_ms(configuration, server), now_ms)
            self._measured[server.id] = measured
        measured.load = max(measured.load, service.slots * FULL_QUEUE)
        measured.load_ms = now_ms

    def typical_ms(self, configuration, server):
        """Return the usual latency of a call to the server, in milliseconds."""
        measured = self._measured.get(server.id)
        if measured is None:
            return self._first_ms(configuration, server)
        return measured.typical_ms

    def cost(self, configuration, service, server):
        """Return the expected latency of one call in milliseconds."""
        now_ms = self._clock.now_ms()
        busy = self._shares.busy(server)
        measured = self._measured.get(server.id)
        if measured is None:
            return self._first_ms(configuration, server) * (1.0 + busy / service.slots)
        if measured.load_ms is not None and now_ms - measured.load_ms < LOAD_FRESH_MS:
            busy = max(busy, measured.load)
        cost = _faded_ms(measured, now_ms) * (1.0 + busy / service.slots)
        if measured.since_ms is not None and now_ms - measured.since_ms < WARM_UP_MS:
            cost *= COLD_WEIGHT
        return cost

    def _blurred_cost(self, configuration, service, server):
        """Return the cost within ``BLUR``, so that nodes do not all prefer the same server."""
        blur = 1.0 + BLUR * self._random.random()
        return self.cost(configuration, service, server) * blur

    def forget(self, known):
        """Drop what is kept of servers that are not in ``known``."""
        for server in [server for server in self._measured if server not in known]:
            del self._measured[server]

    def _first_ms(self, configuration, server):
        """Return what is expected of a server that has not answered yet."""
        shown_ms = self._centres_ms.get(server.data_centre)
        if shown_ms is not None:
            return shown_ms
        if server.data_centre == self._place:
            return FIRST_LATENCY_MS
        regions = configuration.regions
        if regions.get(server.data_centre) == regions.get(self._place):
            return FIRST_LATENCY_MS + ACROSS_CENTRES_MS
        return FIRST_LATENCY_MS + ACROSS_REGIONS_MS


def _stepped(median_ms, latency_ms):
    """Return a running median one step on; single outliers can't pull it along.

    Frugal streaming: Q. Ma, S. Muthukrishnan, M. Sandler, 2013.
    """
    step = TYPICAL_STEP if latency_ms > median_ms else -TYPICAL_STEP
    return median_ms * (1.0 + step)


def _faded_ms(measured, now_ms):
    """Return the smoothed latency, faded towards the typical one since the last call."""
    weight = math.exp((measured.seen_ms - now_ms) / FORGET_MS)
    return measured.typical_ms + (measured.latency_ms - measured.typical_ms) * weight


def _first_measure(latency_ms, now_ms):
    return Measured(
        latency_ms=latency_ms,
        typical_ms=latency_ms,
        seen_ms=now_ms,
        load=0,
        load_ms=None,
        since_ms=None,
        incarnation=UNKNOWN,
    )
