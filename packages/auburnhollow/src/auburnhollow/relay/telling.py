"""What the relay writes to the log of a request's calls."""

import logging

from ..decisions import decide

log = logging.getLogger("relay")

# A log line holds this many calls at most; the others were as usual or are like these.
CALLS_TOLD = 12


def calls(request, route, legs, work_ms, now_ms):
    """Log the calls that tell why an answer is late, partial or none."""
    if not log.isEnabledFor(logging.INFO):
        return
    found = []
    for leg in legs:
        for call in leg.made:
            is_plain = leg.answer is not None and len(leg.made) == 1
            if not is_plain or (call.ended_ms or now_ms) > call.late_ms:
                found.append(call.describe(request.received_ms))
    decide(
        log,
        "calls of a request",
        request.id,
        route=route.name,
        answered=sum(1 for leg in legs if leg.answer is not None),
        asked=len(legs),
        objective_ms=route.objective_ms,
        calls=found[:CALLS_TOLD],
        work_ms=round(work_ms),
    )


def failure(request_id, call, error):
    """Log a call that failed."""
    decide(
        log,
        "call failed",
        request_id,
        server=call.server.id,
        service=call.leg.service,
        error=error,
        took_ms=round(call.ended_ms - call.began_ms),
    )


def repeat(request_id, text, leg, age_ms, budget_left):
    """Log a further send of a leg, a hedge or a retry."""
    decide(
        log,
        text,
        request_id,
        service=leg.service,
        server=leg.tried[-1],
        tried=leg.sent,
        age_ms=age_ms,
        budget_left=budget_left,
    )


def subquery(request_id, sent):
    """Log that shards are asked through a node near them."""
    decide(
        log,
        "subquery sent",
        request_id,
        through=sent.member.id,
        data_centre=sent.member.data_centre,
        shards=len(sent.legs),
    )


def lost_subquery(request_id, sent, legs, error):
    """Log that a subquery has ended before all of its shards were told of."""
    decide(
        log,
        "subquery lost",
        request_id,
        level=logging.WARNING,
        through=sent.member.id,
        was_taken=sent.is_taken,
        missing=len(legs),
        shards=len(sent.legs),
        error=repr(error),
    )


def partial(request_id, legs, age_ms):
    """Log an answer that goes out without some shards."""
    missing = [leg.service for leg in legs if leg.answer is None]
    decide(
        log,
        "partial answer",
        request_id,
        answered=len(legs) - len(missing),
        asked=len(legs),
        missing=missing[:CALLS_TOLD],
        age_ms=age_ms,
    )
