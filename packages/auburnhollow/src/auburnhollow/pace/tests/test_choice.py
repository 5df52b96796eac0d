"""Which servers are left to a request where the pace of some is being found."""

import random

from auburnhollow.clock import ManualClock
from auburnhollow.limits import Notice, ServerRates
from auburnhollow.metrics import Metrics
from auburnhollow.pace import Pace
from auburnhollow.relay.choice import PRESSURE_AGE_MS, ServerChoice
from auburnhollow_standins.fake_servers import HOME, make_server

WORK_MS = 20.0
TIMES = 200


def make_choice(clock, rates=None):
    choice = ServerChoice(HOME, {HOME: "north"}, clock, random.Random(3), rates=rates)
    choice.pace = Pace(
        clock, random.Random(5), Metrics(), lambda _server: 1.0, lambda _service: True
    )
    return choice


def test_a_paced_server_gives_way_to_no_server_that_is_down():
    choice = make_choice(ManualClock())
    fresh, down = make_server("new"), make_server("down")
    choice.pace.begin(fresh, "started")
    choice.view(down).mark_down()
    chosen = [choice.choose([down, fresh], WORK_MS) for _ in range(TIMES)]
    assert chosen == [fresh] * TIMES


def test_a_paced_server_gives_way_to_no_server_whose_turn_comes_too_late():
    clock = ManualClock()
    rates = ServerRates(clock, random.Random(1), lambda _incarnation: 1.0)
    choice = make_choice(clock, rates)
    fresh, limited = make_server("new"), make_server("limited")
    choice.pace.begin(fresh, "started")
    choice.hear(limited, Notice(rate_per_s=0.1), clock.now_ms())
    choice.take_turn(limited)
    choice.take_turn(limited)
    assert choice.wait_ms(limited) > 1_000.0
    until_ms = clock.now_ms() + 500.0
    chosen = [choice.choose([limited, fresh], WORK_MS, (), until_ms) for _ in range(TIMES)]
    assert chosen == [fresh] * TIMES


def test_a_second_attempt_still_finds_the_paced_server():
    choice = make_choice(ManualClock())
    fresh, settled = make_server("new"), make_server("old")
    choice.pace.begin(fresh, "started")
    chosen = [choice.choose([settled, fresh], WORK_MS, ["old"]) for _ in range(TIMES)]
    assert chosen == [fresh] * TIMES


def test_a_down_server_that_is_paced_is_better_than_none():
    choice = make_choice(ManualClock())
    fresh = make_server("new")
    choice.pace.begin(fresh, "started")
    choice.view(fresh).mark_down()
    assert choice.choose([fresh], WORK_MS) is fresh


def test_a_paced_server_gets_its_share_beside_a_sound_one():
    choice = make_choice(ManualClock())
    fresh, settled = make_server("new"), make_server("old", data_centre="far")
    choice.pace.begin(fresh, "started")
    chosen = [choice.choose([settled, fresh], WORK_MS) for _ in range(2_000)]
    assert 0.10 < chosen.count(fresh) / 2_000 < 0.15


def test_a_recovered_server_begins_anew_without_its_slowness_of_before():
    clock = ManualClock()
    choice = make_choice(clock)
    server = make_server("back")
    view = choice.view(server)
    view._slowdown = 8.0
    view._slowdown_ms = clock.now_ms()
    choice.recovered(server, "unreachable")
    assert view.slowdown(clock.now_ms()) == 1.0
    assert choice.pace.reason(server.incarnation) == "unreachable"


def test_what_is_remembered_of_a_recovered_server_stays_where_nothing_is_paced():
    clock = ManualClock()
    choice = make_choice(clock)
    choice.pace = None
    server = make_server("back")
    view = choice.view(server)
    view._slowdown = 8.0
    view._slowdown_ms = clock.now_ms()
    choice.recovered(server, "unreachable")
    assert view.slowdown(clock.now_ms()) == 8.0


def test_pressure_is_the_mean_load_of_the_other_servers_by_their_slots():
    clock = ManualClock()
    choice = make_choice(clock)
    servers = [make_server("a"), make_server("b", slots=8), make_server("c"), make_server("d")]
    assert choice.pressure(servers[0], servers) is None
    for server, load in zip(servers, (40, 8, 2), strict=False):
        choice.view(server)._load = load
        choice.view(server)._load_ms = clock.now_ms()
    assert choice.pressure(servers[0], servers) == (8 / 8 + 2 / 4) / 2
    clock.advance(PRESSURE_AGE_MS + 1.0)
    assert choice.pressure(servers[0], servers) is None


def test_findings_of_servers_that_are_gone_go_with_the_views():
    choice = make_choice(ManualClock())
    gone, kept = make_server("gone"), make_server("kept")
    for server in (gone, kept):
        choice.pace.begin(server, "started")
    choice.forget([kept])
    assert len(choice.pace) == 1 and choice.pace.reason(kept.incarnation) == "started"
