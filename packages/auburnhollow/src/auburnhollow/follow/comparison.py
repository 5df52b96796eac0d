"""Compares what a node knows with the store, whatever the watches have delivered."""

import logging

from ..decisions import log_decision
from ..exceptions import StoreUnavailable

log = logging.getLogger("follow")

# With the time that other nodes take to fetch a version, well within the 5 s of a change.
INTERVAL_MS = 2_500.0
JITTER = 0.3
# A large entry on a slow link takes a second or two; other calls need that link too.
MIN_REST = 3.0
# Servers and evacuations that all watches have passed over are known within a minute, or two at
# nodes that follow the store through another node.
REREAD_MS = 50_000.0
REREAD_JITTER = 0.2


class StoreComparison:
    """Finds configurations that the watches of this node, or of all nodes, have not delivered.

    A watch says that nothing is left after a position; it can't say that what came before it was
    delivered. A newer configuration in the store is put in force, and other nodes are told of it.
    A node whose own watch does not deliver the version in force reads everything again, as that
    watch may have passed over servers too; until it has, it passes on no state as confirmed. Every
    node reads everything again from time to time, for what was passed over beside no version.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param feed: the :class:`~auburnhollow.follow.Feed` of the follower.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    """

    __slots__ = ("_clock", "_feed", "_follower", "_metrics", "_random", "_reread_ms")

    def __init__(self, follower, feed, clock, random, metrics):
        self._clock = clock
        self._feed = feed
        self._follower = follower
        self._metrics = metrics
        self._random = random
        self._reread_ms = None

    async def run(self):
        """Compare from time to time until cancelled."""
        self._reread_ms = self._next_reread_ms()
        took_ms = 0.0
        while True:
            pause_ms = INTERVAL_MS * self._random.uniform(1 - JITTER, 1 + JITTER)
            await self._clock.sleep(max(pause_ms, MIN_REST * took_ms))
            if not self._follower.is_reachable:
                continue
            started_ms = self._clock.now_ms()
            if self._follower.is_direct:
                await self.compare()
            took_ms = self._clock.now_ms() - started_ms
            self._check_delivery()
            self._check_age()

    async def compare(self):
        """Compare once; a store that does not answer is left to the watch."""
        try:
            update = await self._feed.undelivered_configuration()
        except StoreUnavailable as error:
            log_decision(log, "not compared", level=logging.DEBUG, error=str(error))
            return
        if update is not None:
            self._follower.take_undelivered(update)

    def _check_delivery(self):
        """Read everything again if the watch should have delivered the version in force."""
        follower = self._follower
        if follower.has_delivered or follower.in_force.age_ms < INTERVAL_MS:
            return
        self._metrics.incr("store.missed")
        log_decision(
            log,
            "watch has missed a configuration, reading everything",
            level=logging.WARNING,
            version=follower.routes.version,
        )
        follower.read_again()

    def _check_age(self):
        """Read everything again if that was last done long ago."""
        if self._clock.now_ms() < self._reread_ms:
            return
        self._reread_ms = self._next_reread_ms()
        self._metrics.incr("store.rereads")
        self._follower.read_again()

    def _next_reread_ms(self):
        share = self._random.uniform(1 - REREAD_JITTER, 1 + REREAD_JITTER)
        return self._clock.now_ms() + REREAD_MS * share
