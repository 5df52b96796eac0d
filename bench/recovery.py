"""How load comes back after an outage: time to normal, and the second peak.

Run as ``python -m bench recovery outage``.
"""

from .results import save
from .scenario import read_scenario, run_scenario

BAND = 1.2
CALM_SLICES = 8


def figures(run, scenario):
    """Return the figures of one run.

    Load is the number of calls in each slice; normal is its mean before the outage.
    """
    down_ms = scenario["events"][0]["at_s"] * 1000
    up_ms = scenario["events"][-1]["at_s"] * 1000
    before = [calls for at_ms, calls, _ in run.load if 0 < at_ms <= down_ms]
    after = [(at_ms, calls) for at_ms, calls, _ in run.load if at_ms > up_ms]
    normal = sum(before) / len(before)
    answered = [request for request in run.requests if request.at_ms < up_ms]
    last_ms = max(request.at_ms + request.latency_ms for request in answered)
    settled_ms = None
    for place in range(len(after) - CALM_SLICES):
        window = [calls for _, calls in after[place : place + CALM_SLICES]]
        if sum(window) / CALM_SLICES <= normal * BAND:
            settled_ms = after[place][0] - up_ms
            break
    return {
        "normal_calls_a_slice": normal,
        "peak_over_normal": max(calls for _, calls in after) / normal,
        "settled_ms_after_the_end": settled_ms,
        "last_waiting_caller_ms_after_the_end": last_ms - up_ms,
        "refused": run.refused,
        "requests": len(run.requests),
    }


def run(name="outage", seed=1):
    """Run the scenario, print its figures and save them."""
    scenario = read_scenario(name)
    runs, _ = run_scenario(scenario, seed)
    found = {entry.strategy: figures(entry, scenario) for entry in runs}
    for strategy, values in found.items():
        print(strategy, {name: round(value, 2) for name, value in values.items()})
    save(f"recovery-{name}", {"seed": seed, "figures": found})
    return found
