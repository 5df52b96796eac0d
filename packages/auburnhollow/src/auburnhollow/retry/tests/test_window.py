"""Budgets for repeats over a sliding window, on one node and over many nodes."""

import random

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.retry.window import Slack, WindowBudget

WINDOW_MS = 10_000.0
RATIO = 0.2


def test_a_node_that_has_just_started_may_not_repeat():
    assert not WindowBudget(ManualClock(), RATIO, WINDOW_MS).try_spend()


def test_repeats_are_limited_to_the_ratio_of_the_windows_requests():
    clock = ManualClock()
    budget = WindowBudget(clock, RATIO, WINDOW_MS)
    for _ in range(100):
        budget.count_request()
    assert sum(budget.try_spend() for _ in range(100)) == 19
    clock.advance(WINDOW_MS + 1_000.0)
    assert not budget.try_spend()
    assert budget.left == 0


def test_slack_starts_after_a_window_and_needs_other_nodes():
    clock = ManualClock()
    nodes = [1]
    slack = Slack(clock, lambda: nodes[0], total=100, window_ms=WINDOW_MS)
    budget = WindowBudget(clock, RATIO, WINDOW_MS, slack)
    nodes[0] = 20
    assert not budget.try_spend()
    clock.advance(WINDOW_MS * 1.2)
    assert [budget.try_spend() for _ in range(5)] == [True, True, True, False, False]
    nodes[0] = 1
    clock.advance(WINDOW_MS * 2)
    assert not budget.try_spend()
    nodes[0] = 10
    assert slack.share() == 75 / 20


@pytest.mark.parametrize("seed", range(12))
def test_slack_of_all_nodes_keeps_to_the_total_through_restarts_and_partitions(seed):
    """Few requests and many nodes; each node sees between two of the nodes and all of them."""
    rng = random.Random(seed)
    clock = ManualClock()
    total = 170
    fleet = 65
    seen = [fleet] * fleet

    def node(number):
        slack = Slack(clock, lambda: seen[number], total, WINDOW_MS)
        return WindowBudget(clock, RATIO, WINDOW_MS, slack)

    nodes = [node(number) for number in range(fleet)]
    clock.advance(WINDOW_MS * 1.2)
    for each in nodes:
        each.try_spend()
    requests = []
    repeats = []
    for _ in range(9_000):
        clock.advance(rng.expovariate(1 / 5.0))
        number = rng.randrange(fleet)
        if rng.random() < 0.002:
            nodes[number] = node(number)
        if rng.random() < 0.01:
            seen[number] = rng.choice((2, fleet // 2, fleet))
        if rng.random() < 0.02:
            nodes[number].count_request()
            requests.append(clock.now_ms())
        if nodes[number].try_spend():
            repeats.append(clock.now_ms())
    for end_ms in repeats[:: max(1, len(repeats) // 60)]:
        spent = _between(repeats, end_ms - WINDOW_MS, end_ms)
        windows = []
        for back_ms in (0.0, WINDOW_MS / 2, WINDOW_MS):
            end = end_ms - back_ms
            windows.append(_between(requests, end - WINDOW_MS, end))
        assert spent <= RATIO * max(windows) + total


class FakeAggregators:
    """A node's view of the aggregators, the nodes that call most servers."""

    def __init__(self, aggregators, is_aggregator):
        self.count = aggregators
        self.is_this_node = is_aggregator

    def estimate_aggregators(self):
        return self.count

    def is_aggregator(self):
        return self.is_this_node


def test_aggregators_have_a_larger_share_of_the_slack():
    clock = ManualClock()

    def share(is_aggregator):
        slack = Slack(clock, lambda: 65, 170, WINDOW_MS, FakeAggregators(18, is_aggregator))
        clock.advance(WINDOW_MS * 1.2)
        return slack.share()

    assert share(True) > 3 * share(False)
    assert 18 * share(True) + 47 * share(False) <= 170 * 0.75


@pytest.mark.parametrize("seed", range(12))
def test_slack_of_aggregators_keeps_to_the_total_on_both_sides_of_a_partition(seed):
    """Each side of a partition has its own aggregators; nodes detect it at different times."""
    rng = random.Random(seed)
    clock = ManualClock()
    total = 170
    fleet = 66
    aggregators = 18
    views = [FakeAggregators(aggregators, number % 11 < 3) for number in range(fleet)]

    def node(number):
        slack = Slack(clock, lambda: fleet, total, WINDOW_MS, views[number])
        return WindowBudget(clock, RATIO, WINDOW_MS, slack)

    nodes = [node(number) for number in range(fleet)]
    clock.advance(WINDOW_MS * 1.2)
    repeats = []
    is_partitioned = False
    for step in range(9_000):
        clock.advance(rng.expovariate(1 / 5.0))
        if step % 3_000 == 2_000:
            is_partitioned = not is_partitioned
        number = rng.randrange(fleet)
        if is_partitioned:
            # The other side is gone for this node; the next in rank replace its aggregators.
            views[number].is_this_node = number % 11 < 6
            views[number].count = aggregators
        else:
            views[number].is_this_node = number % 11 < 3
        if rng.random() < 0.002:
            nodes[number] = node(number)
        if nodes[number].try_spend():
            repeats.append(clock.now_ms())
    assert len(repeats) > total
    for end_ms in repeats[:: max(1, len(repeats) // 60)]:
        assert _between(repeats, end_ms - WINDOW_MS, end_ms) <= total


@pytest.mark.parametrize("seed", range(40))
def test_no_interleaving_of_nodes_and_restarts_exceeds_the_ratio(seed):
    """In any window, repeats keep to the ratio of its requests or of those just before it."""
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


@pytest.mark.parametrize("seed", range(20))
def test_repeats_are_earned_only_by_requests_within_the_window(seed):
    """Requests come in bursts, and as many repeats as allowed are sent all the time."""
    rng = random.Random(seed)
    clock = ManualClock()
    budget = WindowBudget(clock, ratio=0.2, window_ms=10_000)
    requests, repeats = [], []
    while clock.now_ms() < 60_000:
        is_burst = clock.now_ms() % 12_000 < 1_500
        clock.advance(rng.uniform(0.0, 20.0 if is_burst else 200.0))
        budget.count_request()
        requests.append(clock.now_ms())
        clock.advance(rng.uniform(0.0, 10.0))
        if budget.try_spend():
            repeats.append(clock.now_ms())
    assert len(repeats) > 50
    for at_ms in repeats:
        since_ms = at_ms - 10_000
        asked = sum(since_ms < each <= at_ms for each in requests)
        assert sum(since_ms < each <= at_ms for each in repeats) <= 0.2 * asked
