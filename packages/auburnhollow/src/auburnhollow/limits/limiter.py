"""Admission of callers' requests."""

import logging
from contextlib import contextmanager

from ..exceptions import Overloaded
from ..retry import jittered_ms
from .classes import FILL

log = logging.getLogger("limits")

LOWEST_LIMIT = 4
HIGHEST_LIMIT = 4_000
FIRST_LIMIT = 64
GROWTH = 1.0
CUT = 0.9
WINDOW_MS = 100.0
BUSY_PART = 0.5
RETRY_MS = 250.0
REPORT_EVERY_MS = 1_000.0


class AdmissionLimiter:
    """An adaptive limit on requests in progress, shed by class.

    Every ``WINDOW_MS`` in which the limiter was busy, the limit is cut by a tenth if backend
    servers shed requests or a deadline passed, and grows by one if not (additive increase,
    multiplicative decrease: D. Chiu, R. Jain, 1989). The three classes may fill different parts of
    the limit, so that reports are shed first and urgent requests last.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    :param random: a :class:`random.Random`, for the spread of retry times.
    """

    __slots__ = (
        "_busy",
        "_clock",
        "_events",
        "_is_bad",
        "_is_busy",
        "_limit",
        "_random",
        "_reported_ms",
        "_shed",
        "_shed_before",
        "_window_ms",
    )

    def __init__(self, clock, events, random, limit=FIRST_LIMIT):
        self._clock = clock
        self._events = events
        self._random = random
        self._limit = float(limit)
        self._busy = 0
        self._shed = 0
        self._shed_before = 0
        self._is_bad = False
        self._is_busy = False
        self._reported_ms = None
        self._window_ms = None

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
            self._is_busy = self._is_busy or self._busy >= self._limit * BUSY_PART
            return
        self._is_busy = True
        self._shed += 1
        self._report(request_class)
        raise Overloaded(
            f"{self._busy} requests are in progress, the limit is {self.limit}",
            retry_after_ms=jittered_ms(self._random, RETRY_MS),
        )

    def leave(self):
        """Give the place back."""
        self._busy -= 1

    def record_success(self):
        """Count a request that was answered in full and in time."""
        self._turn()

    def record_overload(self):
        """Count a sign of overload."""
        self._is_bad = True
        self._turn()

    def _turn(self):
        """At the end of a window, move the limit by what the window has shown."""
        now_ms = self._clock.now_ms()
        if self._window_ms is None:
            self._window_ms = now_ms
        if now_ms - self._window_ms < WINDOW_MS:
            return
        if self._is_busy and self._is_bad:
            self._limit = max(LOWEST_LIMIT, self._limit * CUT)
        elif self._is_busy:
            self._limit = min(HIGHEST_LIMIT, self._limit + GROWTH)
        self._window_ms = now_ms
        self._is_bad = False
        self._is_busy = False

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
def admitted(limiter, request_class):
    """Hold one place at the limiter for the length of the block."""
    limiter.enter(request_class)
    try:
        yield
    finally:
        limiter.leave()
