"""Time reserved for a node's lag, so that answers that were held leave in time."""

import random

import pytest

from auburnhollow.placement import LagReserve

OBJECTIVE_MS = 138.0
SEEDS = range(5)


def test_a_node_without_lag_reserves_nothing_and_a_lagging_one_no_more_than_a_share():
    lag = LagReserve()
    for _ in range(20):
        lag.observe(0.0)
    assert lag.reserve_ms(OBJECTIVE_MS) == 0.0
    for _ in range(20):
        lag.observe(500.0)
    assert 0.1 * OBJECTIVE_MS < lag.reserve_ms(OBJECTIVE_MS) <= 0.15 * OBJECTIVE_MS


@pytest.mark.parametrize("seed", SEEDS)
def test_nearly_all_answers_of_a_lagging_node_leave_in_time(seed):
    """A node whose timers fire up to 12 ms late, two thirds of them on time."""
    rng = random.Random(seed)
    lag = LagReserve()
    late = 0
    for number in range(400):
        late_ms = rng.uniform(4.0, 12.0) if rng.random() < 0.33 else 0.0
        late += number >= 50 and late_ms > lag.reserve_ms(OBJECTIVE_MS)
        lag.observe(late_ms)
    assert late <= 0.05 * 350
