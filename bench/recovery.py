"""How load comes back after an outage: time to normal, and the second peak.

Run as ``python -m bench recovery outage``.
"""

from .results import save
from .scenario import read_scenario, run_scenario

BAND = 1.2
CALM_SLICES = 8


def figures(run, scenario):
    """Return the figures of one run.

    Load is the number of calls in each slice; normal is its mean before the outage. The first
    peak is that of the callers who waited; the second is the highest load, over ``CALM_SLICES``,
    after the load had come back to normal.
    """
    down_ms = scenario["events"][0]["at_s"] * 1000
    up_ms = scenario["events"][-1]["at_s"] * 1000
    before = [calls for at_ms, calls, _ in run.load if 0 < at_ms <= down_ms]
    after = [(at_ms, calls) for at_ms, calls, _ in run.load if at_ms > up_ms]
    normal = sum(before) / len(before)
    answered = [request for request in run.requests if request.at_ms < up_ms]
    last_ms = max(request.at_ms + request.latency_ms for request in answered)
    windows = []
    for place in range(len(after) - CALM_SLICES):
        calls = sum(calls for _, calls in after[place : place + CALM_SLICES])
        windows.append((after[place][0] - up_ms, calls / CALM_SLICES / normal))
    settled_ms = next((at_ms for at_ms, load in windows if load <= BAND), None)
    later = [load for at_ms, load in windows if settled_ms is not None and at_ms > settled_ms]
    return {
        "normal_calls_a_slice": normal,
        "first_peak_over_normal": max(calls for _, calls in after) / normal,
        "settled_ms_after_the_end": settled_ms,
        "second_peak_over_normal": max(later, default=None),
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
