"""Thousands of histories of orders under random faults.

Run as ``python -m bench histories --first 0 --count 2000``.
"""

import logging
from collections import Counter

from auburnhollow_standins.histories import record_history
from auburnhollow_standins.virtual import run_virtually

from .results import save

COUNT = 2_000


def run(first=0, count=COUNT):
    """Record histories, print violations and how the callers ended, and save the counts."""
    logging.disable(logging.CRITICAL)
    violations = []
    ends = Counter()
    runs = 0
    for seed in range(first, first + count):
        history = run_virtually(record_history(seed))
        violations += history.violations()
        last = {answer.key: answer.code for answer in history.answers}
        ends.update(last.values())
        runs += sum(history.runs.values())
    for violation in violations:
        print(violation)
    print(f"{count} histories, {runs} runs of orders, {len(violations)} violations, {dict(ends)}")
    save(
        "histories",
        {"first": first, "count": count, "runs": runs, "violations": violations, "ends": ends},
    )
    return violations
