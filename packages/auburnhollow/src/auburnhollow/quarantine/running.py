"""Which requests run on which backend servers, for this node."""

from .evidence import CORRELATION_WINDOW_MS

# How long a server may go on with a request after its connection was closed.
ABANDONED_MS = 1_000.0


class RunningCalls:
    """The calls in progress, and the requests that ran on servers that have just died.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_abandoned", "_by_server", "_clock", "_counts", "_recent_deaths")

    def __init__(self, clock):
        self._clock = clock
        self._abandoned = {}
        self._by_server = {}
        self._counts = {}
        self._recent_deaths = {}

    def __contains__(self, fingerprint):
        """Return whether a call of the request is in progress."""
        return fingerprint in self._counts

    def start(self, server, fingerprint):
        """Add a call of the request to the server."""
        running = self._by_server.setdefault(server, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1
        self._counts[fingerprint] = self._counts.get(fingerprint, 0) + 1

    def end(self, server, fingerprint):
        """Remove a call of the request to the server."""
        running = self._by_server.get(server)
        if running is None or fingerprint not in running:
            return
        _decrement(running, fingerprint)
        if not running:
            del self._by_server[server]
        _decrement(self._counts, fingerprint)

    def abandon(self, server, fingerprint):
        """Record that a call in progress is given up; the server may go on with the request."""
        self._drop_old_abandoned()
        self._abandoned.pop((server, fingerprint), None)
        self._abandoned[server, fingerprint] = self._clock.now_ms()

    def abandoned(self, server):
        """Return the fingerprints of the requests that the server may still run unobserved."""
        self._drop_old_abandoned()
        return {fingerprint for name, fingerprint in self._abandoned if name == server}

    def _drop_old_abandoned(self):
        since_ms = self._clock.now_ms() - ABANDONED_MS
        while self._abandoned:
            oldest = next(iter(self._abandoned))
            if self._abandoned[oldest] >= since_ms:
                return
            del self._abandoned[oldest]

    def at_death(self, server, fingerprint):
        """Return the fingerprints of all requests that ran on the server when it died.

        Their connections end one after another: all of them share the set that is started when the
        first one ends.
        """
        now_ms = self._clock.now_ms()
        since_ms, requests = self._recent_deaths.get(server, (None, None))
        if since_ms is None or now_ms - since_ms > CORRELATION_WINDOW_MS:
            self._recent_deaths = _drop_expired(self._recent_deaths, now_ms)
            requests = set()
            self._recent_deaths[server] = (now_ms, requests)
        requests |= set(self._by_server.get(server, ()))
        requests |= self.abandoned(server)
        requests.add(fingerprint)
        return requests


def _decrement(counts, key):
    counts[key] -= 1
    if counts[key] == 0:
        del counts[key]


def _drop_expired(deaths, now_ms):
    fresh = {}
    for server, (since_ms, requests) in deaths.items():
        if now_ms - since_ms <= CORRELATION_WINDOW_MS:
            fresh[server] = (since_ms, requests)
    return fresh
