"""The budget for repeats, over a sliding window and many nodes."""

import random

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.retry.window import WindowBudget

WINDOW_MS = 10_000.0
RATIO = 0.2


def test_a_node_that_has_just_started_repeats_nothing():
    assert not WindowBudget(ManualClock(), RATIO, WINDOW_MS).try_spend()


def test_repeats_are_a_share_of_the_requests_of_the_window():
    clock = ManualClock()
    budget = WindowBudget(clock, RATIO, WINDOW_MS)
    for _ in range(100):
        budget.count_request()
    assert sum(budget.try_spend() for _ in range(100)) == 19
    clock.advance(WINDOW_MS + 1_000.0)
    assert not budget.try_spend()
    assert budget.left == 0


@pytest.mark.parametrize("seed", range(40))
def test_no_interleaving_over_nodes_and_restarts_exceeds_the_share(seed):
    """In any window, repeats keep to the share of the requests of it and the one before."""
    rng = random.Random(seed)
    clock = ManualClock()
    nodes = [WindowBudget(clock, RATIO, WINDOW_MS) for _ in range(7)]
    requests = []
    repeats = []
    for _ in range(6_000):
        clock.advance(rng.expovariate(1 / 8.0))
        busy = rng.random() < 0.6 + 0.4 * ((clock.now_ms() // 7_000) % 2)
        if rng.random() < 0.003:
            nodes[rng.randrange(7)] = WindowBudget(clock, RATIO, WINDOW_MS)
        node = nodes[int(7 * rng.random() ** 2)]
        if busy:
            node.count_request()
            requests.append(clock.now_ms())
        if rng.random() < 0.7 and node.try_spend():
            repeats.append(clock.now_ms())
    assert repeats
    for end_ms in repeats[:: max(1, len(repeats) // 60)]:
        spent = _between(repeats, end_ms - WINDOW_MS, end_ms)
        windows = []
        for back_ms in (0.0, WINDOW_MS / 2, WINDOW_MS):
            end = end_ms - back_ms
            windows.append(_between(requests, end - WINDOW_MS, end))
        assert spent <= RATIO * max(windows) + 1


def _between(times, start_ms, end_ms):
    return sum(1 for time_ms in times if start_ms < time_ms <= end_ms)
