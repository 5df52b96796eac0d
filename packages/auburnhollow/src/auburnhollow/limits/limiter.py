"""Admission of callers' requests."""

import logging
from contextlib import contextmanager

from ..exceptions import Overloaded
from ..retry import jittered_ms
from .classes import CLASS_FRACTIONS

log = logging.getLogger("limits")

MIN_LIMIT = 4
MAX_LIMIT = 4_000
INITIAL_LIMIT = 64
INCREASE = 1.0
DECREASE_FACTOR = 0.9
WINDOW_MS = 100.0
BUSY_FRACTION = 0.5
RETRY_AFTER_MS = 250.0
REPORT_INTERVAL_MS = 1_000.0


class AdmissionLimiter:
    """An adaptive limit on requests in progress, shed by class.

    Every ``WINDOW_MS`` in which the limiter was busy, the limit is cut by a tenth if backend
    servers shed requests or a deadline passed, and grows by one if not (additive increase,
    multiplicative decrease: D. Chiu, R. Jain, 1989). The three classes may fill different parts of
    the limit, so that reports are shed first and urgent requests last.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    :param random: a :class:`random.Random`, for the jitter of retry times.
    :param limit: initial limit, in requests.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_in_progress",
        "_is_busy",
        "_is_overloaded",
        "_limit",
        "_random",
        "_reported_ms",
        "_reported_shed",
        "_shed",
        "_window_ms",
    )

    def __init__(self, clock, events, random, limit=INITIAL_LIMIT):
        self._clock = clock
        self._events = events
        self._random = random
        self._limit = float(limit)
        self._in_progress = 0
        self._shed = 0
        self._reported_shed = 0
        self._is_overloaded = False
        self._is_busy = False
        self._reported_ms = None
        self._window_ms = None

    @property
    def busy(self):
        """Number of requests in progress."""
        return self._in_progress

    @property
    def limit(self):
        """Maximum number of requests in progress."""
        return int(self._limit)

    @property
    def shed(self):
        """Number of requests shed since the start."""
        return self._shed

    def enter(self, request_class):
        """Admit one request.

        :raises Overloaded: at once, if the limit of the class is reached.
        """
        if self._in_progress < self._limit * CLASS_FRACTIONS[request_class]:
            self._in_progress += 1
            self._is_busy = self._is_busy or self._in_progress >= self._limit * BUSY_FRACTION
            return
        self._is_busy = True
        self._shed += 1
        self._report(request_class)
        raise Overloaded(
            f"{self._in_progress} requests are in progress, the limit is {self.limit}",
            retry_after_ms=jittered_ms(self._random, RETRY_AFTER_MS),
        )

    def leave(self):
        """Record that an admitted request has ended."""
        self._in_progress -= 1

    def record_success(self):
        """Record a request that was answered in full and in time."""
        self._update_limit()

    def record_overload(self):
        """Record that a backend server shed a call or that a deadline passed."""
        self._is_overloaded = True
        self._update_limit()

    def _update_limit(self):
        """Adjust the limit at the end of a window."""
        now_ms = self._clock.now_ms()
        if self._window_ms is None:
            self._window_ms = now_ms
        if now_ms - self._window_ms < WINDOW_MS:
            return
        if self._is_busy and self._is_overloaded:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE_FACTOR)
        elif self._is_busy:
            self._limit = min(MAX_LIMIT, self._limit + INCREASE)
        self._window_ms = now_ms
        self._is_overloaded = False
        self._is_busy = False

    def _report(self, request_class):
        now_ms = self._clock.now_ms()
        if self._reported_ms is not None and now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        count = self._shed - self._reported_shed
        self._reported_shed = self._shed
        self._reported_ms = now_ms
        log.warning("limits: shed %d requests since the last report", count)
        self._events.record("shed", request_class=request_class, count=count, limit=self.limit)


@contextmanager
def admitted(limiter, request_class):
    """Admit one request for the duration of the block."""
    limiter.enter(request_class)
    try:
        yield
    finally:
        limiter.leave()
