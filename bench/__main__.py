"""Runs experiments: ``python -m bench NAME [OPTIONS]``."""

import fire

from . import calls, capacity, claims, documents, histories, load, real, recovery, scale, scenario


class Bench:
    """Experiments. Each prints a table and saves JSON in ``bench/results``."""

    def scale(self, sizes=scale.SIZES, seed=1):
        """Control work of one node as the fleet grows, in virtual time."""
        scale.run(_numbers(sizes), seed)

    def real(self, sizes=real.SIZES):
        """Control work of real node processes at several sizes."""
        real.run(_numbers(sizes))

    def calls(self, shards=calls.SHARDS):
        """Processor time of one replica call, beside the bare client library."""
        calls.run(_numbers(shards))

    def capacity(self):
        """Print what measured slopes give at the size two years out."""
        capacity.run()

    def claims(self, rates=claims.RATES):
        """Store writes and added latency of orders, in virtual time."""
        claims.run(_numbers(rates))

    def documents(self, sizes=documents.SERVERS):
        """Size of a configuration, and what taking it costs a node."""
        documents.run(_numbers(sizes))

    def histories(self, first=0, count=histories.COUNT):
        """Histories of orders under random faults: violations, and how the callers ended."""
        histories.run(first, count)

    def short(self):
        """Run a short form of the main experiments."""
        scenario.run(scenario.SHORT, seconds=5.0)
        claims.run(rates=(10, 1_000))
        calls.run(shard_counts=(10, 30))
        scale.run(sizes=(7, 60))

    def load(self, seed=1):
        """Open-loop load on real nodes, with and without hedges."""
        load.run(seed)

    def recovery(self, name="outage", seed=1):
        """Time to normal load after an outage, and the second peak, in virtual time."""
        recovery.run(name, seed)

    def scenario(self, *names, seed=1):
        """Latency, coverage and extra load beside baselines, in virtual time."""
        scenario.run(names, seed)


def _numbers(value):
    return (value,) if isinstance(value, int) else tuple(value)


if __name__ == "__main__":
    fire.Fire(Bench)
