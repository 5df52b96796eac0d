"""Token-bucket budgets and hedge delays."""

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.retry import Budget, HedgeDelay


@pytest.mark.parametrize("fraction", [0.0, 0.05, 0.5])
def test_extra_attempts_keep_to_the_fraction(fraction):
    budget = Budget(fraction, burst=10.0)
    for _ in range(10_000):
        budget.earn()
        budget.try_spend()
    assert budget.spent <= 10_000 * fraction + 10
    assert budget.spent >= 10_000 * fraction
    assert budget.spent + budget.refused == 10_000


@pytest.mark.parametrize("fraction", [-0.1, 1.1])
def test_a_fraction_out_of_range_is_rejected(fraction):
    with pytest.raises(ValueError, match="not in"):
        Budget(fraction)


def test_the_delay_is_the_typical_latency_plus_a_quantile_of_the_excess():
    clock = ManualClock()
    delay = HedgeDelay(clock, 0.95)
    first = delay.current_ms(2.0)
    for number in range(1_000):
        typical_ms = 1.0 if number % 2 else 10.0
        delay.observe(typical_ms + (0.5 if number % 100 < 94 else 40.0), typical_ms)
    assert delay.current_ms(2.0) == first
    clock.advance(200)
    assert 40 < delay.current_ms(1.0) < 42
    assert 49 < delay.current_ms(10.0) < 51
    for _ in range(4):
        clock.advance(10_001)
        for _ in range(100):
            delay.observe(2.0, 1.0)
    clock.advance(200)
    assert 1.9 < delay.current_ms(1.0) < 2.1
