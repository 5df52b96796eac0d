"""What counts as evidence that a request crashes backend servers."""

import random

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.events import Recorder
from auburnhollow.exceptions import Quarantined
from auburnhollow.quarantine import Quarantine
from auburnhollow.quarantine.evidence import SETTLE_MS, Ending

# The users' limit on servers that a request may crash before it is refused.
MAX_DEATHS = 3
INTERVAL_MS = 2_000.0
MAX_ATTEMPTS = 60
# The longest time for which a request may be refused that crashes no server.
MAX_INNOCENT_MS = 5_000.0


def new_quarantine(**options):
    clock = ManualClock()
    return clock, Quarantine(clock, Recorder("t", clock), random.Random(1), **options)


def is_refused(quarantine, fingerprint):
    try:
        quarantine.check(fingerprint)
    except Quarantined:
        return True
    return False


def crash(quarantine, server, shard, *fingerprints):
    """Let a server die while it runs several requests; all of their connections end."""
    for fingerprint in fingerprints:
        quarantine.record_start(server, fingerprint)
    for fingerprint in fingerprints:
        quarantine.record_death(server, shard, fingerprint)
        quarantine.record_end(server, fingerprint)


def count_deaths_until_refused(requests_on_server, shards, answered_shards):
    """Return how many servers die under a request before it is refused."""
    clock, quarantine = new_quarantine()
    for number in range(MAX_ATTEMPTS):
        if is_refused(quarantine, "bad"):
            return number
        for shard in range(answered_shards):
            quarantine.record_answer("bad", f"shard {(number + 1 + shard) % shards}")
        others = [f"other {number}.{each}" for each in range(requests_on_server - 1)]
        crash(quarantine, f"server {number}", f"shard {number % shards}", *others, "bad")
        clock.advance(INTERVAL_MS)
    return MAX_ATTEMPTS


@pytest.mark.parametrize("shards, answered_shards", [(1, 0), (10, 0), (10, 1)])
def test_a_crashing_request_beside_others_is_refused_after_three_deaths(shards, answered_shards):
    deaths = {}
    for requests_on_server in (1, 2, 3, 6, 12):
        deaths[requests_on_server] = count_deaths_until_refused(
            requests_on_server, shards, answered_shards
        )
    assert max(deaths.values()) <= MAX_DEATHS, deaths


def test_an_answer_from_the_same_shard_does_not_erase_earlier_deaths():
    clock, quarantine = new_quarantine()
    for number in range(MAX_DEATHS):
        crash(quarantine, f"server {number}", "shard", f"other {number}", "bad")
        quarantine.record_answer("bad", "shard")
        clock.advance(INTERVAL_MS)
    assert is_refused(quarantine, "bad")


def link(*quarantines):
    """Let each quarantine learn of the endings that the others detect."""
    for quarantine in quarantines:

        def share(ending, sender=quarantine):
            for other in quarantines:
                if other is not sender:
                    other.add_ending(ending, 0.0)

        quarantine.on_ending = share


def test_requests_of_several_nodes_under_which_a_rack_fails_are_not_refused():
    nodes = [new_quarantine()[1] for _ in range(3)]
    link(*nodes)
    # Each request ran on some of the servers, as the only one of its node.
    servers_by_request = {"r0": "abc", "r1": "abc", "r2": "cde"}
    for quarantine, (request, servers) in zip(nodes, servers_by_request.items(), strict=True):
        for server in servers:
            crash(quarantine, server, f"shard of {server}", request)
    for quarantine in nodes:
        for request in servers_by_request:
            assert not is_refused(quarantine, request)


def node_that_has_heard_of_a_search_that_ended(servers):
    """Return a clock and a quarantine that peers told of ends, also of one beside the search."""
    clock, quarantine = new_quarantine()
    for number in range(servers):
        quarantine.add_peer_ending(new_ending("bad", number), clock.now_ms())
        clock.advance(5.0)
    quarantine.add_peer_ending(new_ending("other", servers), clock.now_ms())
    return clock, quarantine


def new_ending(fingerprint, number):
    return Ending(
        fingerprint=fingerprint,
        server=f"server {number}",
        incarnation=0,
        shard=f"shard {number}",
        others=[],
        is_answered=False,
    )


def test_a_quarantine_is_not_lifted_before_peers_have_said_what_ran_on_a_server_that_ended():
    clock, quarantine = node_that_has_heard_of_a_search_that_ended(7)
    for _ in range(10):
        assert is_refused(quarantine, "bad")
        clock.advance(10.0)
    quarantine.add_peer_ending(new_ending("bad", 7), clock.now_ms() - 100.0)
    clock.advance(SETTLE_MS)
    assert is_refused(quarantine, "bad")


def test_a_quarantine_is_lifted_when_a_server_has_ended_beside_the_request():
    clock, quarantine = node_that_has_heard_of_a_search_that_ended(7)
    assert is_refused(quarantine, "bad")
    clock.advance(SETTLE_MS)
    assert not is_refused(quarantine, "bad")


def test_a_crashing_request_is_refused_although_servers_ended_beside_it_the_first_time():
    clock, quarantine = new_quarantine()
    crash(quarantine, "x", "shard of x", "r0")
    attempts = 0
    while not is_refused(quarantine, "bad") and attempts < MAX_ATTEMPTS:
        attempts += 1
        for shard in range(4):
            crash(quarantine, f"{attempts}.{shard}", f"shard {shard}", f"o{shard}", "bad")
        clock.advance(INTERVAL_MS)
    assert attempts <= 2


def test_a_request_that_ends_its_trial_server_is_refused_however_long_ago_the_others_ended():
    clock, quarantine = new_quarantine()
    crash(quarantine, "a", "shard", "bad")
    crash(quarantine, "b", "shard", "bad")
    for number in range(6):
        clock.advance(max(quarantine.refused.values()) + 1.0)
        quarantine.check("bad")
        with quarantine.trial("bad"):
            assert is_refused(quarantine, "bad")
            crash(quarantine, f"trial {number}", "shard", "bad")
        assert is_refused(quarantine, "bad")


def test_an_answer_in_a_trial_clears_the_request():
    clock, quarantine = new_quarantine()
    crash(quarantine, "a", "shard", "good")
    crash(quarantine, "b", "shard", "good")
    clock.advance(max(quarantine.refused.values()) + 1.0)
    with quarantine.trial("good"):
        quarantine.clear("good")
    assert not quarantine.is_suspect("good")
    assert not is_refused(quarantine, "good")


def test_a_popular_request_is_not_refused_beside_a_crashing_one():
    clock, quarantine = new_quarantine()
    for number in range(5):
        for shard in ("s0", "s1"):
            crash(quarantine, f"{shard}-{number % 2}", shard, "popular")
        clock.advance(INTERVAL_MS)
        for _ in range(3):
            for shard in ("s0", "s1"):
                quarantine.record_answer("popular", shard)
        assert not is_refused(quarantine, "popular")


def test_a_request_that_crashes_one_of_its_shards_is_refused_although_the_others_answer():
    clock, quarantine = new_quarantine()
    for number in range(2):
        crash(quarantine, f"s0-{number}", "s0", f"other {number}", "bad")
        for shard in range(1, 30):
            quarantine.record_answer("bad", f"s{shard}")
        clock.advance(INTERVAL_MS)
    assert is_refused(quarantine, "bad")


def test_a_crashing_request_that_is_repeated_fast_beside_failing_servers_is_refused():
    clock, quarantine = new_quarantine()
    attempts = 0
    while not is_refused(quarantine, "bad") and attempts < MAX_ATTEMPTS:
        attempts += 1
        crash(quarantine, f"x{attempts}", f"shard of x{attempts}", f"other {attempts}")
        crash(quarantine, f"s{attempts}", "shard", f"other {attempts}", "bad")
        clock.advance(300.0)
    assert attempts <= MAX_DEATHS


def nodes_whose_servers_ended_under_two_requests(may_probe=None):
    """Return a clock and three linked quarantines; "ordinary" ran on two servers of "bad"."""
    clock = ManualClock()
    nodes = []
    for _ in range(3):
        nodes.append(Quarantine(clock, Recorder("t", clock), random.Random(1), may_probe))
    for sender in nodes:
        peers = [node for node in nodes if node is not sender]
        sender.on_ending = lambda ending, peers=peers: [
            peer.add_peer_ending(ending, clock.now_ms()) for peer in peers
        ]
    # Servers a and b ran both requests; those on b came from different nodes.
    crash(nodes[0], "a", "the shard", "ordinary", "bad")
    crash(nodes[2], "c", "another shard", "bad")
    clock.advance(INTERVAL_MS)
    crash(nodes[1], "b", "the shard", "ordinary")
    crash(nodes[2], "b", "the shard", "bad")
    return clock, nodes


def test_a_request_whose_servers_ended_under_another_one_of_other_nodes_is_not_refused():
    clock, nodes = nodes_whose_servers_ended_under_two_requests()
    clock.advance(SETTLE_MS)
    for quarantine in nodes:
        assert is_refused(quarantine, "bad")
        assert not is_refused(quarantine, "ordinary")


def test_a_request_that_another_one_explains_is_tried_on_any_node():
    _, nodes = nodes_whose_servers_ended_under_two_requests(may_probe=lambda _fingerprint: False)
    for quarantine in nodes:
        assert not is_refused(quarantine, "ordinary")
        assert quarantine.needs_trial("ordinary")


def test_a_request_that_another_one_explains_is_soon_tried_again_if_its_trial_shows_nothing():
    clock, nodes = nodes_whose_servers_ended_under_two_requests()
    assert not is_refused(nodes[0], "ordinary")
    with nodes[0].trial("ordinary"):
        pass
    assert is_refused(nodes[0], "ordinary")
    clock.advance(MAX_INNOCENT_MS)
    assert not is_refused(nodes[0], "ordinary")


def test_a_crashing_request_that_another_one_explains_ends_one_further_server():
    clock, nodes = nodes_whose_servers_ended_under_two_requests()
    assert not is_refused(nodes[1], "ordinary")
    with nodes[1].trial("ordinary"):
        crash(nodes[1], "d", "the shard", "ordinary")
    clock.advance(MAX_INNOCENT_MS)
    for quarantine in nodes:
        assert is_refused(quarantine, "ordinary")


def test_one_of_two_requests_that_ended_the_same_servers_is_tried_at_once():
    clock, quarantine = new_quarantine()
    for number in range(MAX_DEATHS):
        crash(quarantine, f"server {number}", "shard", "bad", "ordinary")
        clock.advance(INTERVAL_MS)
    refused = [each for each in ("bad", "ordinary") if is_refused(quarantine, each)]
    assert len(refused) == 1
