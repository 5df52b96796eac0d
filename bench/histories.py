"""Runs many histories of orders under random faults and counts violations.

Run as ``python -m bench histories --first 0 --count 2000``.
"""

import logging
from collections import Counter

from auburnhollow_standins.histories import record_history
from auburnhollow_standins.virtual import run_virtually

from .results import save_result

DEFAULT_COUNT = 2_000


def run(first=0, count=DEFAULT_COUNT):
    """Record histories, print violations and callers' final results, and save the counts.

    :param first: seed of the first history; the others follow.
    """
    logging.disable(logging.CRITICAL)
    violations = []
    codes = Counter()
    runs = 0
    for seed in range(first, first + count):
        history = run_virtually(record_history(seed))
        violations += history.violations()
        last = {answer.key: answer.code for answer in history.answers}
        codes.update(last.values())
        runs += sum(history.runs.values())
    for violation in violations:
        print(violation)
    print(f"{count} histories, {runs} runs of orders, {len(violations)} violations, {dict(codes)}")
    save_result(
        "histories",
        {
            "first": first,
            "count": count,
            "runs": runs,
            "violations": violations,
            "ends": codes,
        },
    )
    return violations
