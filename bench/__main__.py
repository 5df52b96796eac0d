"""Runs experiments: ``python -m bench NAME [OPTIONS]``."""

import fire

from . import calls, capacity, claims, documents, histories, load, real, recovery, scale, scenario


class Bench:
    """Benchmarks. Each prints its figures; most also save them as JSON in ``bench/results``."""

    def scale(self, sizes=scale.SIZES, seed=1):
        """Control-plane cost of one node by size of the fleet, in virtual time."""
        scale.run(_numbers(sizes), seed)

    def real(self, sizes=real.SIZES):
        """Control-plane cost of real node processes by size of the fleet."""
        real.run(_numbers(sizes))

    def calls(self, shards=calls.SHARD_COUNTS):
        """CPU time of one replica call, compared with the bare HTTP client library."""
        calls.run(_numbers(shards))

    def capacity(self):
        """Extrapolate the saved results to the size expected in two years."""
        capacity.run()

    def claims(self, rates=claims.RATES):
        """Store writes and added latency of orders by rate, in virtual time."""
        claims.run(_numbers(rates))

    def documents(self, sizes=documents.SERVER_COUNTS):
        """Size of a configuration and the cost for a node to apply it."""
        documents.run(_numbers(sizes))

    def histories(self, first=0, count=histories.DEFAULT_COUNT):
        """Histories of orders under random faults: violations and callers' final results."""
        histories.run(first, count)

    def short(self):
        """Run short forms of the main benchmarks."""
        scenario.run(scenario.SHORT, seconds=5.0)
        claims.run(rates=(10, 1_000))
        calls.run(shard_counts=(10, 30))
        scale.run(sizes=(7, 60))

    def load(self, seed=1):
        """Open-loop load on real nodes, with and without hedging."""
        load.run(seed)

    def recovery(self, name="outage", seed=1):
        """Recovery after an outage: time to normal load and second peak, in virtual time."""
        recovery.run(name, seed)

    def scenario(self, *names, seed=1):
        """Latency, coverage and extra load compared with baselines, in virtual time."""
        scenario.run(names, seed)


def _numbers(value):
    return (value,) if isinstance(value, int) else tuple(value)


if __name__ == "__main__":
    fire.Fire(Bench)
