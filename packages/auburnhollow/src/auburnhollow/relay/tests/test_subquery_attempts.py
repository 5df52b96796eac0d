"""On how many servers a subquery runs a shard, whatever its node does."""

import asyncio
from contextlib import aclosing

import pytest

from auburnhollow.exceptions import BackendRefused, PeerError, QueryError
from auburnhollow.relay.subquery import SubqueryRepeated
from auburnhollow_standins.fake_servers import CUT

from .test_subquery import FAR, SHARDS, play


class Dying:
    """Takes subqueries and ends without a word after ``after_ms``."""

    def __init__(self, fleet, name, after_ms):
        self._answer = fleet.takers[name].answer
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


def test_shards_of_a_node_that_dies_are_asked_once_more():
    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in FAR:
            fleet.other.servers.behaviour[f"{shard}-0"] = 900.0
            fleet.other.servers.behaviour[f"{shard}-1"] = 900.0
        Dying(fleet, "other-0", after_ms=25.0)
        merged = await fleet.gather()
        return fleet, merged

    fleet, merged = play(scenario)
    assert merged.missing == 0
    assert set(fleet.runs().values()) <= {1, 2}


@pytest.mark.parametrize("stall_ms", [50.0, 72.0, 100.0, 250.0, 300.0])
def test_no_shard_runs_on_more_servers_than_its_attempts_when_the_node_is_slow(stall_ms):
    """The load: a node whose processor is used up when a subquery comes, and goes on later."""

    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in FAR:
            fleet.set_behaviour(f"{shard}-0", 900.0)
            fleet.set_behaviour(f"{shard}-1", 900.0)
        answer = fleet.takers["other-0"].answer

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

    assert max(play(scenario).runs().values()) <= 2


def test_a_shard_that_was_told_as_failed_is_the_askers_even_when_repeats_are_left_late():
    """The load: the packet that leaves the repeats is lost and comes 200 ms later."""

    async def scenario(fleet):
        fleet.allow_repeats()
        fleet.other.servers.behaviour.update({"s1-0": CUT, "s1-1": CUT})
        allow = fleet.takers["other-0"].allow_repeats

        async def late(message):
            await fleet.clock.sleep(200.0)
            await allow(message)

        fleet.network.handlers["other-0"] = late
        fleet.set_behaviour("s2-0", 300.0)
        fleet.set_behaviour("s2-1", 300.0)
        await asyncio.gather(fleet.gather(least_share=1.0), return_exceptions=True)
        await fleet.clock.sleep(1_000.0)
        return fleet

    assert max(play(scenario).runs().values()) <= 2


def test_each_repeat_is_told_where_a_route_allows_several():
    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in FAR:
            fleet.set_behaviour(f"{shard}-0", 900.0)
            fleet.set_behaviour(f"{shard}-1", 900.0)
        Dying(fleet, "other-0", after_ms=150.0)
        await asyncio.gather(fleet.gather(attempts=3), return_exceptions=True)
        await fleet.clock.sleep(1_000.0)
        return fleet

    assert max(play(scenario).runs().values()) <= 3


@pytest.mark.parametrize("after_ms", [10.0, 60.0, 110.0, 150.0])
def test_no_shard_runs_on_more_servers_than_its_attempts_when_the_node_dies(after_ms):
    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in ("s1", "s2"):
            fleet.set_behaviour(f"{shard}-0", 900.0)
            fleet.set_behaviour(f"{shard}-1", 900.0)
        Dying(fleet, "other-0", after_ms)
        try:
            await fleet.gather()
        except QueryError:
            return fleet
        return fleet

    runs = play(scenario).runs()
    assert max(runs.values()) <= 2


def test_a_shard_that_failed_there_is_tried_by_the_asker_on_another_server():
    async def scenario(fleet):
        fleet.me.allow_repeats(*SHARDS)
        fleet.other.servers.behaviour["s1-0"] = CUT
        fleet.other.servers.behaviour["s1-1"] = CUT
        return fleet, await fleet.gather()

    fleet, merged = play(scenario, retry_ratio=0.1)
    assert merged.missing == 0
    (failed,) = [name for name in fleet.other.servers.asked() if name.startswith("s1")]
    (second,) = [name for name in fleet.me.servers.asked() if name.startswith("s1")]
    assert failed != second


def test_a_repeat_is_sent_only_once_the_asker_has_been_told():
    """The load: the stream to the asker takes nothing for 30 ms after the first message."""

    async def scenario(fleet):
        fleet.allow_repeats()
        fleet.set_behaviour("s2-0", 900.0)
        fleet.set_behaviour("s2-1", 900.0)
        answer = fleet.takers["other-0"].answer
        told_ms = []

        async def slow(message):
            async with aclosing(answer(message)) as answers:
                async for each in answers:
                    if isinstance(each, SubqueryRepeated):
                        await fleet.clock.sleep(30.0)
                        told_ms.append(fleet.clock.now_ms())
                    yield each

        fleet.network.streams["other-0"] = slow
        await fleet.gather()
        calls = fleet.other.servers.calls
        return told_ms, [at_ms for at_ms, server, _ in calls if server.startswith("s2")]

    (told_ms,), (_, second_ms) = play(scenario)
    assert second_ms >= told_ms


def test_a_repeat_goes_out_when_the_first_server_refuses_before_it_is_told():
    """The load: a hedge is waiting to be told of as its first call turns out not to have run."""

    async def scenario(fleet):
        fleet.allow_repeats()
        fleet.set_behaviour("s2-0", BackendRefused("full", "overload", retry_after_ms=1.0))
        answer = fleet.takers["other-0"].answer

        async def slow(message):
            async with aclosing(answer(message)) as answers:
                async for each in answers:
                    await fleet.clock.sleep(10.0)
                    yield each

        fleet.network.streams["other-0"] = slow
        return await fleet.gather(least_share=1.0)

    assert play(scenario).missing == 0
