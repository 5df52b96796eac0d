"""Decides whether a request starts now, waits or is refused."""

from enum import StrEnum

from ..records import Record
from .room import TAIL

# However long the calls of a route take, this share of its objective may be spent waiting.
LEAST_SLACK_SHARE = 0.25
# Reports are some tens of milliseconds old and other nodes start requests too, so that a queue may
# be longer than known.
USED_SHARE = 0.3
# Requests leave this share of the queue that more urgent ones may join to these.
YIELD_SHARE = 0.5
# More urgent requests count while they come at least this often.
SEEN_MS = 5_000.0


class Verdict(StrEnum):
    """What happens to a request next."""

    START = "start"
    WAIT = "wait"
    REFUSE = "refuse"


class Ask(Record):
    """A request that asks to start.

    ``services`` are the services that it is sent to, ``least`` how many of them must answer.
    ``homes`` are the regions whose servers may get it, ``None`` for any. ``urgency`` is 0 for the
    most urgent requests. ``work_ms`` is how long its calls take without a wait. ``received_ms`` is
    the time of its arrival, ``objective_ms`` the target for the answer, counted from then.
    ``is_returning`` tells whether it was refused before and has come back when it was told to.
    """

    __slots__ = (
        "id",
        "route",
        "account",
        "homes",
        "urgency",
        "services",
        "least",
        "work_ms",
        "received_ms",
        "objective_ms",
        "is_returning",
    )
    DEFAULTS = {"account": None, "homes": None, "is_returning": False}

    @property
    def cost(self):
        """The work that the request causes, in milliseconds of servers' slots."""
        return self.work_ms * len(self.services)


class Admission:
    """Decides by the wait at the servers whether a request would be answered in its objective.

    It answers more load than the servers can serve: a request that would be late anyway costs the
    others their time. The service with the least room bounds a request: unless as many services as
    it needs have room, it starts on none. More urgent requests find shorter queues, since less
    urgent ones start only while the queue is half as long.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param room: :class:`~auburnhollow.admission.Room`.
    :param servers: function of a service and of homes that returns the servers that may get
        requests.
    """

    __slots__ = ("_clock", "_room", "_seen", "_servers")

    def __init__(self, clock, room, servers):
        self._clock = clock
        self._room = room
        self._servers = servers
        self._seen = {}

    def decide(self, ask):
        """Return the :class:`Verdict` for an :class:`Ask` now."""
        queue_ms = self.queue_ms(ask)
        if queue_ms <= min(self.slack_ms(ask) * USED_SHARE, self._yielded_ms(ask)):
            return Verdict.START
        if queue_ms > self.slack_ms(ask):
            return Verdict.REFUSE
        return Verdict.WAIT

    def queue_ms(self, ask):
        """Return the expected wait for slots at as many services as must answer."""
        waits_ms = []
        for service in ask.services:
            waits_ms.append(self._room.queue_ms(self._servers(service, ask.homes), ask.work_ms))
        return sorted(waits_ms)[ask.least - 1]

    def slack_ms(self, ask):
        """Return how long the request can still wait and be answered in its objective, or 0."""
        age_ms = self._clock.now_ms() - ask.received_ms
        return max(0.0, _whole_slack_ms(ask) - age_ms)

    def started(self, ask):
        """Record that a request starts."""
        for service in ask.services:
            self._room.started(self._servers(service, ask.homes))

    def arrived(self, ask):
        """Record that a request has arrived, for which less urgent ones leave room."""
        self._seen[(ask.route, ask.urgency)] = (ask, self._clock.now_ms())

    def _yielded_ms(self, ask):
        """Return the longest queue that a request may join for the sake of more urgent ones."""
        since_ms = self._clock.now_ms() - SEEN_MS
        found_ms = _whole_slack_ms(ask)
        for other, seen_ms in self._seen.values():
            if other.urgency >= ask.urgency or seen_ms < since_ms:
                continue
            if not set(other.services).isdisjoint(ask.services):
                found_ms = min(found_ms, _whole_slack_ms(other) * USED_SHARE * YIELD_SHARE)
        return found_ms


def _whole_slack_ms(ask):
    slack_ms = ask.objective_ms - TAIL * ask.work_ms
    return max(slack_ms, ask.objective_ms * LEAST_SLACK_SHARE)
