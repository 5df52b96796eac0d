"""Keeps all nodes together to the rate that cold servers take."""

import logging
import math

from ..clock import MS_PER_SECOND
from ..decisions import log_decision

log = logging.getLogger("gate")

# An unused turn lapses after this time, so that the turns of many nodes do not add up.
TURN_MS = 300.0


class ColdTurns:
    """The turns of this node at a cold server; there are new ones whenever it turns cold again.

    ``until_ms`` is when the server is warm, ``next_ms`` the time of the next turn.
    """

    __slots__ = ("next_ms", "rate_per_s", "until_ms")

    def __init__(self, rate_per_s, next_ms):
        self.rate_per_s = rate_per_s
        self.next_ms = next_ms
        self.until_ms = -math.inf


class ColdServers:
    """The cold servers, and this node's turns to send to them.

    Answers servers that have just started, or turn cold at any moment, many at once: they crash
    when all nodes send as usual. A node sends to a cold server only in its turn; turns are evenly
    spaced by the node's share of the rate, begin at a random time and lapse when not used.

    Servers are identified by their incarnation. It has the methods of
    :class:`~auburnhollow.limits.ServerRates` that a choice of servers needs.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param share: function of an incarnation that returns this node's share of its rate, 0 to 1.
    """

    __slots__ = ("_clock", "_cold", "_heard", "_random", "_services", "_share")

    def __init__(self, clock, random, share):
        self._clock = clock
        self._random = random
        self._share = share
        self._services = {}
        self._cold = {}
        self._heard = {}

    def __len__(self):
        return len(self._cold)

    def set_services(self, services):
        """Set the services whose cold servers have a rate.

        :param services: dictionary of names to :class:`~auburnhollow.routes.Service`.
        """
        self._services = services

    def hear(self, server):
        """Apply a server's entry; one that was applied before does not make it cold again."""
        service = self._services.get(server.service)
        rate_per_s = None if service is None else service.cold_rate_per_s
        if not rate_per_s:
            return
        if self._heard.get(server.incarnation) == server.sequence:
            return
        self._heard[server.incarnation] = server.sequence
        if server.warm_up_ms <= 0:
            self._end(server.incarnation, "entry")
            return
        now_ms = self._clock.now_ms()
        turns = self.turns(server.incarnation)
        if turns is None:
            interval_ms = self._interval_ms(server.incarnation, rate_per_s)
            turns = ColdTurns(rate_per_s, now_ms + self._random.random() * interval_ms)
            self._cold[server.incarnation] = turns
            log_decision(
                log,
                "server cold",
                server=server.id,
                rate_per_s=rate_per_s,
                for_ms=round(server.warm_up_ms),
                sequence=server.sequence,
                source="entry",
            )
        turns.until_ms = now_ms + server.warm_up_ms

    def turns(self, incarnation):
        """Return the :class:`ColdTurns` of a server, ``None`` if it is warm."""
        if not self._cold:
            return None
        turns = self._cold.get(incarnation)
        if turns is not None and self._clock.now_ms() >= turns.until_ms:
            self._end(incarnation, "time")
            return None
        return turns

    def wait_ms(self, incarnation):
        """Return how long a request to the server must wait for a turn of this node."""
        turns = self.turns(incarnation)
        if turns is None:
            return 0.0
        self._skip_lapsed(incarnation, turns)
        return max(0.0, turns.next_ms - self._clock.now_ms())

    def take(self, incarnation):
        """Use the next turn; the request must be sent after :meth:`wait_ms`, not before."""
        turns = self.turns(incarnation)
        if turns is None:
            return
        self._skip_lapsed(incarnation, turns)
        turns.next_ms += self._interval_ms(incarnation, turns.rate_per_s)

    def forget(self, known):
        """Drop servers that are gone.

        :param known: set of the incarnations that are known.
        """
        for incarnation in [each for each in self._heard if each not in known]:
            del self._heard[incarnation]
            self._cold.pop(incarnation, None)

    def _end(self, incarnation, source):
        if self._cold.pop(incarnation, None) is not None:
            log_decision(log, "server warm", server=incarnation[0], source=source)

    def _interval_ms(self, incarnation, rate_per_s):
        return MS_PER_SECOND / (rate_per_s * self._share(incarnation))

    def _skip_lapsed(self, incarnation, turns):
        overdue_ms = self._clock.now_ms() - TURN_MS - turns.next_ms
        if overdue_ms > 0:
            interval_ms = self._interval_ms(incarnation, turns.rate_per_s)
            turns.next_ms += math.ceil(overdue_ms / interval_ms) * interval_ms
