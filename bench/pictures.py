"""Pictures of experiments, as SVG files."""

import matplotlib

from .results import FOLDER

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402 - the backend must be chosen first

SIZE = (9, 3.6)


def draw_run(name, runs):
    """Draw latency curves and the load over time of all strategies of one scenario.

    :param runs: list of :class:`~bench.scenario.Run` that have ended.
    """
    figure, (left, right) = pyplot.subplots(1, 2, figsize=SIZE)
    for run in runs:
        latencies = sorted(request.latency_ms for request in run.requests if request.at_ms >= 0)
        count = len(latencies)
        parts = [1 - place / count for place in range(count)]
        left.plot(latencies, parts, label=run.strategy, linewidth=1)
        times = [at_ms / 1000 for at_ms, _, _ in run.load]
        right.plot(times, [calls for _, calls, _ in run.load], label=run.strategy, linewidth=1)
    left.set(xscale="log", yscale="log", xlabel="latency, ms", ylabel="part of requests above")
    right.set(xlabel="time, s", ylabel="calls to servers in 250 ms", ylim=(0, None))
    left.legend()
    figure.suptitle(name)
    figure.tight_layout()
    FOLDER.mkdir(exist_ok=True)
    figure.savefig(FOLDER / f"scenario-{name}.svg")
    pyplot.close(figure)
