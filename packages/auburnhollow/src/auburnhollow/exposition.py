"""Metrics in the Prometheus text format."""

from .metrics import BUCKETS_MS, PREFIX


class _Collector:
    """Collector of a node's metrics for the Prometheus client library."""

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
        for name, counts in sorted(self._metrics.labelled_counts.items()):
            labels = [label for label, _ in next(iter(counts))]
            family = CounterMetricFamily(_full(name), f"Count of {name}.", labels=labels)
            for key, count in counts.items():
                family.add_metric([str(value) for _, value in key], count)
            yield family
        for name, value in sorted(self._gauges.items()):
            if value is not None:
                yield GaugeMetricFamily(_full(name), f"Present value of {name}.", value=value)
        for name, histogram in sorted(self._metrics.histograms.items()):
            yield HistogramMetricFamily(
                _full(name), f"Durations of {name}, in ms.", _buckets(histogram), histogram.sum_ms
            )
        for name, found in sorted(self._metrics.labelled_histograms.items()):
            labels = [label for label, _ in next(iter(found))]
            text = f"Durations of {name}, in ms."
            family = HistogramMetricFamily(_full(name), text, labels=labels)
            for key, histogram in found.items():
                values = [str(value) for _, value in key]
                family.add_metric(values, _buckets(histogram), histogram.sum_ms)
            yield family


def _buckets(histogram):
    """Return pairs of an upper bound and the number of durations up to it."""
    found = []
    total = 0
    for bound, count in zip((*BUCKETS_MS, "+Inf"), histogram.counts, strict=True):
        total += count
        found.append((str(bound), total))
    return found


def exposition(metrics, gauges):
    """Return all metrics in the Prometheus text format, as bytes.

    The client library is imported on the first call, so that a node starts without it.

    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param gauges: dictionary of names to current values; gauges that are ``None`` are left out.
    """
    from prometheus_client import CollectorRegistry, generate_latest

    registry = CollectorRegistry(auto_describe=False)
    registry.register(_Collector(metrics, gauges))
    return generate_latest(registry)


def _full(name):
    return f"{PREFIX}_{name.replace('.', '_').replace('-', '_')}"
