"""How long requests wait at backend servers, from the load that these report."""

import math
from collections import deque

# Reports of other calls arrive about this often at a busy server; the queue hardly changes by then.
FRESH_MS = 100.0
MIN_SAMPLE_MS = 0.1
# With more nodes, what one of them starts says little of what the others do.
MAX_WEIGHT = 4
# After this time without a report of a queue, nothing is known to be full.
BUSY_MS = 1_000.0
# Averages over about ten answers of a server, and over fifty of a route.
SMOOTHING = 0.1
ROUTE_SMOOTHING = 0.02
# Slow calls take about twice the typical time, and a request ends with the slowest of its calls.
TAIL = 2.0
# Covers the reports of a busy server while one call waits there.
MAX_PAST_QUEUES = 64


class Report:
    """A server's last report of its load.

    ``queue`` is the number of requests that wait, negative for free slots, with those that have
    started since; ``heard_ms`` is the time of the report.
    """

    __slots__ = ("heard_ms", "queue")

    def __init__(self, queue, heard_ms):
        self.queue = queue
        self.heard_ms = heard_ms


class Room:
    """Tracks the queues at backend servers, and how fast they drain.

    It answers overload of servers: too many callers, or too few or slow servers. A report is
    trusted for ``FRESH_MS``; from then on the queue is taken to drain, so that old reports stop
    counting by themselves. A server without a report has room: nothing is refused for lack of
    knowledge.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param count_nodes: function that returns the number of nodes that call servers.

    >>> room.hear(server, "listing", load=12, work_ms=80.0)
    >>> room.queue_ms([server])
    23.5
    """

    __slots__ = (
        "_busy_until_ms",
        "_clock",
        "_count_nodes",
        "_past_queues",
        "_reports",
        "_route_ms",
        "_service_ms",
        "_slowness",
        "_work_ms",
    )

    def __init__(self, clock, count_nodes=lambda: 1):
        self._clock = clock
        self._count_nodes = count_nodes
        self._past_queues = {}
        self._reports = {}
        self._route_ms = {}
        self._service_ms = {}
        self._slowness = {}
        self._work_ms = {}
        self._busy_until_ms = -math.inf

    @property
    def is_busy(self):
        """Whether a server has reported a queue within ``BUSY_MS``."""
        return self._clock.now_ms() < self._busy_until_ms

    def hear(self, server, route_name, load, work_ms):
        """Record an answer.

        :param server: :class:`~auburnhollow.servers.Server`.
        :param load: how many requests the server reports to have, or ``None``.
        :param work_ms: how long the server took in milliseconds, with the wait for a slot.
        """
        if load is None:
            return
        incarnation = server.incarnation
        now_ms = self._clock.now_ms()
        queue = max(0, load - server.slots)
        # A call waits for the queue that it meets; the one at its end may be much longer.
        met_queue = self._queue_at(incarnation, now_ms - work_ms, queue)
        sample_ms = max(MIN_SAMPLE_MS, work_ms) / (1.0 + met_queue / server.slots)
        past_queues = self._past_queues.setdefault(incarnation, deque(maxlen=MAX_PAST_QUEUES))
        past_queues.append((now_ms, queue))
        self._service_ms[incarnation] = _smoothed(self._service_ms.get(incarnation), sample_ms)
        route_ms = _smoothed(self._route_ms.get(route_name), sample_ms, ROUTE_SMOOTHING)
        self._route_ms[route_name] = route_ms
        self._slowness[incarnation] = _smoothed(
            self._slowness.get(incarnation), sample_ms / route_ms
        )
        self._reports[incarnation] = Report(load - server.slots, now_ms)
        if queue:
            self._busy_until_ms = now_ms + BUSY_MS
            return
        self._work_ms[route_name] = _smoothed(self._work_ms.get(route_name), work_ms)

    def hear_full(self, server):
        """Record that a server has refused a request because its queue is full."""
        report = self._reports.get(server.incarnation)
        queue = max(2 * server.slots, 0.0 if report is None else report.queue)
        self._reports[server.incarnation] = Report(queue, self._clock.now_ms())
        self._busy_until_ms = self._clock.now_ms() + BUSY_MS

    def started(self, servers):
        """Record that this node starts a request on one of the servers of a service.

        Other nodes get requests as this one does, and start them too.
        """
        weight = min(MAX_WEIGHT, max(1, self._count_nodes())) / max(1, len(servers))
        for server in servers:
            report = self._reports.get(server.incarnation)
            if report is not None:
                report.queue += weight

    def queue_ms(self, servers, work_ms=0.0):
        """Return the shortest wait for a slot at any of the servers; infinity without servers.

        :param work_ms: how long a call takes without a wait; where no server has a free slot, the
            time that a slow one takes beyond that counts too.
        """
        least_ms = math.inf
        for server in servers:
            least_ms = min(least_ms, self._server_queue_ms(server, work_ms))
            if least_ms == 0.0:
                break
        return least_ms

    def work_ms(self, route_name, default):
        """Return how long a route's calls take without a wait, in milliseconds."""
        return self._work_ms.get(route_name, default)

    def forget(self, servers):
        """Drop what is known of all servers except these."""
        kept = {server.incarnation for server in servers}
        for known in (self._past_queues, self._reports, self._service_ms, self._slowness):
            for incarnation in [each for each in known if each not in kept]:
                del known[incarnation]

    def _queue_at(self, incarnation, at_ms, default):
        """Return the queue that a server had last reported at a time, or ``default``."""
        for heard_ms, queue in reversed(self._past_queues.get(incarnation, ())):
            if heard_ms <= at_ms:
                return queue
        return default

    def _server_queue_ms(self, server, work_ms):
        report = self._reports.get(server.incarnation)
        service_ms = self._service_ms.get(server.incarnation)
        if report is None or service_ms is None:
            return 0.0
        age_ms = max(0.0, self._clock.now_ms() - report.heard_ms - FRESH_MS)
        queue_ms = report.queue / server.slots * service_ms - age_ms
        if queue_ms <= 0.0:
            return 0.0
        return queue_ms + TAIL * work_ms * max(0.0, self._slowness[server.incarnation] - 1.0)


def _smoothed(known, sample, smoothing=SMOOTHING):
    return sample if known is None else known + smoothing * (sample - known)
