"""Log lines about the calls of a request."""

import hashlib
import logging

from ..decisions import log_decision

log = logging.getLogger("relay")

# Bounds the length of a log line; further calls were normal or resemble the logged ones.
MAX_LOGGED_CALLS = 12
MAX_LOGGED_PATH = 120


def log_calls(request, route, subrequests, work_ms, now_ms):
    """Log the calls that explain why an answer is late, partial or missing."""
    if not log.isEnabledFor(logging.INFO):
        return
    found = []
    for subrequest in subrequests:
        for call in subrequest.all_calls:
            is_plain = subrequest.answer is not None and len(subrequest.all_calls) == 1
            if not is_plain or (call.ended_ms or now_ms) > call.late_ms:
                found.append(call.describe(request.received_ms))
    log_decision(
        log,
        "calls of a request",
        request.id,
        route=route.name,
        answered=sum(1 for subrequest in subrequests if subrequest.answer is not None),
        asked=len(subrequests),
        objective_ms=route.objective_ms,
        calls=found[:MAX_LOGGED_CALLS],
        work_ms=round(work_ms),
    )


def digest_of(body):
    """Return a short hash of a body, by which log lines can be compared; empty for none."""
    return hashlib.blake2b(body, digest_size=6).hexdigest() if body else ""


def log_failure(request, call, error, fingerprint):
    """Log a call that failed, with what identifies its request."""
    log_decision(
        log,
        "call failed",
        request.id,
        server=call.server.id,
        service=call.subrequest.service,
        error=error,
        took_ms=round(call.ended_ms - call.began_ms),
        fingerprint=fingerprint,
        caller=request.caller,
        path=request.path[:MAX_LOGGED_PATH],
        body=digest_of(request.body),
    )


def log_repeat(request_id, text, subrequest, age_ms, budget_left):
    """Log a retry or a hedge; ``text`` names which."""
    log_decision(
        log,
        text,
        request_id,
        service=subrequest.service,
        server=subrequest.tried[-1],
        tried=subrequest.sends,
        age_ms=age_ms,
        budget_left=budget_left,
    )


def log_subquery(request_id, subquery):
    """Log that a subquery was sent to an aggregator."""
    log_decision(
        log,
        "subquery sent",
        request_id,
        through=subquery.member.id,
        data_centre=subquery.member.data_centre,
        shards=len(subquery.subrequests),
    )


def log_lost_subquery(request_id, subquery, subrequests, error):
    """Log that a subquery ended before it reported on all of its shards."""
    log_decision(
        log,
        "subquery lost",
        request_id,
        level=logging.WARNING,
        through=subquery.member.id,
        was_taken=subquery.is_taken,
        missing=len(subrequests),
        shards=len(subquery.subrequests),
        error=repr(error),
    )


def log_partial_answer(request_id, subrequests, age_ms):
    """Log an answer that lacks some shards."""
    missing = [subrequest.service for subrequest in subrequests if subrequest.answer is None]
    log_decision(
        log,
        "partial answer",
        request_id,
        answered=len(subrequests) - len(missing),
        asked=len(subrequests),
        missing=missing[:MAX_LOGGED_CALLS],
        age_ms=age_ms,
    )
