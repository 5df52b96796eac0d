"""Log lines for decisions, with their inputs."""

import logging


def log_decision(log, text, request=None, level=logging.INFO, **inputs):
    """Log a decision with its inputs.

    :param log: the :class:`logging.Logger` of the calling module.
    :param text: the decision, always in the same words.
    :param request: id of the affected request.
    :param inputs: values that the decision is based on, as log fields; names include their unit.
    """
    if log.isEnabledFor(level):
        log.log(level, text, extra={"request": request, "inputs": inputs})
