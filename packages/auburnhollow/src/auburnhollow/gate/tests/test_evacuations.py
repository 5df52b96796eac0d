"""Evacuations on their way from the store, directly and through other nodes."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from auburnhollow.exceptions import StoreUnavailable
from auburnhollow.follow import (
    EvacuationEnd,
    EvacuationUpdate,
    Feed,
    Follower,
    HistoryLost,
    StateExchange,
    StoreView,
)
from auburnhollow.follow.messages import StateAnswer, StateAsk, pack_update, unpack_update
from auburnhollow.gate import Evacuations
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.virtual import VirtualClock, run_virtually


class ScriptedFeed(Feed):
    """Returns or raises one scripted item per call, then nothing new."""

    def __init__(self, clock, script):
        self.clock = clock
        self.script = list(script)

    async def read(self):
        return await self._next(0, 0.0)

    async def changes(self, revision, wait_ms):
        return await self._next(revision, wait_ms)

    async def _next(self, revision, wait_ms):
        await self.clock.sleep(4)
        if not self.script:
            await self.clock.sleep(wait_ms)
            return StoreView(updates=[], revision=revision)
        entry = self.script.pop(0)
        if isinstance(entry, Exception):
            raise entry
        return entry


def view(revision, *updates, **fields):
    return StoreView(updates=list(updates), revision=revision, **fields)


def begin(revision, data_centre="cluj"):
    return EvacuationUpdate(data_centre=data_centre, revision=revision)


def end(revision, data_centre="cluj"):
    return EvacuationEnd(data_centre=data_centre, revision=revision)


def new_follower(clock, *script):
    return Follower(ScriptedFeed(clock, script), ServerRegistry(clock), clock, random.Random(1))


def run_follower(*script, for_ms=3_000.0):
    async def run():
        clock = VirtualClock()
        follower = new_follower(clock, *script)
        task = asyncio.create_task(follower.run())
        await clock.sleep(for_ms)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return set(follower.evacuations.active)

    return run_virtually(run())


def test_an_evacuation_and_its_end_are_followed():
    assert run_follower(view(3), view(5, begin(5))) == {"cluj"}
    assert run_follower(view(3), view(5, begin(5)), view(6, end(6))) == set()


def test_a_restarted_node_reads_the_evacuations():
    assert run_follower(view(9, begin(5), begin(7, "iasi"))) == {"cluj", "iasi"}


def test_an_entry_and_its_end_in_one_batch():
    assert run_follower(view(3), view(6, begin(5), end(6))) == set()
    assert run_follower(view(3), view(7, begin(5), end(6), begin(7))) == {"cluj"}


def test_an_evacuation_that_a_new_read_does_not_list_has_ended():
    lost = HistoryLost("gone")
    assert run_follower(view(3), view(5, begin(5)), lost, view(9)) == set()


def test_an_evacuation_newer_than_a_read_without_it_stays():
    assert run_follower(view(3), view(9, begin(9)), HistoryLost("gone"), view(8)) == {"cluj"}


def test_a_read_through_a_node_that_knows_of_no_evacuations_ends_none():
    lost = HistoryLost("gone")
    old = view(9, has_evacuations=False)
    assert run_follower(view(3), view(5, begin(5)), lost, old) == {"cluj"}


def test_an_evacuation_stays_in_force_while_the_store_is_away():
    downs = [StoreUnavailable("down")] * 20
    assert run_follower(view(3), view(5, begin(5)), *downs) == {"cluj"}


class SinglePeer:
    def __init__(self):
        self.other = None

    async def ask(self, _address, message, _timeout_ms):
        assert StateAsk.from_list(message.to_short_list()) == message
        answer = await self.other.answer(message)
        return StateAnswer.from_list(answer.to_short_list())


@pytest.mark.parametrize(
    ("known", "told", "expected"),
    [
        ([], [begin(5)], {"cluj"}),
        ([begin(5), end(6)], [begin(5)], set()),
        ([begin(5)], [begin(5), end(6)], set()),
        ([begin(5), end(6)], [begin(7)], {"cluj"}),
        ([begin(5, "iasi")], [begin(6)], {"cluj", "iasi"}),
    ],
    ids=["learns", "stale peer", "ends", "again", "two data centres"],
)
def test_a_node_without_the_store_learns_from_peers_by_revision(known, told, expected):
    async def run():
        clock = VirtualClock()
        mine = new_follower(clock, view(3), view(6, *known))
        other = new_follower(clock, view(3), view(7, *told))
        for follower in (mine, other):
            await follower.step()
            await follower.step()
        peers = SinglePeer()
        peers.other = StateExchange(other, SinglePeer(), lambda: (), random.Random(2), clock)
        exchange = StateExchange(mine, peers, lambda: ["other"], random.Random(3), clock)
        await exchange.ask()
        return set(mine.evacuations.active)

    assert run_virtually(run()) == expected


def test_updates_are_passed_between_nodes():
    for update in (begin(5), end(6)):
        assert unpack_update(pack_update(update)) == update


def test_messages_without_evacuations_are_those_of_earlier_builds():
    answer = StateAnswer(revision=1, age_ms=2, table=None, servers=None)
    assert answer.to_short_list() == [1, 2, None, None]
    assert StateAsk(version=1, revision=2).to_short_list() == [1, 2]


@given(st.lists(st.tuples(st.integers(1, 30), st.sampled_from(["cluj", "iasi"])), max_size=20))
def test_the_newest_revision_wins_in_any_order(facts):
    async def run():
        evacuations = Evacuations(VirtualClock())
        newest = {}
        for revision, data_centre in facts:
            newest[data_centre] = max(revision, newest.get(data_centre, 0))
            evacuations.apply(data_centre, revision, revision % 2 == 0, "peer")
        assert evacuations.active == {name for name in newest if newest[name] % 2 == 0}

    run_virtually(run())
