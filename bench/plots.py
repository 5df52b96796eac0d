"""Plots of scenario results, as SVG files."""

import matplotlib

from .results import FOLDER

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402 - the backend must be chosen first

FIGURE_SIZE = (9, 3.6)


def plot_runs(name, runs):
    """Plot the latency distribution and the load over time of each strategy in a scenario.

    :param runs: list of completed :class:`~bench.scenario.Run`.
    """
    figure, (latency_axes, load_axes) = pyplot.subplots(1, 2, figsize=FIGURE_SIZE)
    for run in runs:
        latencies = sorted(request.latency_ms for request in run.requests if request.at_ms >= 0)
        count = len(latencies)
        shares_above = [1 - index / count for index in range(count)]
        latency_axes.plot(latencies, shares_above, label=run.strategy, linewidth=1)
        times = [at_ms / 1000 for at_ms, _, _ in run.load]
        load_axes.plot(times, [calls for _, calls, _ in run.load], label=run.strategy, linewidth=1)
    latency_axes.set(
        xscale="log", yscale="log", xlabel="latency, ms", ylabel="share of requests above"
    )
    load_axes.set(xlabel="time, s", ylabel="calls to servers in 250 ms", ylim=(0, None))
    latency_axes.legend()
    figure.suptitle(name)
    figure.tight_layout()
    FOLDER.mkdir(exist_ok=True)
    figure.savefig(FOLDER / f"scenario-{name}.svg")
    pyplot.close(figure)
