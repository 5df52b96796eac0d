"""Invariants of subqueries under random faults of nodes and servers."""

import asyncio
import math
import random

import pytest

from auburnhollow.exceptions import NotReady, PeerError, QueryError
from auburnhollow.relay.merge import RECORD_BYTES
from auburnhollow.relay.subquery_messages import SubqueryRepeated
from auburnhollow_standins.fake_servers import CUT

from .test_subquery import OTHER, REPLICAS, SHARDS, run_scenario

ATTEMPTS = 2
REQUESTS = 25
SERVER_FAULTS = (20.0, 20.0, 20.0, 60.0, 300.0, 900.0, CUT, 500)


class FaultyAggregator:
    """An aggregator that works normally, or stalls, dies or refuses at random.

    :param dies_before_report: whether one that dies does so before it reports its next repeat.
    """

    def __init__(self, fleet, name, rng, dies_before_report):
        self._dies_before_report = dies_before_report
        self._answer = fleet.aggregator_nodes[name].answer
        self._clock = fleet.clock
        self._rng = rng
        self.is_healthy = False
        fleet.network.streams[name] = self.answer

    async def answer(self, message):
        kind = (
            "normal"
            if self.is_healthy
            else self._rng.choice(("normal", "normal", "stall", "die", "refuse"))
        )
        if kind == "refuse":
            raise NotReady("stopping")
        dies_ms = self._clock.now_ms() + self._rng.uniform(0.0, 300.0)
        if kind != "die":
            dies_ms = math.inf
        answers = self._answer(message)
        try:
            while True:
                async with self._clock.timeout(dies_ms - self._clock.now_ms()):
                    each = await anext(answers)
                if (
                    kind == "die"
                    and self._dies_before_report
                    and isinstance(each, SubqueryRepeated)
                ):
                    raise PeerError("connection lost")
                if kind == "stall":
                    await self._clock.sleep(self._rng.uniform(0.0, 400.0))
                yield each
        except TimeoutError:
            raise PeerError("connection lost") from None
        except StopAsyncIteration:
            return
        finally:
            await answers.aclose()


async def run_history(fleet, seed, dies_before_report=False):
    """Send requests under random faults; return their tasks by name, and the aggregators."""
    rng = random.Random(seed)
    fleet.allow_repeats()
    aggregator_nodes = [
        FaultyAggregator(fleet, name, rng, dies_before_report) for name in fleet.others
    ]
    servers = [
        f"{shard}-{n}" for shard, data_centres in REPLICAS.items() for n in range(len(data_centres))
    ]
    tasks = {}
    for number in range(REQUESTS):
        for server in rng.sample(servers, 3):
            fleet.set_behaviour(server, rng.choice(SERVER_FAULTS))
        if rng.random() < 0.2:
            fleet.network.cut(["me"], [rng.choice(list(fleet.others))])
        if rng.random() < 0.3:
            fleet.network.heal()
        name = f"r-{number}"
        tasks[name] = asyncio.create_task(fleet.gather(name, most_records=4))
        await fleet.clock.sleep(rng.uniform(0.0, 120.0))
    await asyncio.gather(*tasks.values(), return_exceptions=True)
    await fleet.clock.sleep(2_000.0)
    return tasks, aggregator_nodes


def check_answer(merged):
    """Check that an answer has the greatest records of exactly the shards that it names."""
    servers = [signature.removeprefix("signed-") for signature in merged.signatures]
    shards = [server.partition("-")[0] for server in servers]
    assert len(set(shards)) == len(shards)
    assert len(shards) + merged.missing == len(SHARDS)
    records = sorted(
        (server.encode().ljust(RECORD_BYTES, b".") for server in servers), reverse=True
    )
    assert merged.body == b"".join(records[:4])


def runs_by_request(fleet):
    """Return on how many servers each shard ran each request, by request and shard."""
    found = {}
    for bed in (fleet.me, *fleet.others.values()):
        for _, server, request in bed.servers.calls:
            key = (request, server.partition("-")[0])
            found[key] = found.get(key, 0) + 1
    return found


@pytest.mark.parametrize("seed", range(60))
def test_answers_are_correct_and_attempts_are_bounded(seed):
    async def scenario(fleet):
        tasks, _ = await run_history(fleet, seed)
        return fleet, tasks

    fleet, tasks = run_scenario(scenario, others=3)
    answered = 0
    for task in tasks.values():
        if task.exception() is not None:
            assert isinstance(task.exception(), QueryError)
            continue
        answered += 1
        check_answer(task.result())
    assert answered > 0
    assert max(runs_by_request(fleet).values()) <= ATTEMPTS
    assert all(
        aggregator_node.in_progress == 0 for aggregator_node in fleet.aggregator_nodes.values()
    )


@pytest.mark.parametrize("seed", range(60))
def test_attempts_are_bounded_if_an_aggregator_dies_before_it_reports_a_repeat(seed):
    async def scenario(fleet):
        await run_history(fleet, seed, dies_before_report=True)
        return fleet

    assert max(runs_by_request(run_scenario(scenario, others=3)).values()) <= ATTEMPTS


@pytest.mark.parametrize("seed", range(10))
def test_every_answer_is_complete_after_the_faults(seed):
    async def scenario(fleet):
        _, aggregator_nodes = await run_history(fleet, seed)
        fleet.network.heal()
        for bed in (fleet.me, *fleet.others.values()):
            bed.servers.behaviour.clear()
        for aggregator_node in aggregator_nodes:
            aggregator_node.is_healthy = True
        await fleet.clock.sleep(12_000.0)
        for number in range(12):
            await fleet.gather(f"calm-{number}")
        found = []
        for number in range(12):
            found.append(await fleet.gather(f"after-{number}", most_records=4))
        return found, fleet.aggregators.choose_aggregator(OTHER)

    found, node = run_scenario(scenario, others=3)
    assert node is not None
    for merged in found:
        check_answer(merged)
        assert merged.missing == 0
