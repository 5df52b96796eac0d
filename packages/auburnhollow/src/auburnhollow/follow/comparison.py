"""Compares the configuration in force with the store's, whatever the watches have delivered."""

import logging

from ..decisions import log_decision
from ..exceptions import StoreUnavailable

log = logging.getLogger("follow")

# With the time that other nodes take to fetch a version, well within the 5 s of a change.
INTERVAL_MS = 2_500.0
JITTER = 0.3


class StoreComparison:
    """Finds configurations that the watches of this node, or of all nodes, have not delivered.

    A watch says that nothing is left after a position; it can't say that what came before it was
    delivered. A configuration that the watch has passed over is put in force, other nodes are told
    of it, and everything is read again, as the watch may have passed over servers too.

    :param follower: :class:`~auburnhollow.follow.Follower`.
    :param feed: the :class:`~auburnhollow.follow.Feed` of the follower.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    """

    __slots__ = ("_awaited", "_clock", "_feed", "_follower", "_metrics", "_random")

    def __init__(self, follower, feed, clock, random, metrics):
        self._awaited = None
        self._clock = clock
        self._feed = feed
        self._follower = follower
        self._metrics = metrics
        self._random = random

    async def run(self):
        """Compare from time to time until cancelled."""
        while True:
            await self._clock.sleep(INTERVAL_MS * self._random.uniform(1 - JITTER, 1 + JITTER))
            if self._follower.is_reachable and self._follower.is_direct:
                await self.compare()

    async def compare(self):
        """Compare once; a store that does not answer is left to the watch."""
        try:
            update = await self._feed.undelivered_configuration()
        except StoreUnavailable as error:
            log_decision(log, "not compared", level=logging.DEBUG, error=str(error))
            return
        awaited = self._awaited
        self._awaited = None
        if update is not None and self._follower.take_undelivered(update):
            if self._follower.has_passed(update.position):
                self._on_missed(update.position)
            else:
                self._awaited = update.position
        elif awaited is not None and not self._follower.has_passed(awaited):
            self._on_missed(awaited)

    def _on_missed(self, position):
        self._metrics.incr("store.missed")
        log_decision(
            log,
            "watch has missed a configuration, reading the whole store",
            level=logging.WARNING,
            position=position,
        )
        self._follower.read_again()
