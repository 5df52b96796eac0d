"""Keeps this node away from servers that have asked it to come back later."""

import logging

from ..decisions import log_decision

log = logging.getLogger("limits")

# A server that asks for more is asked again after this time.
MAX_HOLD_MS = 30_000.0


class HoldOffs:
    """The servers that have refused a request of this node and named a time to come back.

    It holds for this node only, until that time or until the server starts again. Servers are
    identified by their incarnation. It has the methods of
    :class:`~auburnhollow.limits.ServerRates` that a choice of servers needs.

    :param clock: :class:`~auburnhollow.clock.Clock`.

    >>> hold_offs.hear(server.incarnation, hold_ms=1_500.0)
    >>> hold_offs.wait_ms(server.incarnation)
    1500.0
    """

    __slots__ = ("_clock", "_until_ms")

    def __init__(self, clock):
        self._clock = clock
        self._until_ms = {}

    def __len__(self):
        return len(self._until_ms)

    def hear(self, incarnation, hold_ms):
        """Stay away from a server for ``hold_ms`` milliseconds, ``MAX_HOLD_MS`` at most."""
        if hold_ms > MAX_HOLD_MS:
            log_decision(log, "hold off shortened", server=incarnation[0], hold_ms=round(hold_ms))
        until_ms = self._clock.now_ms() + min(hold_ms, MAX_HOLD_MS)
        if incarnation not in self._until_ms:
            log_decision(log, "server holds off", server=incarnation[0], hold_ms=round(hold_ms))
        self._until_ms[incarnation] = max(until_ms, self._until_ms.get(incarnation, until_ms))

    def wait_ms(self, incarnation):
        """Return how long nothing may be sent to a server yet."""
        until_ms = self._until_ms.get(incarnation)
        if until_ms is None:
            return 0.0
        left_ms = until_ms - self._clock.now_ms()
        if left_ms <= 0:
            del self._until_ms[incarnation]
            return 0.0
        return left_ms

    def take(self, incarnation):
        """Do nothing: a server that holds off has no turns."""

    def forget(self, known):
        """Drop the servers that are gone.

        :param known: set of the incarnations that are known.
        """
        for incarnation in [each for each in self._until_ms if each not in known]:
            del self._until_ms[incarnation]
