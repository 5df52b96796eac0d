"""Finding routes and splitting requests among branches."""

import random
from collections import Counter

import pytest

from auburnhollow.routes import Branch, FrontLimits, RouteTable, Split
from auburnhollow_standins.fake_servers import make_route

LIMITS = FrontLimits(header_bytes=1, body_bytes=1, header_ms=1, idle_ms=1)


def table_of(*routes, version=1):
    return RouteTable(version, list(routes), [], LIMITS)


@pytest.mark.parametrize(
    ("host", "path", "found"),
    [
        ("a.example", "/x/y/z", "long"),
        ("a.example", "/x/y/", "long"),
        ("a.example", "/x/y", "short"),
        ("a.example", "/x/", "short"),
        ("a.example", "/x", None),
        ("a.example", "/", None),
        ("b.example", "/x/y/z", "other"),
        ("c.example", "/x/y/z", None),
        ("a.example", "x", None),
        ("a.example", "", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(host, path, found):
    table = table_of(
        make_route(name="short", host="a.example", prefix="/x/"),
        make_route(name="long", host="a.example", prefix="/x/y/"),
        make_route(name="other", host="b.example", prefix="/"),
    )
    route = table.find(host, path)
    assert (route and route.name) == found


@pytest.mark.parametrize("weights", [(1,), (90, 10), (1, 1, 1), (70, 29, 1)])
def test_branches_get_their_share_of_any_sequence(weights):
    branches = tuple(
        Branch(service=str(number), weight=weight) for number, weight in enumerate(weights)
    )
    split = Split(branches, random.Random(1))
    taken = [split.next() for _ in range(900)]
    for start in range(0, 900, 300):
        counts = Counter(taken[start : start + 300])
        for branch in branches:
            share = branch.weight / sum(weights)
            assert abs(counts[branch.service] / 300 - share) < 0.02


def test_nodes_start_at_different_points_of_the_cycle():
    branches = (Branch(service="a", weight=1), Branch(service="b", weight=1))
    firsts = {Split(branches, random.Random(seed)).next() for seed in range(20)}
    assert firsts == {"a", "b"}


def test_a_new_version_continues_the_round_robin_of_unchanged_branches():
    branches = (Branch(service="a", weight=1), Branch(service="b", weight=3))
    route = make_route(name="split", branches=branches)
    rng = random.Random(1)
    older = table_of(route)
    expected = Split(branches, random.Random(1))
    taken = [older.branch(route, rng) for _ in range(3)]
    newer = table_of(route, version=2)
    newer.take_over(older)
    taken += [newer.branch(route, rng) for _ in range(5)]
    assert taken == [expected.next() for _ in range(8)]


def test_a_request_from_before_a_change_does_not_bring_the_old_branches_back():
    rng = random.Random(1)
    old, new = (
        make_route(("a",), branches=(Branch(service=service, weight=1),)) for service in ("a", "b")
    )
    table = table_of(new, version=2)
    assert table.branch(old, rng) == "a"
    assert [table.branch(new, rng) for _ in range(5)] == ["b"] * 5
