"""Merging, latency windows, route times, server choice and server views."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnhollow.clock import ManualClock
from auburnhollow.relay.choice import ServerChoice
from auburnhollow.relay.dispatcher import min_shards
from auburnhollow.relay.latency import MAX_SAMPLES, MIN_SAMPLES, LatencyWindow
from auburnhollow.relay.merge import merge
from auburnhollow.relay.routetimes import RouteTimes
from auburnhollow.relay.views import ServerView
from auburnhollow.routes import Service
from auburnhollow_standins.fake_servers import HOME, REGIONS, make_route, make_server

WORK_MS = 30.0


@given(st.lists(st.binary(max_size=200), max_size=6), st.integers(0, 20))
def test_merge_takes_the_greatest_whole_records(bodies, most):
    records = []
    for body in bodies:
        records += [body[at : at + 16] for at in range(0, len(body), 16)]
    whole = sorted((record for record in records if len(record) == 16), reverse=True)
    assert merge(bodies, most) == b"".join(whole[:most])


def test_equal_records_are_all_kept():
    assert merge([b"a" * 16, b"a" * 16], 2) == b"a" * 32


def test_min_shards_follows_the_least_share():
    assert min_shards(make_route(tuple("abcdefghij"), least_share=0.89)) == 9
    assert min_shards(make_route(tuple("abcdefghij"), least_share=0.75)) == 8
    assert min_shards(make_route(tuple("abcdefghij"), least_share=1.0)) == 10
    assert min_shards(make_route(tuple("abcdefghij"), least_share=0.0)) == 1


def test_quantiles_are_those_of_the_most_recent_samples():
    window = LatencyWindow(default=7.0)
    assert window.quantile(0.5) == 7.0
    for sample in range(MIN_SAMPLES):
        window.observe(float(sample))
    assert window.quantile(0.5) == MIN_SAMPLES / 2
    for _ in range(MAX_SAMPLES):
        window.observe(100.0)
    assert window.quantile(0.0) == 100.0


def test_a_call_is_late_beyond_a_high_quantile():
    times = RouteTimes(objective_ms=300.0)
    rng = random.Random(3)
    for _ in range(MAX_SAMPLES):
        times.observe(30.0 * rng.lognormvariate(0, 0.35), 1.0)
    late_ms = times.late_after_ms(round_trip_ms=10.0, slowdown=1.0)
    assert 10.0 + 30.0 * 1.3 <= late_ms <= 10.0 + 30.0 * 2.2


@pytest.mark.parametrize("slow_share", [0.0, 0.05, 0.15])
def test_slow_servers_do_not_delay_the_hedges_of_all_calls(slow_share):
    times = RouteTimes(objective_ms=300.0)
    rng = random.Random(3)
    for _ in range(MAX_SAMPLES):
        slow = 10.0 if rng.random() < slow_share else 1.0
        times.observe(30.0 * slow * rng.lognormvariate(0, 0.35), 1.0)
    assert (
        10.0 + 30.0 * 1.4
        <= times.late_after_ms(round_trip_ms=10.0, slowdown=1.0)
        <= 10.0 + 30.0 * 2.6
    )


def test_a_hedge_is_sent_early_enough_to_be_answered_by_the_objective():
    times = RouteTimes(objective_ms=100.0)
    for _ in range(MAX_SAMPLES):
        times.observe(30.0, 1.0)
    assert times.late_after_ms(round_trip_ms=2.0, slowdown=1.5) <= 45.0


def new_choice(clock, seed=1):
    return ServerChoice(HOME, REGIONS, clock, random.Random(seed))


def test_servers_of_the_same_data_centre_are_preferred():
    choice = new_choice(ManualClock())
    servers = [make_server("far", data_centre="iasi"), make_server("near")]
    assert choice.choose(servers, WORK_MS).id == "near"


def test_a_slightly_faster_server_does_not_justify_a_link_between_regions():
    clock = ManualClock()
    choice = new_choice(clock)
    near = make_server("near")
    far = make_server("far", data_centre="iasi")
    for number in range(20):
        for server, ratio in ((near, 1.3), (far, 0.6)):
            choice.view(server).began(number, clock.now_ms())
            clock.advance(30.0)
            choice.view(server).answered(number, ratio, None, clock.now_ms())
    assert choice.choose([far, near], 42.0).id == "near"


def test_a_server_without_free_slots_is_avoided():
    clock = ManualClock()
    choice = new_choice(clock)
    near = make_server("near")
    servers = [make_server("far", data_centre="iasi"), near]
    for number in range(near.slots * 2):
        choice.view(near).began(number, clock.now_ms())
    assert choice.choose(servers, WORK_MS).id == "far"


def test_a_slow_server_is_avoided_and_tried_again_later():
    clock = ManualClock()
    choice = new_choice(clock)
    near = make_server("near")
    servers = [make_server("far", data_centre="iasi"), near]
    view = choice.view(near)
    for number in range(6):
        view.began(number, clock.now_ms())
        clock.advance(300.0)
        view.answered(number, 10.0, None, clock.now_ms())
    assert choice.choose(servers, WORK_MS).id == "far"
    clock.advance(30_000.0)
    assert choice.choose(servers, WORK_MS).id == "near"


def test_one_pause_does_not_make_a_server_slow():
    clock = ManualClock()
    choice = new_choice(clock)
    near = make_server("near")
    servers = [make_server("far", data_centre="iasi"), near]
    view = choice.view(near)
    for number in range(4):
        view.began(number, clock.now_ms())
    clock.advance(300.0)
    for number in range(4):
        view.answered(number, 9.0, None, clock.now_ms())
    assert choice.choose(servers, WORK_MS).id == "near"


def test_a_failing_server_is_chosen_only_without_alternative():
    clock = ManualClock()
    choice = new_choice(clock)
    near = make_server("near")
    far = make_server("far", data_centre="iasi")
    for number in range(2):
        choice.view(near).began(number, clock.now_ms())
        choice.view(near).failed(number, clock.now_ms())
    assert choice.choose([near, far], WORK_MS).id == "far"
    assert choice.choose([near], WORK_MS).id == "near"
    clock.advance(500.0)
    assert choice.choose([near, far], WORK_MS).id == "far"
    clock.advance(5_000.0)
    assert choice.choose([near, far], WORK_MS).id == "near"


def test_a_server_that_refuses_part_of_its_calls_is_avoided():
    """The server is healthy and fast, but refuses a share of its calls."""
    clock = ManualClock()
    choice = new_choice(clock)
    near = make_server("near")
    servers = [make_server("far", data_centre="iasi"), near]
    rng = random.Random(5)
    taken = []
    for number in range(300):
        server = choice.choose(servers, WORK_MS)
        taken.append(server.id)
        view = choice.view(server)
        view.began(number, clock.now_ms())
        clock.advance(20.0)
        if server is near and rng.random() < 0.6:
            view.shed(number, near.slots, clock.now_ms())
            clock.advance(300.0)
            continue
        view.answered(number, 1.0, None, clock.now_ms())
    assert taken.count("near") < 60


def test_a_server_without_a_listener_is_passed_over_at_once():
    clock = ManualClock()
    choice = new_choice(clock)
    near = make_server("near")
    choice.view(near).began(1, clock.now_ms())
    assert choice.view(near).failed(1, clock.now_ms(), eject_at_once=True) > 0
    assert choice.choose([near, make_server("far", data_centre="iasi")], WORK_MS).id == "far"


def test_calls_beyond_the_share_of_a_nodes_connections_go_elsewhere():
    clock = ManualClock()
    choice = ServerChoice(HOME, REGIONS, clock, random.Random(1), lambda: 10)
    choice.set_connection_limits({"search": Service(name="search", connections=30)})
    near = make_server("near", slots=20)
    far = make_server("far", data_centre="iasi", slots=20)
    assert choice.share(near) == 3
    taken = []
    for number in range(6):
        server = choice.choose([near, far], WORK_MS)
        choice.view(server).began(number, clock.now_ms())
        taken.append(server.id)
    assert taken.count("near") == 3


def test_a_restart_under_the_same_id_is_another_server():
    clock = ManualClock()
    choice = new_choice(clock)
    before = make_server("near", started_ms=1)
    for number in range(2):
        choice.view(before).began(number, clock.now_ms())
        choice.view(before).failed(number, clock.now_ms())
    after = make_server("near", started_ms=2)
    assert not choice.view(after).is_ejected(clock.now_ms())


def test_ejections_get_longer_and_are_reset_by_an_answer():
    clock = ManualClock()
    view = ServerView(make_server("near"), clock.now_ms())
    durations = []
    for number in range(8):
        view.began(number, clock.now_ms())
        duration_ms = view.failed(number, clock.now_ms())
        if duration_ms:
            durations.append(duration_ms)
            clock.advance(duration_ms + 1)
    assert durations == sorted(durations)
    assert len(durations) > 2
    view.began("good", clock.now_ms())
    view.answered("good", 1.0, None, clock.now_ms())
    view.began("bad", clock.now_ms())
    assert view.failed("bad", clock.now_ms()) == 0.0
