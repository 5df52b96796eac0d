"""Detects that this node is cut off from all backend servers."""

import asyncio
import logging
import math

from ..clock import MS_PER_SECOND
from ..decisions import log_decision

log = logging.getLogger("reach")

# Distinct servers in trouble, within the window, that start a check: beside answers of others, and
# while no server answers.
MIN_TROUBLED = 3
MIN_TROUBLED_IN_SILENCE = 2
TROUBLE_WINDOW_MS = 1_000.0
# No answer for this long is a silence. Late calls alone start a check only then, since servers
# pause one by one.
SILENCE_MS = 100.0
# Connections of a check; those after the first ones are opened only if these are not accepted.
FIRST_ATTEMPTS = 2
MAX_ATTEMPTS = 6
HEAD_START_MS = 60.0
# Several times the longest round trip, so that lost links are told from long ones.
ATTEMPT_TIMEOUT_MS = 300.0
# Pause after a check that has reached a server.
CHECK_PAUSE_MS = 500.0
# Pause between the checks of a node that is cut off.
RECHECK_PAUSE_MS = 300.0


class Reach:
    """Decides whether this node reaches any backend server.

    Several servers in trouble at once start a check, which tries to connect to servers of several
    data centres. The node is cut off if none accepts a connection, and no longer once one does.
    A connection that lives on while new ones fail does not count: it may end at any time.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param can_connect: coroutine function that returns whether a server accepts a connection.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.

    ``on_change`` is called with the new value of :attr:`is_cut_off`.
    """

    __slots__ = (
        "_answered_ms",
        "_can_connect",
        "_clock",
        "_cut_off_ms",
        "_decided",
        "_next_check_ms",
        "_random",
        "_refusing",
        "_registry",
        "_silent",
        "_task",
        "on_change",
    )

    def __init__(self, clock, random, can_connect, registry):
        self._clock = clock
        self._random = random
        self._can_connect = can_connect
        self._registry = registry
        self._answered_ms = -math.inf
        self._cut_off_ms = None
        self._decided = asyncio.Event()
        self._decided.set()
        self._next_check_ms = -math.inf
        self._refusing = {}
        self._silent = {}
        self._task = None
        self.on_change = None

    @property
    def is_cut_off(self):
        """Whether this node reaches no server."""
        return self._cut_off_ms is not None

    @property
    def answered_ms(self):
        """When a server has last answered, in milliseconds of the clock."""
        return self._answered_ms

    @property
    def cut_off_ms(self):
        """How long this node has reached no server, in milliseconds; ``None`` if it does."""
        return None if self._cut_off_ms is None else self._clock.now_ms() - self._cut_off_ms

    @property
    def is_deciding(self):
        """Whether a check is in progress."""
        return not self._decided.is_set()

    async def decided(self):
        """Wait for the check in progress."""
        await self._decided.wait()

    def record_answer(self):
        """Record that a server has answered."""
        self._answered_ms = self._clock.now_ms()

    def record_refusal(self, server):
        """Record that a server accepted no connection, or that one was lost."""
        self._record(self._refusing, server)

    def record_silence(self, server):
        """Record that a call to a server is late."""
        self._record(self._silent, server)

    def hear_of_cut(self):
        """Check the links of this node, since a peer is cut off, unless servers answer."""
        now_ms = self._clock.now_ms()
        if not self._is_settled(now_ms) and self._is_silent(now_ms) and len(self._registry):
            self._start_check(now_ms)

    def close(self):
        """Cancel the check in progress."""
        if self._task is not None:
            self._task.cancel()

    def _record(self, troubled_ms, server):
        now_ms = self._clock.now_ms()
        if self._is_settled(now_ms):
            return
        troubled_ms[server.id] = now_ms
        refusing = _drop_old(self._refusing, now_ms)
        count = len(refusing)
        needed = MIN_TROUBLED
        if self._is_silent(now_ms):
            count = len(refusing.keys() | _drop_old(self._silent, now_ms).keys())
            needed = MIN_TROUBLED_IN_SILENCE
        if count >= min(needed, len(self._registry)):
            self._start_check(now_ms)

    def _is_settled(self, now_ms):
        """Return whether no further trouble is needed to decide."""
        return self._task is not None or now_ms < self._next_check_ms

    def _is_silent(self, now_ms):
        return now_ms - self._answered_ms >= SILENCE_MS

    def _start_check(self, now_ms):
        self._decided.clear()
        self._task = asyncio.get_running_loop().create_task(self._check(now_ms))
        self._task.add_done_callback(self._on_checked)

    def _on_checked(self, _task):
        self._task = None
        self._decided.set()

    async def _check(self, began_ms):
        inputs = {
            "refusing": len(_drop_old(self._refusing, began_ms)),
            "silent": len(_drop_old(self._silent, began_ms)),
            "answer_age_ms": _rounded(began_ms - self._answered_ms),
        }
        tried = self._choose_servers()
        is_reached = await self._reaches_any(tried, FIRST_ATTEMPTS)
        self._refusing.clear()
        self._silent.clear()
        now_ms = self._clock.now_ms()
        log_decision(
            log,
            "servers are reached" if is_reached else "cut off from all servers",
            level=logging.INFO if is_reached else logging.WARNING,
            tried=[server.id for server in tried],
            took_ms=round(now_ms - began_ms),
            **inputs,
        )
        if not is_reached:
            await self._run_cut_off(now_ms)
        self._next_check_ms = self._clock.now_ms() + CHECK_PAUSE_MS

    async def _run_cut_off(self, now_ms):
        """Be cut off until a server accepts a connection."""
        self._set_cut_off(now_ms)
        checks = 0
        while True:
            await self._clock.sleep(RECHECK_PAUSE_MS * (0.75 + 0.5 * self._random.random()))
            checks += 1
            tried = self._choose_servers()[:FIRST_ATTEMPTS]
            if await self._reaches_any(tried, FIRST_ATTEMPTS):
                break
        lasted_ms = round(self._clock.now_ms() - now_ms)
        log_decision(log, "no longer cut off", lasted_ms=lasted_ms, checks=checks)
        self._set_cut_off(None)

    def _set_cut_off(self, since_ms):
        self._cut_off_ms = since_ms
        self._decided.set()
        if self.on_change is not None:
            self.on_change(since_ms is not None)

    def _choose_servers(self):
        """Return servers to connect to: of different data centres, without trouble first."""
        by_data_centre = {}
        servers = self._registry.servers
        self._random.shuffle(servers)
        servers.sort(key=lambda server: server.id in self._refusing or server.id in self._silent)
        for server in servers:
            by_data_centre.setdefault(server.data_centre, []).append(server)
        chosen = []
        while by_data_centre and len(chosen) < MAX_ATTEMPTS:
            for data_centre in list(by_data_centre):
                chosen.append(by_data_centre[data_centre].pop(0))
                if not by_data_centre[data_centre]:
                    del by_data_centre[data_centre]
        return chosen[:MAX_ATTEMPTS]

    async def _reaches_any(self, servers, first):
        """Return whether one of the servers accepts a connection; ``True`` without any server.

        :param first: how many connections are opened at once; the others follow after
            ``HEAD_START_MS``.
        """
        if not servers:
            return True
        loop = asyncio.get_running_loop()
        attempts = {loop.create_task(self._can_connect(server)) for server in servers[:first]}
        try:
            if await self._any_accepted(attempts, HEAD_START_MS if servers[first:] else 0.0):
                return True
            attempts |= {loop.create_task(self._can_connect(each)) for each in servers[first:]}
            return await self._any_accepted(attempts, ATTEMPT_TIMEOUT_MS)
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _any_accepted(self, attempts, wait_ms):
        """Return whether one of the attempts succeeds within ``wait_ms`` milliseconds."""
        due_ms = self._clock.now_ms() + wait_ms
        pending = attempts
        while pending and self._clock.now_ms() < due_ms:
            left_s = (due_ms - self._clock.now_ms()) / MS_PER_SECOND
            done, pending = await asyncio.wait(
                pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED
            )
            if any(attempt.result() for attempt in done):
                return True
        await self._clock.catch_up(due_ms)
        return any(attempt.done() and attempt.result() for attempt in attempts)


def _drop_old(times_ms, now_ms):
    """Drop the entries older than ``TROUBLE_WINDOW_MS``; return the others."""
    for name in [name for name, at in times_ms.items() if now_ms - at > TROUBLE_WINDOW_MS]:
        del times_ms[name]
    return times_ms


def _rounded(duration_ms):
    return None if math.isinf(duration_ms) else round(duration_ms)
