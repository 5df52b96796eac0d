"""The coverage of an answer matches what the servers answered."""

import random

import pytest

from auburnhollow.exceptions import NoShardMatched, QueryError
from auburnhollow.scatter import Coverage, Gap, Outcome
from auburnhollow.scatter.coverage import merge_rows
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, make_search, virtual_fleet

SEEDS = 150
STEPS = [
    "answer",
    "answer",
    "partial",
    "slow",
    "draining",
    "overload",
    "cold",
    "unreachable",
    "cut-before",
    "cut-after",
    "hang",
    "silent",
    "mismatch",
    "fault",
]

WRONG_OUTCOMES = [
    [],
    [Outcome.answered("a", [])],
    [Outcome.answered("a", []), Outcome.answered("a", []), Outcome.answered("b", [])],
    [Outcome.answered("a", []), Outcome.answered("c", [])],
]


@pytest.mark.parametrize("outcomes", WRONG_OUTCOMES)
def test_coverage_needs_exactly_one_outcome_for_each_shard(outcomes):
    with pytest.raises(ValueError, match="one outcome"):
        Coverage(["a", "b"], outcomes)


def test_merged_rows_are_unique_and_ordered_independently_of_arrival():
    one = Outcome.answered("a", [{"id": "x", "score": 1.0}, {"id": "y", "score": 0.5}])
    two = Outcome.answered("b", [{"id": "x", "score": 1.0}, {"id": "z", "score": 0.5}])
    rows = merge_rows([one, two], 2)
    assert [row["id"] for row in rows] == ["x", "y"]
    assert rows == merge_rows([two, one], 2)


def answered_in_full(fleet, shard):
    servers = [server for name, server in fleet.servers.items() if name.startswith(f"{shard}-")]
    return any(server.fully_answered for server in servers)


async def search_under_faults(seed):
    seeded = random.Random(seed)
    document = make_document(shards=5, coverage=seeded.choice(["deadline", "complete"]))
    async with virtual_fleet(document, nodes=1, seed=seed) as fleet:
        for server in fleet.servers.values():
            server.default_step = seeded.choice(STEPS)
            server.script.extend(seeded.choices(STEPS, k=seeded.randrange(3)))
        try:
            answer = await fleet.nodes["n0"].node.coordinator.search(make_search())
        except QueryError as error:
            return fleet, None, error
        return fleet, answer, None


@pytest.mark.parametrize("seed", range(SEEDS))
def test_coverage_matches_what_the_servers_answered(seed):
    fleet, answer, error = run_virtually(search_under_faults(seed))
    if answer is None:
        if error.ran.value == "no":
            assert not any(server.ran for server in fleet.servers.values())
        return
    assert answer.coverage.asked == 5
    with_rows = {row["shard"] for row in answer.rows}
    for shard in answer.coverage.to_map()["shards"]:
        outcome = answer.coverage.gaps.get(shard)
        if outcome is None:
            assert shard in with_rows
            assert answered_in_full(fleet, shard)
        elif outcome.gap is Gap.PARTIAL:
            assert shard in with_rows
        else:
            assert shard not in with_rows


def test_a_partial_answer_of_a_server_is_reported_as_a_gap():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            for replica in range(3):
                fleet.servers[f"s2-{replica}"].default_step = "partial"
            answer = await fleet.nodes["n0"].node.coordinator.search(make_search())
        assert {shard: outcome.gap for shard, outcome in answer.coverage.gaps.items()} == {
            "s2": Gap.PARTIAL
        }
        assert "s2" in {row["shard"] for row in answer.rows}

    run_virtually(run())


def test_every_shard_with_a_live_replica_answers():
    async def run():
        async with virtual_fleet(make_document(shards=10), nodes=1) as fleet:
            for server in list(fleet.servers.values())[::3]:
                server.is_dead = True
            answer = await fleet.nodes["n0"].node.coordinator.search(make_search())
            assert answer.coverage.is_complete
            for server in fleet.servers.values():
                server.is_dead = server.id.startswith("s4-")
            answer = await fleet.nodes["n0"].node.coordinator.search(make_search())
            assert set(answer.coverage.gaps) == {"s4"}

    run_virtually(run())


def test_a_shard_with_an_overloaded_replica_is_answered_by_another():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            for shard in range(4):
                fleet.servers[f"s{shard}-0"].default_step = "overload"
            answer = await fleet.nodes["n0"].node.coordinator.search(make_search())
        assert answer.coverage.is_complete

    run_virtually(run())


def test_a_selector_that_matches_nothing_is_an_error_not_an_empty_answer():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            search = make_search(selector={"name": "nowhere"})
            with pytest.raises(NoShardMatched):
                await fleet.nodes["n0"].node.coordinator.search(search)

    run_virtually(run())


def test_complete_waits_for_the_last_shard_and_deadline_does_not():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            for replica in range(3):
                fleet.servers[f"s0-{replica}"].latency_ms = 600.0
            coordinator = fleet.nodes["n0"].node.coordinator
            partial = await coordinator.search(make_search(deadline_ms=300.0))
            complete = await coordinator.search(make_search(deadline_ms=300.0, coverage="complete"))
        assert {shard: outcome.gap for shard, outcome in partial.coverage.gaps.items()} == {
            "s0": Gap.DEADLINE
        }
        assert complete.coverage.is_complete

    run_virtually(run())
