"""Keeps all nodes together to the request rates that backend servers name."""

import logging
import math

from ..clock import MS_PER_SECOND
from ..decisions import log_decision
from ..records import Record

log = logging.getLogger("limits")

# An unused turn lapses after this time, so that the turns of many nodes do not add up.
TURN_MS = 500.0
# Somebody has to hear when a server no longer names a rate.
MIN_RATE_PER_S = 0.5
# A lower count of nodes is not trusted: other nodes may not be known yet.
MIN_NODES = 3
# Smaller changes are not gossiped: each node hears them from the server itself.
TOLD_CHANGE = 0.25


class Notice(Record):
    """What a backend server says of itself in an answer, whatever the answer's status.

    ``rate_per_s`` is how many requests a second it takes from all nodes together, ``None`` for any
    number; what it says of that counts if ``has_rate`` is set. ``is_leaving`` is set if it takes no
    new work. ``hold_ms`` is how long it wants nothing from the node that it has refused, in
    milliseconds, or ``None``.
    """

    __slots__ = ("rate_per_s", "has_rate", "is_leaving", "hold_ms")
    DEFAULTS = {"has_rate": True, "is_leaving": False, "hold_ms": None}


class RateLimit:
    """The rate that one incarnation of a server has named.

    ``asked_ms`` is the start of the call whose answer named it; ``rate_per_s`` is ``None`` once it
    has ended. This node's turns come every ``interval_ms``, the next one at ``turn_ms``.
    """

    __slots__ = ("asked_ms", "rate_per_s", "source", "told_rate_per_s", "turn_ms")

    def __init__(self):
        self.asked_ms = -math.inf
        self.rate_per_s = None
        self.source = None
        self.told_rate_per_s = None
        self.turn_ms = None


class EvenShare:
    """Divides a rate evenly among the nodes.

    The highest count of nodes that was seen applies: nodes that are no longer seen may still send.

    :param live_nodes: function that returns the ids of all live nodes.
    """

    __slots__ = ("_live_nodes", "_max_nodes")

    def __init__(self, live_nodes):
        self._live_nodes = live_nodes
        self._max_nodes = MIN_NODES

    def fraction(self, _incarnation):
        """Return this node's share of the rate of any server, 0 to 1."""
        self._max_nodes = max(self._max_nodes, len(self._live_nodes()))
        return 1.0 / self._max_nodes


class ServerRates:
    """The rates that servers have named, and this node's turns to send to these servers.

    A node sends a request to such a server only in its turn. Its turns are evenly spaced by its
    share of the rate, begin at a random time and lapse when they are not used: if each node had
    saved one, many nodes would exceed a low rate at once.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param share: function of an incarnation that returns this node's share of its rate, 0 to 1.
        The shares of all nodes must not add up to more than 1.

    ``on_change`` is a callback for peers; it receives the incarnation, the rate or ``None``, and
    how long ago the server was asked, in milliseconds.

    Servers are identified by their incarnation, a pair of the id and the time of the start.

    >>> rates.hear(server.incarnation, Notice(rate_per_s=3.0), asked_ms)
    >>> rates.wait_ms(server.incarnation)
    240.0
    >>> rates.take(server.incarnation)
    """

    __slots__ = ("_clock", "_in_force", "_limits", "_random", "_share", "on_change")

    def __init__(self, clock, random, share):
        self._clock = clock
        self._random = random
        self._share = share
        self._limits = {}
        self._in_force = set()
        self.on_change = None

    def __len__(self):
        return len(self._in_force)

    def rate_per_s(self, incarnation):
        """Return the rate that a server has named, or ``None``."""
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.rate_per_s

    def hear(self, incarnation, notice, asked_ms):
        """Apply a :class:`Notice` of a server.

        :param asked_ms: the start of the call that it answered; of two answers that overtake each
            other, that to the later call counts.
        """
        known = self._limits.get(incarnation)
        if notice.rate_per_s is None and known is None:
            return
        limit = self._apply(incarnation, notice.rate_per_s, asked_ms, "answer")
        if limit is not None and _is_news(limit.told_rate_per_s, limit.rate_per_s):
            limit.told_rate_per_s = limit.rate_per_s
            if self.on_change is not None:
                age_ms = self._clock.now_ms() - asked_ms
                self.on_change(incarnation, limit.rate_per_s, age_ms)

    def hear_from_peer(self, incarnation, rate_per_s, asked_ms):
        """Apply the rate that a server has named to a peer, which asked it at ``asked_ms``."""
        limit = self._apply(incarnation, rate_per_s, asked_ms, "peer")
        if limit is not None:
            limit.told_rate_per_s = rate_per_s

    def wait_ms(self, incarnation):
        """Return how long a request to the server must wait for a turn of this node."""
        if incarnation not in self._in_force:
            return 0.0
        limit = self._limits[incarnation]
        self._skip_lapsed(incarnation, limit)
        return max(0.0, limit.turn_ms - self._clock.now_ms())

    def take(self, incarnation):
        """Use the next turn; the request must be sent after :meth:`wait_ms`, not before."""
        if incarnation not in self._in_force:
            return
        limit = self._limits[incarnation]
        self._skip_lapsed(incarnation, limit)
        limit.turn_ms += self._interval_ms(incarnation, limit)

    def limited(self):
        """Return the rates in force, by server id."""
        return {each[0]: self._limits[each].rate_per_s for each in self._in_force}

    def forget(self, known):
        """Drop the limits of servers that are gone.

        :param known: set of the incarnations that are known.
        """
        for incarnation in [each for each in self._limits if each not in known]:
            del self._limits[incarnation]
            self._in_force.discard(incarnation)

    def _apply(self, incarnation, rate_per_s, asked_ms, source):
        """Apply a rate unless a newer one is known; return the :class:`RateLimit`, or ``None``."""
        limit = self._limits.setdefault(incarnation, RateLimit())
        if asked_ms < limit.asked_ms:
            return None
        before = limit.rate_per_s
        limit.asked_ms = asked_ms
        limit.source = source
        limit.rate_per_s = rate_per_s
        if rate_per_s is None:
            self._in_force.discard(incarnation)
        else:
            self._in_force.add(incarnation)
            if before is None:
                # Turns of all nodes together would come at once if they began now.
                first_ms = self._random.random() * self._interval_ms(incarnation, limit)
                limit.turn_ms = self._clock.now_ms() + first_ms
            else:
                now_ms = self._clock.now_ms()
                ratio = max(MIN_RATE_PER_S, before) / max(MIN_RATE_PER_S, rate_per_s)
                limit.turn_ms = now_ms + (limit.turn_ms - now_ms) * ratio
        if _is_news(before, rate_per_s):
            log_decision(
                log,
                "server names a rate"
                if rate_per_s is not None
                else "server names no rate any more",
                server=incarnation[0],
                rate_per_s=rate_per_s,
                before_per_s=before,
                source=source,
                age_ms=round(self._clock.now_ms() - asked_ms),
            )
        return limit

    def _interval_ms(self, incarnation, limit):
        """Return the time between two turns of this node at a server."""
        rate_per_s = max(MIN_RATE_PER_S, limit.rate_per_s)
        return MS_PER_SECOND / (rate_per_s * self._share(incarnation))

    def _skip_lapsed(self, incarnation, limit):
        overdue_ms = self._clock.now_ms() - TURN_MS - limit.turn_ms
        if overdue_ms > 0:
            interval_ms = self._interval_ms(incarnation, limit)
            limit.turn_ms += math.ceil(overdue_ms / interval_ms) * interval_ms


def _is_news(before, after):
    """Return whether a rate has begun, has ended or differs by more than ``TOLD_CHANGE``."""
    if before is None or after is None:
        return before is not after
    return abs(after - before) > TOLD_CHANGE * before
