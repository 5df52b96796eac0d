"""Recovery of the load after an outage: time to normal load and second peak.

Run as ``python -m bench recovery outage``.
"""

from .results import save_result
from .scenario import read_scenario, run_scenario

NORMAL_LOAD_FACTOR = 1.2
WINDOW_SLICES = 8


def compute_figures(run, scenario):
    """Return the figures of one run.

    The load is the number of calls in each time slice, and the normal load is its mean before the
    outage. The first peak is caused by the callers that waited. The second peak is the highest
    load, averaged over ``WINDOW_SLICES``, after the load first returned to normal.
    """
    down_ms = scenario["events"][0]["at_s"] * 1000
    up_ms = scenario["events"][-1]["at_s"] * 1000
    before = [calls for at_ms, calls, _ in run.load if 0 < at_ms <= down_ms]
    after = [(at_ms, calls) for at_ms, calls, _ in run.load if at_ms > up_ms]
    normal = sum(before) / len(before)
    answered = [request for request in run.requests if request.at_ms < up_ms]
    last_ms = max(request.at_ms + request.latency_ms for request in answered)
    windows = []
    for index in range(len(after) - WINDOW_SLICES):
        calls = sum(calls for _, calls in after[index : index + WINDOW_SLICES])
        windows.append((after[index][0] - up_ms, calls / WINDOW_SLICES / normal))
    settled_ms = next((at_ms for at_ms, load in windows if load <= NORMAL_LOAD_FACTOR), None)
    later_loads = [load for at_ms, load in windows if settled_ms is not None and at_ms > settled_ms]
    return {
        "normal_calls_a_slice": normal,
        "first_peak_over_normal": max(calls for _, calls in after) / normal,
        "settled_ms_after_the_end": settled_ms,
        "second_peak_over_normal": max(later_loads, default=None),
        "last_waiting_caller_ms_after_the_end": last_ms - up_ms,
        "refused": run.refused,
        "requests": len(run.requests),
    }


def run(name="outage", seed=1):
    """Run the scenario, print its figures and save them."""
    scenario = read_scenario(name)
    runs, _ = run_scenario(scenario, seed)
    figures_by_strategy = {entry.strategy: compute_figures(entry, scenario) for entry in runs}
    for strategy, values in figures_by_strategy.items():
        print(strategy, {name: round(value, 2) for name, value in values.items()})
    save_result(f"recovery-{name}", {"seed": seed, "figures": figures_by_strategy})
    return figures_by_strategy
