"""Contract tests of the store interface, for the fake store and for the HTTP store."""

import asyncio
import random
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp import web

from auburnhollow.backing import HttpStore, InstanceList, Store
from auburnhollow.backing.store import resolve_swap
from auburnhollow.exceptions import StoreOutcomeUnknown, StoreUnavailable
from auburnhollow_standins.fake_platform import FakeStore, SharedStore
from auburnhollow_standins.instances import InstancesStandin
from auburnhollow_standins.store import StoreStandin
from auburnhollow_standins.virtual import VirtualClock, run_virtually

ENTRY = {
    "id": "s",
    "role": "server",
    "address": "10.0.0.1:80",
    "data_centre": "x",
    "state": "leaving",
    "incarnation": 3,
}


@asynccontextmanager
async def serve(app):
    """Serve an application on the loopback interface; the block gets its URL."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    try:
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


class FakeSetup:
    """Runs a case with the fake store in virtual time."""

    def run(self, case):
        async def start():
            shared = SharedStore(random.Random(1))
            self.faults = shared
            await case(FakeStore(shared, VirtualClock()), self)

        run_virtually(start())

    def lose_answers(self):
        self.faults.lose_answer_chance = 1.0

    def go_down(self):
        self.faults.is_down = True


class HttpSetup:
    """Runs a case with the HTTP store and the stand-in for the platform's store."""

    def run(self, case):
        async def start():
            standin = StoreStandin(delay_ms=0.0)
            self.faults = standin.faults
            async with serve(standin.app()) as url, aiohttp.ClientSession() as session:
                await case(HttpStore(session, url), self)

        asyncio.run(start())

    def lose_answers(self):
        self.faults.lose_answers = 1_000

    def go_down(self):
        self.faults.down = True


async def absent_keys_have_revision_zero(store, _setup):
    entry = await store.get("a")
    assert (entry.value, entry.revision) == (None, 0)


async def a_swap_requires_the_current_revision(store, _setup):
    first = await store.compare_and_swap("a", 0, b"1")
    assert first > 0
    assert await store.compare_and_swap("a", 0, b"2") is None
    second = await store.compare_and_swap("a", first, b"2")
    assert second > first
    assert await store.compare_and_swap("a", first, b"3") is None
    entry = await store.get("a")
    assert (entry.value, entry.revision) == (b"2", second)


async def one_of_many_concurrent_swaps_wins(store, _setup):
    results = await asyncio.gather(*(store.compare_and_swap("a", 0, bytes([n])) for n in range(20)))
    assert sum(result is not None for result in results) == 1


async def other_keys_are_written_in_the_same_transaction(store, _setup):
    await store.compare_and_swap("a", 0, b"1", also=[("h/1", b"x"), ("h/2", b"y")])
    assert await store.compare_and_swap("a", 0, b"2", also=[("h/3", b"z")]) is None
    found = await store.scan("h/")
    assert [(entry.key, entry.value) for entry in found] == [("h/2", b"y"), ("h/1", b"x")]
    assert [entry.key for entry in await store.scan("h/", limit=1)] == ["h/2"]


async def a_watch_reports_changes_after_its_revision(store, _setup):
    first = await store.compare_and_swap("a", 0, b"1")
    second = await store.compare_and_swap("a", first, b"2")
    changes = store.watch("a", first)
    entry = await anext(changes)
    assert (entry.value, entry.revision) == (b"2", second)
    waiting = asyncio.ensure_future(anext(changes))
    await asyncio.sleep(0.01)
    await store.compare_and_swap("a", second, b"3")
    assert (await waiting).value == b"3"
    await changes.aclose()


async def a_store_that_is_down_raises_unavailable(store, setup):
    setup.go_down()
    with pytest.raises(StoreUnavailable):
        await store.get("a")
    with pytest.raises(StoreUnavailable):
        await store.compare_and_swap("a", 0, b"1")
    with pytest.raises(StoreUnavailable):
        await anext(store.watch("a", 0))


async def a_lost_answer_raises_outcome_unknown(store, setup):
    setup.lose_answers()
    with pytest.raises(StoreOutcomeUnknown):
        await store.compare_and_swap("a", 0, b"1")
    assert (await store.get("a")).value == b"1"


CASES = [
    absent_keys_have_revision_zero,
    a_swap_requires_the_current_revision,
    one_of_many_concurrent_swaps_wins,
    other_keys_are_written_in_the_same_transaction,
    a_watch_reports_changes_after_its_revision,
    a_store_that_is_down_raises_unavailable,
    a_lost_answer_raises_outcome_unknown,
]


@pytest.mark.parametrize("setup", [FakeSetup, HttpSetup])
@pytest.mark.parametrize("case", CASES)
def test_each_store_fulfils_the_contract(setup, case):
    setup().run(case)


class ScriptedStore(Store):
    """A fake store whose swaps follow a script, one step for each swap."""

    def __init__(self, steps):
        self.steps = list(steps)
        self.fake = FakeStore(SharedStore(random.Random(1)), VirtualClock())

    async def get(self, key):
        return await self.fake.get(key)

    async def compare_and_swap(self, key, revision, value, **options):
        step = self.steps.pop(0) if self.steps else "write"
        if step == "down":
            raise StoreUnavailable("down")
        if step == "lost-call":
            raise StoreOutcomeUnknown("lost")
        if step == "other-first":
            await self.fake.compare_and_swap(key, revision, b"other")
        written = await self.fake.compare_and_swap(key, revision, value, **options)
        if step == "lost-answer":
            raise StoreOutcomeUnknown("lost")
        return written


# What happens at each swap, and the expected result.
RESOLVED = [
    (["write"], "ours"),
    (["lost-answer"], "ours"),
    (["lost-call"], "ours"),
    (["lost-call", "lost-call"], "ours"),
    (["lost-call", "lost-answer"], "ours"),
    (["lost-call", "down", "write"], "ours"),
    (["lost-call", "lost-call", "lost-call"], StoreOutcomeUnknown),
    (["lost-call", "other-first"], "other"),
    (["other-first"], "other"),
    (["down"], StoreUnavailable),
]


@pytest.mark.parametrize(("steps", "expected"), RESOLVED)
def test_a_swap_is_resolved_whichever_message_is_lost(steps, expected):
    async def run():
        store = ScriptedStore(steps)
        try:
            revision, other = await resolve_swap(store, "a", 0, b"1", lambda value: value == b"1")
        except (StoreOutcomeUnknown, StoreUnavailable) as error:
            return type(error)
        assert (revision is None) == (other is not None)
        return "ours" if other is None else "other"

    assert run_virtually(run()) == expected


def test_a_key_with_a_lease_expires():
    async def run():
        standin = StoreStandin(delay_ms=0.0)
        async with serve(standin.app()) as url, aiohttp.ClientSession() as session:
            store = HttpStore(session, url)
            await store.compare_and_swap("a", 0, b"1", lease_ms=3_600_000)
            assert (await store.get("a")).value == b"1"
            for entry in standin._entries.values():
                entry.expires_s = 0.0
            assert (await store.get("a")).revision == 0

    asyncio.run(run())


def test_an_idle_watch_ends_without_an_error():
    async def run():
        standin = StoreStandin(delay_ms=0.0)
        async with serve(standin.app()) as url, aiohttp.ClientSession() as session:
            store = HttpStore(session, url, idle_timeout_ms=200.0)
            assert [entry async for entry in store.watch("a", 0)] == []

    asyncio.run(run())


def test_a_watch_that_the_store_cancels_raises():
    async def cancel(_request):
        return web.json_response({"result": {"canceled": True, "compact_revision": "9"}})

    async def run():
        app = web.Application()
        app.router.add_post("/v3/watch", cancel)
        async with serve(app) as url, aiohttp.ClientSession() as session:
            with pytest.raises(StoreUnavailable, match="canceled"):
                await anext(HttpStore(session, url).watch("a", 3))

    asyncio.run(run())


def test_writes_share_a_lease():
    async def run():
        standin = StoreStandin(delay_ms=0.0)
        async with serve(standin.app()) as url, aiohttp.ClientSession() as session:
            store = HttpStore(session, url)
            for number in range(10):
                await store.compare_and_swap(f"k{number}", 0, b"1", lease_ms=3_600_000)
        assert standin.counts["writes"] == 11

    asyncio.run(run())


def test_the_instance_list_is_read_and_an_outage_raises():
    async def run():
        standin = InstancesStandin()
        standin.show(ENTRY)
        async with aiohttp.ClientSession() as session:
            async with serve(standin.app()) as url:
                (entry,) = await InstanceList(session, url).read()
            assert entry.to_map() == ENTRY
            with pytest.raises(StoreUnavailable):
                await InstanceList(session, url).read()

    asyncio.run(run())
