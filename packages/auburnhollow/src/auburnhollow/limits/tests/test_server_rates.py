"""Rates that backend servers name, for all nodes together."""

import random

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.gossip import GossipTable
from auburnhollow.limits import Notice, ServerRates
from auburnhollow.limits.rate_gossip import RateGossip

SERVER = ("i-1", 7)
# The users' rule: in some 4 s, one and a half times what the rate allows, and 5 requests.
WINDOW_MS = 4_000.0
FACTOR = 1.5
SLACK = 5
STEP_MS = 5.0


class FakeGossiper:
    """Delivers each entry to the tables of all nodes at once."""

    def __init__(self, tables):
        self._tables = tables
        self.published = []

    def publish(self, entry):
        """Add the entry to all tables."""
        self.published.append(entry)
        for table in self._tables:
            table.put(entry)


def make_rates(clock, seed=1, share=1.0):
    return ServerRates(clock, random.Random(seed), lambda _incarnation: share)


def try_send(rates):
    """Send a request if it is this node's turn; return whether it was sent."""
    if rates.wait_ms(SERVER) > 0:
        return False
    rates.take(SERVER)
    return True


def most_in_window(times_ms):
    """Return the largest number of requests in any window."""
    most = 0
    first = 0
    for last, at_ms in enumerate(times_ms):
        while times_ms[first] <= at_ms - WINDOW_MS:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("nodes", [7, 65, 100])
@pytest.mark.parametrize("rate_per_s", [0.7, 2.0, 3.3, 15.0, 60.0])
def test_all_nodes_together_keep_to_the_rate_that_a_server_names(nodes, rate_per_s, seed):
    clock = ManualClock()
    rng = random.Random(seed)
    fleet = [make_rates(clock, seed * 1_000 + node, 1 / nodes) for node in range(nodes)]
    for rates in fleet:
        rates.hear(SERVER, Notice(rate_per_s=rate_per_s), clock.now_ms())
    sent_ms = []
    for step in range(6_000):
        # All nodes press at once after a pause of several seconds, twice.
        is_busy = step % 3_000 > 1_500
        order = rng.sample(fleet, nodes) if is_busy else ()
        for rates in order:
            if try_send(rates):
                sent_ms.append(clock.now_ms())
        clock.advance(STEP_MS)
    allowed = FACTOR * rate_per_s * WINDOW_MS / 1_000 + SLACK
    assert most_in_window(sent_ms) <= allowed
    # The servers are not left idle either.
    busy_s = 2 * 1_500 * STEP_MS / 1_000
    assert len(sent_ms) >= 0.6 * rate_per_s * busy_s - SLACK


def test_a_server_without_a_rate_gets_any_number_of_requests():
    clock = ManualClock()
    rates = make_rates(clock)
    rates.hear(SERVER, Notice(rate_per_s=None), clock.now_ms())
    assert all(try_send(rates) for _ in range(100))
    assert len(rates) == 0


def test_a_rate_ends_with_an_answer_that_names_none():
    clock = ManualClock()
    rates = make_rates(clock)
    rates.hear(SERVER, Notice(rate_per_s=1.0), clock.now_ms())
    clock.advance(10)
    rates.hear(SERVER, Notice(rate_per_s=None), clock.now_ms())
    assert all(try_send(rates) for _ in range(10))


def test_a_late_answer_to_an_older_call_does_not_end_a_rate():
    clock = ManualClock()
    rates = make_rates(clock)
    clock.advance(100)
    rates.hear(SERVER, Notice(rate_per_s=1.0), asked_ms=50.0)
    rates.hear(SERVER, Notice(rate_per_s=None), asked_ms=20.0)
    assert rates.rate_per_s(SERVER) == 1.0


def test_requests_that_wait_are_sent_one_turn_after_the_other():
    clock = ManualClock()
    rates = make_rates(clock)
    rates.hear(SERVER, Notice(rate_per_s=10.0), clock.now_ms())
    waits_ms = []
    for _ in range(4):
        waits_ms.append(rates.wait_ms(SERVER))
        rates.take(SERVER)
        # Each answer names the same rate again.
        rates.hear(SERVER, Notice(rate_per_s=10.0), clock.now_ms())
    assert [round(later - waits_ms[0]) for later in waits_ms] == [0, 100, 200, 300]


def test_the_requests_that_wait_are_spread_anew_when_the_rate_changes():
    clock = ManualClock()
    rates = make_rates(clock)
    rates.hear(SERVER, Notice(rate_per_s=1.0), clock.now_ms())
    rates.take(SERVER)
    before_ms = rates.wait_ms(SERVER)
    rates.hear(SERVER, Notice(rate_per_s=10.0), clock.now_ms())
    assert rates.wait_ms(SERVER) == pytest.approx(before_ms / 10)


def test_somebody_still_asks_a_server_that_names_a_tiny_rate():
    clock = ManualClock()
    rates = make_rates(clock)
    rates.hear(SERVER, Notice(rate_per_s=0.0001), clock.now_ms())
    assert rates.wait_ms(SERVER) <= 2_000.0


def test_the_limits_of_servers_that_are_gone_are_forgotten():
    clock = ManualClock()
    rates = make_rates(clock)
    rates.hear(SERVER, Notice(rate_per_s=1.0), clock.now_ms())
    rates.forget({("i-2", 7)})
    assert len(rates) == 0


def make_fleet(clock, nodes):
    tables = [GossipTable(clock) for _ in range(nodes)]
    gossipers = [FakeGossiper(tables) for _ in range(nodes)]
    fleet = [make_rates(clock, node) for node in range(nodes)]
    for rates, gossiper, table in zip(fleet, gossipers, tables, strict=True):
        RateGossip(rates, gossiper, table, clock)
    return fleet, gossipers


def test_nodes_tell_each_other_what_servers_name_and_when_it_ends():
    clock = ManualClock(1_000_000.0)
    (first, second, third), gossipers = make_fleet(clock, 3)
    first.hear(SERVER, Notice(rate_per_s=2.5), clock.now_ms())
    assert [second.limited(), third.limited()] == [{"i-1": 2.5}, {"i-1": 2.5}]
    clock.advance(100)
    third.hear(SERVER, Notice(rate_per_s=None), clock.now_ms())
    assert [len(rates) for rates in (first, second, third)] == [0, 0, 0]
    assert [len(gossiper.published) for gossiper in gossipers] == [1, 0, 1]


def test_nodes_do_not_repeat_what_their_peers_have_told():
    clock = ManualClock(1_000_000.0)
    (first, second), gossipers = make_fleet(clock, 2)
    for _ in range(20):
        for rates in (first, second):
            clock.advance(10)
            rates.hear(SERVER, Notice(rate_per_s=2.5), clock.now_ms())
    assert [len(gossiper.published) for gossiper in gossipers] == [1, 0]


def test_an_older_report_of_a_peer_does_not_end_a_rate():
    clock = ManualClock(1_000_000.0)
    rates = make_rates(clock)
    rates.hear(SERVER, Notice(rate_per_s=2.5), clock.now_ms())
    rates.hear_from_peer(SERVER, None, clock.now_ms() - 300)
    assert len(rates) == 1
