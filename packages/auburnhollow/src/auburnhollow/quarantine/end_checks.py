"""Detects servers that have ended without closing their connections."""

import asyncio
import logging
from itertools import zip_longest

from ..decisions import log_decision

log = logging.getLogger("quarantine")

# Single attempts fail on lossy links, or while this process is stalled.
ATTEMPTS = 3
# Bounds the connections to the neighbours of a server.
MAX_NEIGHBOURS = 2
# A request may have ended servers of all shards at once: more are needed to find one that lives.
MAX_CONFIRMING = 6


class EndChecks:
    """Checks whether servers that left a request unanswered have ended.

    A host that goes away closes no connection: the calls to its servers stay unanswered. A server
    counts as ended if it accepts no connection in ``ATTEMPTS`` attempts while its data centre can
    be reached, that is, while another server there answers or accepts a connection.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param can_connect: coroutine function that returns whether a server accepts a connection.
    :param neighbours: function that returns the other servers in the data centre of a server.
    :param elsewhere: function that returns servers of other data centres.
    """

    __slots__ = (
        "_answered_ms",
        "_can_connect",
        "_clock",
        "_confirming",
        "_elsewhere",
        "_neighbours",
        "_tasks",
        "_waiting",
    )

    def __init__(self, clock, can_connect, neighbours, elsewhere=lambda server: ()):
        self._clock = clock
        self._can_connect = can_connect
        self._elsewhere = elsewhere
        self._neighbours = neighbours
        self._answered_ms = {}
        self._confirming = {}
        self._tasks = set()
        self._waiting = {}

    def record_answer(self, server):
        """Record that a server has answered."""
        self._answered_ms[server.data_centre] = self._clock.now_ms()

    def check(self, server, on_ended):
        """Check a server and call ``on_ended`` if it has ended.

        Checks of the same server that overlap share their attempts.
        """
        waiting = self._waiting.get(server.id)
        if waiting is not None:
            waiting.append(on_ended)
            return
        self._waiting[server.id] = [on_ended]
        task = asyncio.get_running_loop().create_task(self._run(server))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def confirm(self, server, on_ended):
        """Call ``on_ended`` if a server that refuses connections has ended.

        If no other server can be reached either, the links of this node may be at fault. Calls for
        the same server that overlap share their attempts.

        :returns: a task that returns whether the server has ended.
        """
        loop = asyncio.get_running_loop()
        reaching = self._confirming.get(server.id)
        if reaching is None:
            reaching = loop.create_task(self._reaches_other(server))
            self._confirming[server.id] = reaching
            reaching.add_done_callback(lambda _task: self._confirming.pop(server.id))
        task = loop.create_task(self._confirm(reaching, on_ended))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _confirm(self, reaching, on_ended):
        is_ended = await reaching
        if is_ended:
            on_ended()
        return is_ended

    async def _run(self, server):
        started_ms = self._clock.now_ms()
        try:
            result = await self._result(server, started_ms)
        finally:
            waiting = self._waiting.pop(server.id)
        log_decision(
            log,
            "unanswered call checked",
            server=server.id,
            result=result,
            calls=len(waiting),
            took_ms=round(self._clock.now_ms() - started_ms),
        )
        if result != "ended":
            return
        for on_ended in waiting:
            on_ended()

    async def _reaches_other(self, server):
        """Return whether a server near the given one, or elsewhere, accepts a connection."""
        pairs = zip_longest(self._neighbours(server), self._elsewhere(server))
        others = [other for pair in pairs for other in pair if other is not None]
        for other in others[:MAX_CONFIRMING]:
            if await self._can_connect(other):
                return True
        return False

    async def _result(self, server, started_ms):
        for _ in range(ATTEMPTS):
            if await self._can_connect(server):
                return "accepts connections"
        if await self._is_reachable(server, started_ms):
            return "ended"
        return "data centre out of reach"

    async def _is_reachable(self, server, since_ms):
        """Return whether the data centre of the server has been reached since a time."""
        if self._answered_ms.get(server.data_centre, -1.0) >= since_ms:
            return True
        unchecked = (each for each in self._neighbours(server) if each.id not in self._waiting)
        for neighbour, _ in zip(unchecked, range(MAX_NEIGHBOURS), strict=False):
            if await self._can_connect(neighbour):
                return True
        return False
