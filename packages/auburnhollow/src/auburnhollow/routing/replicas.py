"""Chooses a replica of a shard."""

import math

from ..records import Record

SAMPLE_SIZE = 3
JITTER = 0.2
SMOOTHING = 0.3
CANCELLED_SMOOTHING = 0.5
TYPICAL_STEP = 0.05
DECAY_MS = 3_000.0
DEFAULT_LATENCY_MS = 5.0
LOAD_FRESH_MS = 1_000.0
WARM_UP_MS = 5_000.0
WARM_UP_FACTOR = 4.0
OVERLOAD_QUEUE_FACTOR = 4
OTHER_DATA_CENTRE_MS = 7.0
OTHER_REGION_MS = 24.0
UNKNOWN_INCARNATION = 0


class ServerStats(Record):
    """Statistics of the calls to one server.

    ``latency_ms`` is the smoothed latency, ``typical_ms`` the running median, ``seen_ms`` the time
    of the last call. ``load`` is the number of requests that the server reported at ``load_ms``.
    ``since_ms`` is when the current ``incarnation`` was first seen, or ``None`` if the server has
    not restarted.
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

    The best of ``SAMPLE_SIZE`` random replicas is chosen (power of choices: M. Mitzenmacher, 2001).
    A slow server is tried again after a while, because its smoothed latency decays towards its
    typical latency. A server that has just restarted counts as slower until it has warmed up.
    Measured latency includes the round trip between data centres; for a server without answers,
    the latency of other servers in its data centre is used, or else a default round trip.

    :param data_centre: data centre of this node.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param shares: :class:`~auburnhollow.limits.Shares`.
    :param ejection: :class:`Ejection`.
    :param leaving: :class:`~auburnhollow.drain.LeavingServers`.
    :param rates: :class:`~auburnhollow.limits.ServerRates`, or ``None`` if servers name none.
    """

    __slots__ = (
        "_data_centre_latency_ms",
        "_clock",
        "_ejection",
        "_leaving",
        "_stats",
        "_data_centre",
        "_random",
        "_rates",
        "_shares",
    )

    def __init__(self, data_centre, clock, random, shares, ejection, leaving, rates=None):
        self._rates = rates
        self._data_centre = data_centre
        self._clock = clock
        self._random = random
        self._shares = shares
        self._ejection = ejection
        self._leaving = leaving
        self._stats = {}
        self._data_centre_latency_ms = {}

    def choose(self, configuration, service, servers, tried=()):
        """Return a server for one call, or ``None`` if none is available.

        The call uses this node's turn if the server has named a rate.

        :param servers: the replicas of the shard.
        :param tried: ids of servers not to call again.
        """
        free = []
        for server in self.eligible_servers(configuration, servers, tried):
            if self._shares.has_room(server, service.connections) and self.wait_ms(server) <= 0:
                free.append(server)
        if not free:
            return None
        usable = self._ejection.usable(free, servers)
        sampled = usable if len(usable) <= SAMPLE_SIZE else self._random.sample(usable, SAMPLE_SIZE)
        chosen = sampled[0]
        if len(sampled) > 1:
            chosen = min(
                sampled, key=lambda server: self._jittered_cost(configuration, service, server)
            )
        if self._rates is not None:
            self._rates.take(rate_key(chosen))
        return chosen

    def wait_ms(self, server):
        """Return how long a request must wait for this node's turn at a server."""
        return 0.0 if self._rates is None else self._rates.wait_ms(rate_key(server))

    def least_wait_ms(self, service, servers):
        """Return the least :meth:`wait_ms` of those with room, infinity if none has any."""
        waits_ms = []
        for server in servers:
            if self._shares.has_room(server, service.connections):
                waits_ms.append(self.wait_ms(server))
        return min(waits_ms, default=math.inf)

    def without_room(self, service, servers):
        """Return those of ``servers`` to which this node has all of its connections in use."""
        return [
            server for server in servers if not self._shares.has_room(server, service.connections)
        ]

    def hear(self, server, notice, asked_ms):
        """Apply a server's :class:`~auburnhollow.limits.Notice`, if there is one.

        :param asked_ms: the start of the call that it answered.
        """
        if self._rates is not None and notice is not None:
            self._rates.hear(rate_key(server), notice, asked_ms)

    def eligible_servers(self, configuration, servers, tried=()):
        """Return those of ``servers`` that may get new requests, whether busy or not."""
        found = []
        for server in servers:
            if server.id in tried or server.id in configuration.draining:
                continue
            if not self._leaving.is_leaving(server.id):
                found.append(server)
        return found

    def observe(self, server, latency_ms, load=None, incarnation=None):
        """Record the latency of one call, and the load that the server reported with it."""
        now_ms = self._clock.now_ms()
        stats = self._stats.get(server.id)
        if stats is None or stats.incarnation < (incarnation or UNKNOWN_INCARNATION):
            has_restarted = stats is not None and stats.incarnation != UNKNOWN_INCARNATION
            stats = _new_stats(latency_ms, now_ms)
            stats.since_ms = now_ms if has_restarted else None
            stats.incarnation = incarnation or UNKNOWN_INCARNATION
            self._stats[server.id] = stats
        decayed_ms = _decayed_latency_ms(stats, now_ms)
        stats.latency_ms = decayed_ms + SMOOTHING * (latency_ms - decayed_ms)
        stats.seen_ms = now_ms
        stats.typical_ms = _next_median_ms(stats.typical_ms, latency_ms)
        data_centre_ms = self._data_centre_latency_ms.get(server.data_centre, latency_ms)
        self._data_centre_latency_ms[server.data_centre] = _next_median_ms(
            data_centre_ms, latency_ms
        )
        if load is not None:
            stats.load = load
            stats.load_ms = now_ms

    def observe_cancelled(self, configuration, server, latency_ms):
        """Record that a call was cancelled after ``latency_ms``.

        One such call may be chance; two in a row show that the server is slow.
        """
        now_ms = self._clock.now_ms()
        stats = self._stats.get(server.id)
        if stats is None:
            stats = _new_stats(self._default_latency_ms(configuration, server), now_ms)
            self._stats[server.id] = stats
        decayed_ms = _decayed_latency_ms(stats, now_ms)
        stats.latency_ms = decayed_ms + CANCELLED_SMOOTHING * max(0.0, latency_ms - decayed_ms)
        stats.seen_ms = now_ms

    def observe_overload(self, configuration, service, server):
        """Record that the server shed a call, because its queue is full."""
        now_ms = self._clock.now_ms()
        stats = self._stats.get(server.id)
        if stats is None:
            stats = _new_stats(self._default_latency_ms(configuration, server), now_ms)
            self._stats[server.id] = stats
        stats.load = max(stats.load, service.slots * OVERLOAD_QUEUE_FACTOR)
        stats.load_ms = now_ms

    def typical_ms(self, configuration, server):
        """Return the typical latency of a call to the server, in milliseconds."""
        stats = self._stats.get(server.id)
        if stats is None:
            return self._default_latency_ms(configuration, server)
        return stats.typical_ms

    def cost(self, configuration, service, server):
        """Return the expected latency of one call in milliseconds."""
        now_ms = self._clock.now_ms()
        in_progress = self._shares.busy(server)
        stats = self._stats.get(server.id)
        if stats is None:
            return self._default_latency_ms(configuration, server) * (
                1.0 + in_progress / service.slots
            )
        if stats.load_ms is not None and now_ms - stats.load_ms < LOAD_FRESH_MS:
            in_progress = max(in_progress, stats.load)
        cost = _decayed_latency_ms(stats, now_ms) * (1.0 + in_progress / service.slots)
        if stats.since_ms is not None and now_ms - stats.since_ms < WARM_UP_MS:
            cost *= WARM_UP_FACTOR
        return cost

    def _jittered_cost(self, configuration, service, server):
        """Return the cost with jitter, so that nodes do not all prefer the same server."""
        jitter = 1.0 + JITTER * self._random.random()
        return self.cost(configuration, service, server) * jitter

    def forget(self, known):
        """Drop the statistics of servers that are not in ``known``."""
        for server in [server for server in self._stats if server not in known]:
            del self._stats[server]

    def _default_latency_ms(self, configuration, server):
        """Return the expected latency of a server that has not answered yet."""
        data_centre_ms = self._data_centre_latency_ms.get(server.data_centre)
        if data_centre_ms is not None:
            return data_centre_ms
        if server.data_centre == self._data_centre:
            return DEFAULT_LATENCY_MS
        regions = configuration.regions
        if regions.get(server.data_centre) == regions.get(self._data_centre):
            return DEFAULT_LATENCY_MS + OTHER_DATA_CENTRE_MS
        return DEFAULT_LATENCY_MS + OTHER_REGION_MS


def rate_key(server):
    """Return the key of a server for its rates; restarts do not change the key."""
    return (server.id, UNKNOWN_INCARNATION)


def _next_median_ms(median_ms, latency_ms):
    """Return the running median after one more sample; single outliers hardly move it.

    Frugal streaming: Q. Ma, S. Muthukrishnan, M. Sandler, 2013.
    """
    step = TYPICAL_STEP if latency_ms > median_ms else -TYPICAL_STEP
    return median_ms * (1.0 + step)


def _decayed_latency_ms(stats, now_ms):
    """Return the smoothed latency, decayed towards the typical one since the last call."""
    weight = math.exp((stats.seen_ms - now_ms) / DECAY_MS)
    return stats.typical_ms + (stats.latency_ms - stats.typical_ms) * weight


def _new_stats(latency_ms, now_ms):
    return ServerStats(
        latency_ms=latency_ms,
        typical_ms=latency_ms,
        seen_ms=now_ms,
        load=0,
        load_ms=None,
        since_ms=None,
        incarnation=UNKNOWN_INCARNATION,
    )
