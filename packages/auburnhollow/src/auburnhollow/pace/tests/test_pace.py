"""Decisions on the pace of one server, and what peers make of each other's findings."""

import random

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.gossip import GossipTable
from auburnhollow.metrics import Metrics
from auburnhollow.pace import Finding, Pace, PaceGossip
from auburnhollow.pace.finding import (
    ANSWERS_TO_GROW,
    FULL_SHARE,
    MIN_SHARE,
    QUIET_MS,
    UNKNOWN_START_SHARE,
    start_share,
)
from auburnhollow.pace.pace import RETENTION_MS
from auburnhollow_standins.fake_servers import make_server

FULL_PRESSURE = 1.0


class FakeGossiper:
    """Hands each published entry to other nodes' tables at once."""

    def __init__(self):
        self.tables = []

    def publish(self, entry):
        for table in self.tables:
            table.put(entry)


def make_pace(clock, pressure=FULL_PRESSURE, is_wanted=True):
    return Pace(
        clock, random.Random(5), Metrics(), lambda _server: pressure, lambda _service: is_wanted
    )


@pytest.fixture
def clock():
    return ManualClock()


def test_a_service_with_room_needs_no_pace():
    assert start_share(0.05) == FULL_SHARE
    assert start_share(None) == UNKNOWN_START_SHARE
    assert start_share(0.5) == 0.25
    assert start_share(100.0) == MIN_SHARE


def test_good_answers_double_the_share_until_it_is_full(clock):
    finding = Finding("started", 0.25, clock.now_ms())
    changes = []
    while not finding.is_over(clock.now_ms()):
        began_ms = clock.now_ms()
        clock.advance(30.0)
        if finding.observe(began_ms, 1.2, 0.5, clock.now_ms()):
            changes.append(finding.share(clock.now_ms()))
    assert changes == [0.5, 1.0]
    assert clock.now_ms() == 2 * ANSWERS_TO_GROW * 30.0


@pytest.mark.parametrize(("ratio", "load"), [(4.0, 0.5), (1.0, 2.0)])
def test_a_slow_answer_or_a_long_queue_halves_the_share(clock, ratio, load):
    finding = Finding("started", 0.5, clock.now_ms())
    assert finding.observe(clock.now_ms(), ratio, load, clock.now_ms())
    assert finding.share(clock.now_ms()) == 0.25


def test_calls_from_before_a_change_do_not_count(clock):
    finding = Finding("started", 0.5, clock.now_ms())
    clock.advance(10.0)
    assert finding.stumble(clock.now_ms(), clock.now_ms())
    for _ in range(5):
        assert not finding.stumble(5.0, clock.now_ms())
        assert not finding.observe(5.0, 1.0, 0.0, clock.now_ms())
    assert finding.share(clock.now_ms()) == 0.25


def test_a_stumbling_server_keeps_a_least_share(clock):
    finding = Finding("started", 0.5, clock.now_ms())
    for _ in range(20):
        clock.advance(10.0)
        finding.stumble(clock.now_ms(), clock.now_ms())
    assert finding.share(clock.now_ms()) == MIN_SHARE


def test_a_server_that_nobody_asks_is_at_its_full_share_after_some_seconds(clock):
    finding = Finding("started", 0.25, clock.now_ms())
    clock.advance(2 * QUIET_MS)
    assert finding.is_over(clock.now_ms())


def test_requests_are_thinned_out_by_the_share(clock):
    pace = make_pace(clock)
    fresh, settled = make_server("new"), make_server("old")
    pace.begin(fresh, "started")
    kept = sum(fresh in pace.thin([fresh, settled]) for _ in range(4_000))
    assert pace.share(fresh.incarnation) == 0.125
    assert 0.10 < kept / 4_000 < 0.15


def test_servers_that_are_all_new_are_used_as_usual(clock):
    pace = make_pace(clock)
    servers = [make_server(name) for name in ("a", "b", "c")]
    for server in servers:
        pace.begin(server, "started")
    assert all(pace.thin(servers) == servers for _ in range(50))


def test_of_new_servers_the_one_that_has_answered_gets_more(clock):
    pace = make_pace(clock)
    quick, slow = make_server("a"), make_server("b")
    for server in (quick, slow):
        pace.begin(server, "started")
    for _ in range(ANSWERS_TO_GROW):
        pace.answered(quick, clock.now_ms(), 1.0, 0)
    kept = sum(slow in pace.thin([quick, slow]) for _ in range(2_000))
    assert 0.45 < kept / 2_000 < 0.55


def test_nothing_is_paced_that_nobody_asked_for(clock):
    pace = make_pace(clock, is_wanted=False)
    server = make_server("a")
    pace.begin(server, "started")
    assert len(pace) == 0


def test_peers_take_over_the_newest_share_whatever_its_way(clock):
    gossiper = FakeGossiper()
    paces = []
    server = make_server("a")
    for _ in range(3):
        pace = make_pace(clock)
        table = GossipTable(clock)
        gossiper.tables.append(table)
        PaceGossip(pace, gossiper, table, clock)
        pace.begin(server, "started")
        paces.append(pace)
    for _ in range(ANSWERS_TO_GROW):
        paces[0].answered(server, clock.now_ms(), 1.0, 0)
    assert [pace.share(server.incarnation) for pace in paces] == [0.25] * 3
    paces[1].hear_from_peer(server.incarnation, FULL_SHARE, version=0)
    paces[2].stumbled(server, clock.now_ms())
    assert [pace.share(server.incarnation) for pace in paces] == [0.125] * 3


def test_a_share_of_a_server_that_troubles_only_peers_is_not_taken_over(clock):
    pace = make_pace(clock)
    server = make_server("a")
    pace.hear_from_peer(server.incarnation, MIN_SHARE, version=9)
    assert pace.share(server.incarnation) == FULL_SHARE
    pace.begin(server, "unreachable")
    pace.hear_from_peer(server.incarnation, FULL_SHARE, version=8)
    assert pace.share(server.incarnation) == 0.125


def test_servers_that_are_gone_are_forgotten(clock):
    pace = make_pace(clock)
    pace.begin(make_server("a"), "started")
    pace.forget(set())
    assert len(pace) == 0


def connect(clock, gossiper, pace):
    table = GossipTable(clock)
    gossiper.tables.append(table)
    PaceGossip(pace, gossiper, table, clock)
    return table


def test_peers_hear_of_a_fall_after_quiet_growth(clock):
    gossiper = FakeGossiper()
    server = make_server("a")
    paces = [make_pace(clock) for _ in range(2)]
    for pace in paces:
        connect(clock, gossiper, pace)
        pace.begin(server, "started")
    clock.advance(QUIET_MS)
    assert [pace.share(server.incarnation) for pace in paces] == [0.25] * 2
    paces[0].stumbled(server, clock.now_ms())
    assert [pace.share(server.incarnation) for pace in paces] == [0.125] * 2


def test_what_peers_found_before_a_recovery_says_nothing_of_it(clock):
    """As after a restart of the node: the entry comes with the table, after the finding began."""
    gossiper = FakeGossiper()
    server = make_server("a")
    peer, restarted = make_pace(clock), make_pace(clock)
    known = connect(clock, gossiper, peer)
    peer.begin(server, "started")
    while len(peer):
        peer.answered(server, clock.now_ms(), 1.0, 0)
        clock.advance(10.0)
    clock.advance(20_000.0)
    restarted.begin(server, "unreachable")
    table = connect(clock, gossiper, restarted)
    clock.advance(50.0)
    for entry in known.of_kind("pace"):
        assert table.put(entry)
    assert restarted.share(server.incarnation) == 0.125
    restarted.stumbled(server, clock.now_ms())
    assert known.of_kind("pace")[0].value[2] == MIN_SHARE


def test_versions_of_long_ago_do_not_silence_a_node_that_has_restarted(clock):
    server = make_server("a")
    pace = make_pace(clock)
    pace.hear_from_peer(server.incarnation, FULL_SHARE, version=9)
    clock.advance(RETENTION_MS + 1.0)
    pace.begin(server, "unreachable")
    pace.hear_from_peer(server.incarnation, MIN_SHARE, version=1)
    assert pace.share(server.incarnation) == MIN_SHARE


@pytest.mark.parametrize(
    ("is_first_read", "age_ms", "warm_up_ms", "is_paced"),
    [
        (False, 1_000.0, 0, True),
        (True, 1_000.0, 0, False),
        (True, 1_000.0, 500, True),
        (False, 600_000.0, 0, False),
    ],
)
def test_only_servers_that_are_new_themselves_begin(
    clock, is_first_read, age_ms, warm_up_ms, is_paced
):
    """An old one comes back with its entry, or after a node's first read has failed."""
    clock.advance(1_000_000.0)
    pace = make_pace(clock)
    started_ms = int(clock.wall_ms() - age_ms)
    pace.seen(make_server("a", started_ms=started_ms, warm_up_ms=warm_up_ms), is_first_read)
    assert (len(pace) == 1) == is_paced


def test_a_server_without_a_start_time_counts_as_new(clock):
    clock.advance(1_000_000.0)
    pace = make_pace(clock)
    pace.seen(make_server("a", started_ms=0), is_first_read=False)
    assert len(pace) == 1


def test_a_server_that_nobody_asks_leaves_nothing_behind(clock):
    pace = make_pace(clock)
    server = make_server("a")
    pace.begin(server, "started")
    clock.advance(10 * QUIET_MS)
    pace.thin([make_server("other")])
    assert len(pace) == 0


def test_an_answer_neither_good_nor_bad_changes_nothing(clock):
    finding = Finding("started", 0.25, clock.now_ms())
    assert not finding.observe(clock.now_ms(), 2.5, 0.5, clock.now_ms())
    assert finding.share(clock.now_ms()) == 0.25


def test_a_queue_is_long_by_the_slots_of_its_server(clock):
    pace = make_pace(clock)
    server = make_server("a", slots=8)
    pace.begin(server, "started")
    pace.answered(server, clock.now_ms(), 1.0, 10)
    assert pace.share(server.incarnation) == 0.25
    pace.answered(server, clock.now_ms(), 1.0, 13)
    assert pace.share(server.incarnation) == 0.125
