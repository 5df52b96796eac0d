"""Admission of callers' requests."""

import logging
from contextlib import contextmanager

from ..exceptions import Overloaded
from ..retry import spread_ms
from .classes import FILL

log = logging.getLogger("limits")

LOWEST_LIMIT = 8
HIGHEST_LIMIT = 4_000
FIRST_LIMIT = 64
GROWTH = 1.0
CUT = 0.9
CUT_PAUSE_MS = 100.0
BUSY_PART = 0.5
RETRY_MS = 250.0
REPORT_EVERY_MS = 1_000.0


class Gate:
    """An adaptive limit on requests in progress, shed by class.

    The limit grows by about one for each limit's worth of requests that end well while the gate
    is busy, and is cut by a tenth when backend servers shed or a deadline passes (additive
    increase, multiplicative decrease: D. Chiu, R. Jain, 1989). The three classes fill different
    parts of it, so that reports are shed first and urgent requests last.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    :param random: a :class:`random.Random`, for the spread of retry times.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_cut_ms",
        "_events",
        "_limit",
        "_random",
        "_reported_ms",
        "_shed",
        "_shed_before",
    )

    def __init__(self, clock, events, random, limit=FIRST_LIMIT):
        self._clock = clock
        self._events = events
        self._random = random
        self._limit = float(limit)
        self._busy = 0
        self._shed = 0
        self._shed_before = 0
        self._cut_ms = None
        self._reported_ms = None

    @property
    def busy(self):
        """How many requests are in progress."""
        return self._busy

    @property
    def limit(self):
        """How many may be, at most."""
        return int(self._limit)

    @property
    def shed(self):
        """How many were refused since the start."""
        return self._shed

    def enter(self, request_class):
        """Take one place.

        :raises Overloaded: at once, when the class has no place left.
        """
        if self._busy < self._limit * FILL[request_class]:
            self._busy += 1
            return
        self._shed += 1
        self._report(request_class)
        raise Overloaded(
            f"{self._busy} requests are in progress, the limit is {self.limit}",
            retry_after_ms=spread_ms(self._random, RETRY_MS),
        )

    def leave(self):
        """Give the place back."""
        self._busy -= 1

    def went_well(self):
        """Count a request that was answered in time."""
        if self._busy < self._limit * BUSY_PART:
            return
        self._limit = min(HIGHEST_LIMIT, self._limit + GROWTH / self._limit)

    def went_badly(self):
        """Count a sign of overload."""
        now_ms = self._clock.now_ms()
        if self._cut_ms is not None and now_ms - self._cut_ms < CUT_PAUSE_MS:
            return
        if self._busy < self._limit * BUSY_PART:
            return
        self._cut_ms = now_ms
        self._limit = max(LOWEST_LIMIT, self._limit * CUT)

    def _report(self, request_class):
        now_ms = self._clock.now_ms()
        if self._reported_ms is not None and now_ms - self._reported_ms < REPORT_EVERY_MS:
            return
        count = self._shed - self._shed_before
        self._shed_before = self._shed
        self._reported_ms = now_ms
        log.warning("limits: shed %d requests since the last report", count)
        self._events.record("shed", request_class=request_class, count=count, limit=self.limit)


@contextmanager
def admitted(gate, request_class):
    """Hold one place at the gate for the length of the block."""
    gate.enter(request_class)
    try:
        yield
    finally:
        gate.leave()
