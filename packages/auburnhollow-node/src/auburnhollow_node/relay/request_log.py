"""Logs and counts what became of each request."""

import logging
import math

from auburnhollow.decisions import log_decision
from auburnhollow.exceptions import NoRoute, NotReady, Unauthorized
from auburnhollow.relay import Merged

log = logging.getLogger("node")

SERVER_ERROR_STATUS = 500
# A node with another configuration might have answered.
CONFIGURATION_REFUSALS = (NoRoute, NotReady, Unauthorized)


class RequestLog:
    """Writes one line for each request, and counts it by route, urgency and outcome.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param standing: function that returns what the node knows of its configuration, as log fields;
        called for requests that the configuration refuses.
    """

    __slots__ = ("_clock", "_metrics", "_standing")

    def __init__(self, clock, metrics, standing):
        self._clock = clock
        self._metrics = metrics
        self._standing = standing

    def answered(self, request, route, answer, version):
        """Record an answer.

        :param version: number of the configuration in force.
        """
        age_ms = self._clock.now_ms() - request.received_ms
        self._metrics.incr("front.answered")
        self._metrics.timing("front.search_ms" if route.shards else "front.single_ms", age_ms)
        self._metrics.timing_labelled("front.answer_ms", age_ms, urgency=route.urgency)
        self._count(route, outcome_of(answer))
        log_decision(
            log,
            "request answered",
            request.id,
            route=route.name,
            version=version,
            status=getattr(answer, "status", None),
            missing=getattr(answer, "missing", None),
            age_ms=round(age_ms),
            account=request.account,
        )

    def abandoned(self, request, route):
        """Record that the caller has left; ``route`` is ``None`` if it was not found yet."""
        self._metrics.incr("front.abandoned")
        self._count(route, "abandoned")
        log_decision(log, "caller left", request.id, route=getattr(route, "name", None))

    def failed(self, request, route, error, version):
        """Record a :class:`~auburnhollow.exceptions.QueryError`.

        :param route: ``None`` if it was not found.
        :param version: number of the configuration in force, or ``None``.
        """
        self._metrics.incr(f"front.{error.code}")
        self._count(route, error.code)
        now_ms = self._clock.now_ms()
        standing = {"version": version}
        if isinstance(error, CONFIGURATION_REFUSALS):
            standing = self._standing()
        log_decision(
            log,
            "request failed",
            request.id,
            level=logging.WARNING,
            code=error.code,
            **standing,
            route=getattr(route, "name", None),
            ran=error.ran,
            account=request.account,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms,
            age_ms=round(now_ms - request.received_ms),
            left_ms=_round_finite(request.limit_ms - now_ms),
        )

    def _count(self, route, outcome):
        name = "" if route is None else route.name
        urgency = "" if route is None else route.urgency
        self._metrics.incr_labelled("front.requests", route=name, urgency=urgency, outcome=outcome)


def outcome_of(answer):
    """Return the outcome of an answered request, as named in metrics."""
    if isinstance(answer, Merged):
        return "partial" if answer.missing else "whole"
    return "server-failure" if answer.status >= SERVER_ERROR_STATUS else "whole"


def _round_finite(duration_ms):
    return None if math.isinf(duration_ms) else round(duration_ms)
