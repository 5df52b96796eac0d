"""Runs experiments: ``python -m bench NAME [OPTIONS]``."""

import fire

from . import scale


class Bench:
    """Experiments. Each prints a table and saves JSON in ``bench/results``."""

    def scale(self, sizes=scale.SIZES, seed=1):
        """Control work of one node as the fleet grows, in virtual time."""
        scale.run(_numbers(sizes), seed)


def _numbers(value):
    return (value,) if isinstance(value, int) else tuple(value)


if __name__ == "__main__":
    fire.Fire(Bench)
