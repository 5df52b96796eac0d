"""Plans, ejection and the choice of replicas."""

import random
from collections import Counter

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.configuration import Configuration
from auburnhollow.drain import LeavingServers
from auburnhollow.events import Recorder
from auburnhollow.exceptions import NoShardMatched, UnknownService
from auburnhollow.labels import describe, matches
from auburnhollow.limits import Shares
from auburnhollow.routing import Ejection, ReplicaChoice
from auburnhollow.routing.plan import find_by_labels, find_service
from auburnhollow_standins.virtual_fleet import make_document

SELECTORS = [
    ({}, True),
    ({"tier": "gold"}, True),
    ({"tier": ["silver", "gold"]}, True),
    ({"tier": "silver"}, False),
    ({"county": "iasi"}, True),
    ({"county": ["cluj", "deva"]}, True),
    ({"absent": None}, True),
    ({"tier": None}, False),
    ({"absent": "x"}, False),
    ({"tier": "gold", "absent": "x"}, False),
]


@pytest.mark.parametrize(("selector", "expected"), SELECTORS)
def test_a_selector_matches_if_each_of_its_keys_does(selector, expected):
    labels = {"tier": "gold", "county": ["cluj", "iasi"]}
    assert matches(selector, labels) is expected
    assert describe(selector)


class ChoiceFixture:
    """A replica choice with its collaborators."""

    def __init__(self, replicas=3):
        self.clock = ManualClock()
        events = Recorder("t", self.clock)
        self.configuration = Configuration.from_document(make_document(1, replicas))
        self.service = self.configuration.service("desk")
        self.servers = self.configuration.servers_of(self.service)
        self.shares = Shares("n", lambda: ("n",))
        self.ejection = Ejection(self.clock, events)
        self.leaving = LeavingServers(events)
        self.choice = ReplicaChoice(
            "north", self.clock, random.Random(1), self.shares, self.ejection, self.leaving
        )

    def choose(self, count=300, tried=()):
        chosen = Counter()
        for _ in range(count):
            server = self.choice.choose(self.configuration, self.service, self.servers, tried)
            chosen[None if server is None else server.id] += 1
        return chosen


def test_a_slow_server_is_not_chosen():
    fixture = ChoiceFixture()
    for server in fixture.servers:
        for _ in range(20):
            fixture.choice.observe(server, 100.0 if server.id == "s0-1" else 2.0)
    assert fixture.choose()["s0-1"] == 0


def test_a_busy_server_gets_fewer_calls_and_a_full_one_none():
    fixture = ChoiceFixture(replicas=2)
    for server in fixture.servers:
        fixture.choice.observe(server, 2.0)
    for _ in range(5):
        fixture.shares.enter(fixture.servers[0])
    assert fixture.choose() == {"s0-1": 300}
    for _ in range(36):
        fixture.shares.enter(fixture.servers[1])
    assert fixture.choose() == {"s0-0": 300}


def test_a_reported_load_counts_while_it_is_fresh():
    fixture = ChoiceFixture(replicas=2)
    for server in fixture.servers:
        fixture.choice.observe(server, 2.0, load=20 if server.id == "s0-0" else 0)
    assert fixture.choose() == {"s0-1": 300}
    fixture.clock.advance(2_000)
    assert len(fixture.choose()) == 2 or fixture.choose()["s0-0"] > 0


def test_ineligible_servers_are_not_chosen():
    fixture = ChoiceFixture()
    fixture.leaving.mark_leaving("s0-0", 1)
    assert fixture.choose(tried=("s0-1",)) == {"s0-2": 300}
    assert fixture.choose(tried=("s0-1", "s0-2")) == {None: 300}


def test_a_failing_server_is_ejected_and_readmitted():
    fixture = ChoiceFixture()
    for server in fixture.servers:
        fixture.choice.observe(server, 2.0)
    for _ in range(3):
        fixture.ejection.record_failure("s0-2")
    assert "s0-2" not in fixture.choose()
    fixture.clock.advance(1_001)
    assert fixture.choose()["s0-2"] > 0


@pytest.mark.parametrize("failing", [2, 3])
def test_no_server_is_ejected_if_too_many_fail(failing):
    fixture = ChoiceFixture()
    for server in fixture.servers:
        fixture.choice.observe(server, 2.0)
    for server in fixture.servers[:failing]:
        for _ in range(3):
            fixture.ejection.record_failure(server.id)
    assert len(fixture.choose()) == 3


def test_a_server_that_was_slow_is_tried_again_after_a_while():
    fixture = ChoiceFixture(replicas=2)
    for server in fixture.servers:
        for _ in range(5):
            fixture.choice.observe(server, 2.0)
    fixture.choice.observe_cancelled(fixture.configuration, fixture.servers[0], 40.0)
    assert fixture.choose() == {"s0-1": 300}
    fixture.clock.advance(60_000)
    assert len(fixture.choose()) == 2


def test_a_server_that_shed_a_call_is_avoided_for_a_while():
    fixture = ChoiceFixture(replicas=2)
    for server in fixture.servers:
        fixture.choice.observe(server, 2.0)
    fixture.choice.observe_overload(fixture.configuration, fixture.service, fixture.servers[0])
    assert fixture.choose() == {"s0-1": 300}
    fixture.clock.advance(1_001)
    assert len(fixture.choose()) == 2


def test_a_cancelled_first_call_does_not_imply_a_new_incarnation():
    fixture = ChoiceFixture(replicas=2)
    fixture.choice.observe_cancelled(fixture.configuration, fixture.servers[0], 0.2)
    for server in fixture.servers:
        fixture.choice.observe(server, 2.0, incarnation=1)
    assert len(fixture.choose()) == 2


def test_a_restarted_server_gets_no_calls_while_it_warms_up():
    fixture = ChoiceFixture(replicas=2)
    for server in fixture.servers:
        fixture.choice.observe(server, 2.0, incarnation=1)
    fixture.choice.observe(fixture.servers[0], 2.0, incarnation=2)
    assert fixture.choose() == {"s0-1": 300}
    fixture.clock.advance(5_001)
    assert fixture.choose()["s0-0"] > 0


def test_services_are_found_by_name_or_by_labels_of_one_service_only():
    document = make_document()
    other = {**document["services"][0], "name": "other", "labels": {"desk": "no"}}
    document["services"].append(other)
    configuration = Configuration.from_document(document)
    assert find_service(configuration, "desk", "search").name == "desk"
    with pytest.raises(UnknownService):
        find_service(configuration, "desk", "check")
    assert find_by_labels(configuration, {"desk": "no"}, "search").name == "other"
    with pytest.raises(NoShardMatched):
        find_by_labels(configuration, {"name": "s0"}, "search")
