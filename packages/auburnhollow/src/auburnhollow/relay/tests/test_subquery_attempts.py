"""Bounds on how many servers of a shard run a request, despite faults of the aggregator."""

import asyncio
from contextlib import aclosing

import pytest

from auburnhollow.exceptions import BackendRefused, PeerError, QueryError
from auburnhollow.relay.subquery_messages import SubqueryRepeated
from auburnhollow_standins.fake_servers import CUT

from .test_subquery import FAR, SHARDS, run_scenario


class DyingAggregator:
    """An aggregator that loses its connection at ``after_ms`` without further messages."""

    def __init__(self, fleet, name, after_ms):
        self._answer = fleet.aggregator_nodes[name].answer
        self._clock = fleet.clock
        self._ends_ms = after_ms
        fleet.network.streams[name] = self.answer

    async def answer(self, message):
        answers = self._answer(message)
        try:
            while True:
                async with self._clock.timeout(self._ends_ms - self._clock.now_ms()):
                    answer = await anext(answers)
                yield answer
        except TimeoutError:
            raise PeerError("connection lost") from None
        finally:
            await answers.aclose()


def test_shards_of_an_aggregator_that_dies_are_retried_once():
    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in FAR:
            fleet.other.servers.behaviour[f"{shard}-0"] = 900.0
            fleet.other.servers.behaviour[f"{shard}-1"] = 900.0
        DyingAggregator(fleet, "other-0", after_ms=25.0)
        merged = await fleet.gather()
        return fleet, merged

    fleet, merged = run_scenario(scenario)
    assert merged.missing == 0
    assert set(fleet.runs().values()) <= {1, 2}


@pytest.mark.parametrize("stall_ms", [50.0, 72.0, 100.0, 250.0, 300.0])
def test_attempts_are_bounded_when_the_aggregator_is_slow(stall_ms):
    """The aggregator gets no CPU time when the subquery arrives, and continues later."""

    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in FAR:
            fleet.set_behaviour(f"{shard}-0", 900.0)
            fleet.set_behaviour(f"{shard}-1", 900.0)
        answer = fleet.aggregator_nodes["other-0"].answer

        async def stalled(message):
            answers = answer(message)
            first = await anext(answers)
            await fleet.clock.sleep(stall_ms)
            yield first
            async for each in answers:
                yield each

        fleet.network.streams["other-0"] = stalled
        task = asyncio.create_task(fleet.gather())
        await asyncio.gather(task, return_exceptions=True)
        await fleet.clock.sleep(1_000)
        return fleet

    assert max(run_scenario(scenario).runs().values()) <= 2


def test_a_failed_shard_is_retried_only_by_the_requesting_node_if_delegation_is_late():
    """The message that delegates repeats arrives 200 ms late.

    The aggregator has then reported the shard as failed, so that only the requesting node may
    retry it.
    """

    async def scenario(fleet):
        fleet.allow_repeats()
        fleet.other.servers.behaviour.update({"s1-0": CUT, "s1-1": CUT})
        allow = fleet.aggregator_nodes["other-0"].allow_repeats

        async def late(message):
            await fleet.clock.sleep(200.0)
            await allow(message)

        fleet.network.handlers["other-0"] = late
        fleet.set_behaviour("s2-0", 300.0)
        fleet.set_behaviour("s2-1", 300.0)
        await asyncio.gather(fleet.gather(least_share=1.0), return_exceptions=True)
        await fleet.clock.sleep(1_000.0)
        return fleet

    assert max(run_scenario(scenario).runs().values()) <= 2


def test_each_repeat_is_reported_if_a_route_allows_several():
    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in FAR:
            fleet.set_behaviour(f"{shard}-0", 900.0)
            fleet.set_behaviour(f"{shard}-1", 900.0)
        DyingAggregator(fleet, "other-0", after_ms=150.0)
        await asyncio.gather(fleet.gather(attempts=3), return_exceptions=True)
        await fleet.clock.sleep(1_000.0)
        return fleet

    assert max(run_scenario(scenario).runs().values()) <= 3


@pytest.mark.parametrize("after_ms", [10.0, 60.0, 110.0, 150.0])
def test_attempts_are_bounded_when_the_aggregator_dies(after_ms):
    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in ("s1", "s2"):
            fleet.set_behaviour(f"{shard}-0", 900.0)
            fleet.set_behaviour(f"{shard}-1", 900.0)
        DyingAggregator(fleet, "other-0", after_ms)
        try:
            await fleet.gather()
        except QueryError:
            return fleet
        return fleet

    runs = run_scenario(scenario).runs()
    assert max(runs.values()) <= 2


def test_a_shard_that_failed_at_the_aggregator_is_retried_on_another_server():
    async def scenario(fleet):
        fleet.me.allow_repeats(*SHARDS)
        fleet.other.servers.behaviour["s1-0"] = CUT
        fleet.other.servers.behaviour["s1-1"] = CUT
        return fleet, await fleet.gather()

    fleet, merged = run_scenario(scenario, retry_ratio=0.1)
    assert merged.missing == 0
    (failed,) = [name for name in fleet.other.servers.asked() if name.startswith("s1")]
    (second,) = [name for name in fleet.me.servers.asked() if name.startswith("s1")]
    assert failed != second


def test_a_repeat_is_sent_only_after_it_is_reported():
    """The stream to the requesting node blocks for 30 ms when a repeat is reported."""

    async def scenario(fleet):
        fleet.allow_repeats()
        fleet.set_behaviour("s2-0", 900.0)
        fleet.set_behaviour("s2-1", 900.0)
        answer = fleet.aggregator_nodes["other-0"].answer
        reported_ms = []

        async def slow(message):
            async with aclosing(answer(message)) as answers:
                async for each in answers:
                    if isinstance(each, SubqueryRepeated):
                        await fleet.clock.sleep(30.0)
                        reported_ms.append(fleet.clock.now_ms())
                    yield each

        fleet.network.streams["other-0"] = slow
        await fleet.gather()
        calls = fleet.other.servers.calls
        return reported_ms, [at_ms for at_ms, server, _ in calls if server.startswith("s2")]

    (reported_ms,), (_, second_ms) = run_scenario(scenario)
    assert second_ms >= reported_ms


def test_a_repeat_is_sent_if_the_first_server_refuses_before_it_is_reported():
    """A hedge waits to be reported when the first call turns out not to have run."""

    async def scenario(fleet):
        fleet.allow_repeats()
        fleet.set_behaviour("s2-0", BackendRefused("full", "overload", retry_after_ms=1.0))
        answer = fleet.aggregator_nodes["other-0"].answer

        async def slow(message):
            async with aclosing(answer(message)) as answers:
                async for each in answers:
                    await fleet.clock.sleep(10.0)
                    yield each

        fleet.network.streams["other-0"] = slow
        return await fleet.gather(least_share=1.0)

    assert run_scenario(scenario).missing == 0
