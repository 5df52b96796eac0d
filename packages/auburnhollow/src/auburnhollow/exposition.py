"""Metrics as text for a collector (Prometheus text format)."""

from .metrics import BUCKETS_MS, PREFIX


class _Collector:
    """Gives what a node has counted to the client library, when it is asked."""

    __slots__ = ("_gauges", "_metrics")

    def __init__(self, metrics, gauges):
        self._metrics = metrics
        self._gauges = gauges

    def collect(self):
        """Yield all metric families."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        for name, count in sorted(self._metrics.counts.items()):
            yield CounterMetricFamily(_full(name), f"Count of {name}.", value=count)
        for name, value in sorted(self._gauges.items()):
            if value is not None:
                yield GaugeMetricFamily(_full(name), f"Present value of {name}.", value=value)
        for name, histogram in sorted(self._metrics.histograms.items()):
            buckets = []
            total = 0
            for bound, count in zip((*BUCKETS_MS, "+Inf"), histogram.counts, strict=True):
                total += count
                buckets.append((str(bound), total))
            yield HistogramMetricFamily(
                _full(name), f"Durations of {name}, in ms.", buckets, histogram.sum_ms
            )


def exposition(metrics, gauges):
    """Return the text that a collector reads.

    The client library is loaded with the first question: a node must start without it.

    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param gauges: dictionary of names to present values; ``None`` leaves one out.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics, gauges))
    return generate_latest(registry)


def _full(name):
    return f"{PREFIX}_{name.replace('.', '_').replace('-', '_')}"
