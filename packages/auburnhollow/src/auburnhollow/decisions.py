"""One log line for each decision, with what decided it."""

import logging


def log_decision(log, text, request=None, level=logging.INFO, **inputs):
    """Log a decision.

    :param log: the :class:`logging.Logger` of the part that decided.
    :param text: what was decided, the same words each time.
    :param request: id of the request that it touches.
    :param inputs: what decided it, with ages and versions; names carry their unit.
    """
    if log.isEnabledFor(level):
        log.log(level, text, extra={"request": request, "inputs": inputs})
