"""Configuration checks, which report all findings with their places."""

import copy

import pytest

from auburnhollow.configuration import (
    Configuration,
    check_document,
    check_effect,
    differences,
)
from auburnhollow_standins.deployments import DEPLOYMENTS
from auburnhollow_standins.virtual_fleet import make_document

# A change to a valid document, and the places of the expected findings.
FAULTS = [
    (lambda d: d.pop("services"), ["document"]),
    (lambda d: d.update(servces=[]), ["servces"]),
    (lambda d: d["services"][0].update(slots=0), ["services[0].slots"]),
    (lambda d: d["services"][0].update(kinds=["sing"]), ["services[0].kinds[0]"]),
    (lambda d: d["services"][0]["policy"].update(hedge=1), ["services[0].policy.hedge"]),
    (
        lambda d: (d["services"][0].update(slots=0), d["servers"][1].update(address="x")),
        ["servers[1].address", "services[0].slots"],
    ),
    (lambda d: d["servers"][1].update(id="s0-0"), ["servers[1].id"]),
    (lambda d: d["servers"][1].update(data_centre="mars"), ["servers[1].data_centre"]),
    (lambda d: d.update(draining=["nobody"]), ["draining[0]"]),
    (lambda d: d["services"][0].update(selector={"a": "b"}), ["services[0].selector"]),
    (
        lambda d: d["services"][0]["versions"][0]["shards"].append({"name": "s9"}),
        ["services[0].versions[0].shards[4].name"],
    ),
    (
        lambda d: d["services"][0]["versions"].append(d["services"][0]["versions"][0]),
        ["services[0].versions[1].version"],
    ),
]


@pytest.mark.parametrize(("change", "places"), FAULTS)
def test_each_finding_has_its_place(change, places):
    document = copy.deepcopy(make_document())
    change(document)
    assert sorted(finding.place for finding in check_document(document)) == places


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_the_examples_are_valid(name):
    assert check_document(DEPLOYMENTS[name].document()) == []


def test_an_unknown_key_is_reported_with_the_closest_known_one():
    (finding,) = check_document({**make_document(), "drainin": []})
    assert "'draining'" in finding.text


def test_the_effect_of_a_change_lists_lost_and_gained_servers():
    before = make_document(shards=1)
    after = copy.deepcopy(before)
    after["draining"] = ["s0-0"]
    after["servers"][1]["labels"]["service"] = "none"
    (effect,) = check_effect(
        Configuration.from_document(before), Configuration.from_document(after)
    )
    assert effect.lost == ["s0-0", "s0-1"]
    assert effect.gained == []


def test_differences_are_matched_by_id_not_by_position():
    before = make_document(shards=1)
    after = copy.deepcopy(before)
    del after["servers"][0]
    after["services"][0]["slots"] = 9
    found = {difference.place: difference for difference in differences(before, after)}
    assert set(found) == {"servers[s0-0]", "services[desk].slots"}
    assert found["services[desk].slots"].after == 9


def test_a_list_of_names_is_compared_as_a_whole():
    (found,) = differences({"draining": []}, {"draining": ["a"]})
    assert str(found) == "draining: [] -> ['a']"
