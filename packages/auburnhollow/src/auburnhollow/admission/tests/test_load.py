"""Plays overload against model servers, and checks what callers get."""

import pytest

from .model import SLOTS, Kind, Model

LISTING = Kind("listing", 0.7, 0, 28.0, 300.0)
HINTS = Kind("hints", 0.3, 1, 9.2, 150.0)
BOTH = (LISTING, HINTS)
SERVERS = 6
CAPACITY_PER_S = SERVERS * SLOTS / (0.7 * 28.0 + 0.3 * 9.2) * 1000.0
# Bursts last some seconds.
UNTIL_MS = 2_000.0
SEEDS = (1, 2)
# What callers need: nearly what could be had by someone who knows all queues.
LEAST_OF_ORACLE = 0.9
URGENT_TOLERANCE = 0.02
QUIET_TOLERANCE = 0.05


def play(mode, times, seed, kinds=BOTH, **options):
    """Return the share of callers served in their objective, and that of each kind."""
    model = Model(mode, kinds, lambda _now_ms: CAPACITY_PER_S * times, seed, **options)
    shares = model.play(UNTIL_MS)
    return sum(model.good.values()) / sum(model.asked.values()), shares


LOADS = {
    "1.5 times": (1.5, {}),
    "2 times": (2.0, {}),
    "3 times": (3.0, {}),
    "5 times": (5.0, {}),
    "a third lost": (1.2, {"lost": 2}),
    "half lost": (1.2, {"lost": 3}),
    "repeats at once": (2.0, {"repeats": 0.3}),
}


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("load", LOADS)
def test_serves_nearly_what_the_oracle_serves(load, seed):
    times, options = LOADS[load]
    ours, shares = play("ours", times, seed, **options)
    oracle, _shares = play("oracle", times, seed, **options)
    none, _shares = play("none", times, seed, **options)
    assert ours >= LEAST_OF_ORACLE * oracle
    assert ours > none
    assert shares["listing"] >= shares["hints"] - URGENT_TOLERANCE


@pytest.mark.parametrize("seed", SEEDS)
def test_one_slow_shard_of_ten_bounds_the_requests(seed):
    ours, _shares = play("ours", 0.9, seed, slow_shard=4.0)
    oracle, _shares = play("oracle", 0.9, seed, slow_shard=4.0)
    assert ours >= LEAST_OF_ORACLE * oracle


@pytest.mark.parametrize("seed", SEEDS)
def test_what_is_more_urgent_is_never_served_worse(seed):
    kinds = [Kind(str(urgency), 0.33, urgency, 28.0, 300.0) for urgency in (0, 1, 2)]
    _all, shares = play("ours", 2.0, seed, kinds)
    assert shares["0"] >= shares["1"] - URGENT_TOLERANCE
    assert shares["1"] >= shares["2"] - URGENT_TOLERANCE


@pytest.mark.parametrize("seed", SEEDS)
def test_a_quiet_account_gets_what_it_gets_without_a_hot_one(seed):
    quiet = Kind("quiet", 0.1, 0, 28.0, 300.0, "quiet")
    hot = Kind("hot", 0.9, 0, 28.0, 300.0, "hot")
    _all, beside = play("ours", 2.0, seed, [hot, quiet])
    _all, alone = play("ours", 0.2, seed, [quiet])
    assert beside["quiet"] >= alone["quiet"] - QUIET_TOLERANCE


@pytest.mark.parametrize("seed", SEEDS)
def test_refuses_nothing_where_there_is_room(seed):
    ours, _shares = play("ours", 0.6, seed)
    assert ours >= play("none", 0.6, seed)[0]


@pytest.mark.parametrize("seed", SEEDS)
def test_serves_as_before_soon_after_the_overload(seed):
    end_ms, settled_ms, until_ms = 2_000.0, 5_000.0, 5_500.0
    model = Model(
        "ours",
        BOTH,
        lambda now_ms: CAPACITY_PER_S * (3.0 if now_ms < end_ms else 0.6),
        seed,
        repeats=0.3,
    )
    model.play(until_ms)
    served = sum(1 for first_ms in model.history if settled_ms <= first_ms < until_ms)
    assert served >= 0.99 * model.count_asked(settled_ms, until_ms)
