"""Following the store through outages, lost history and old versions."""

import asyncio
import math
import random

from auburnhollow.exceptions import StoreUnavailable
from auburnhollow.follow import (
    ConfigurationUpdate,
    Feed,
    Follower,
    HistoryLost,
    ServerRemoval,
    ServerUpdate,
    StoreView,
    UnreadableEntry,
)
from auburnhollow.follow.follower import HEARD_MS
from auburnhollow.routes import FrontLimits, RouteTable
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.fake_servers import a_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

LIMITS = FrontLimits(header_bytes=1, body_bytes=1, header_ms=1, idle_ms=1)
DOWN = StoreUnavailable("down")
LOST = HistoryLost("gone")


def version(number):
    return ConfigurationUpdate(table=RouteTable(number, [], [], LIMITS))


class ScriptedFeed(Feed):
    """Gives what a script says, one entry a call, then nothing new for ever."""

    def __init__(self, clock, *script):
        self.clock = clock
        self.script = list(script)
        self.calls = []
        self.revision = 0

    async def read(self):
        return await self._next("read")

    async def changes(self, revision, wait_ms):
        return await self._next("changes", wait_ms)

    async def _next(self, call, wait_ms=4.0):
        self.calls.append((self.clock.now_ms(), call))
        await self.clock.sleep(4)
        if not self.script:
            await self.clock.sleep(wait_ms)
            return StoreView(updates=[], revision=self.revision)
        entry = self.script.pop(0)
        if isinstance(entry, Exception):
            raise entry
        self.revision += 1
        return StoreView(updates=entry, revision=self.revision)


def follow(*script, for_ms=20_000.0):
    async def play():
        clock = VirtualClock()
        feed = ScriptedFeed(clock, *script)
        follower = Follower(feed, ServerRegistry(clock), clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await clock.sleep(for_ms)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return follower, feed, [server.id for server in follower.registry.usable("search")]

    return run_virtually(play())


def test_the_newest_version_is_in_force_and_none_reverts():
    follower, _, _ = follow([version(4)], [version(9)], [version(7)], [version(9)])
    assert follower.routes.version == 9


def test_a_read_after_lost_history_brings_no_older_version():
    follower, feed, _ = follow([version(4)], [version(9)], LOST, [version(4)])
    assert follower.routes.version == 9
    assert [call for _, call in feed.calls[:4]] == ["read", "changes", "changes", "read"]


def test_a_removal_that_no_event_told_is_found():
    _, _, usable = follow(
        [ServerUpdate(server=a_server("a")), ServerUpdate(server=a_server("b"))],
        LOST,
        [ServerUpdate(server=a_server("b"))],
    )
    assert usable == ["b"]


def test_changes_are_asked_again_from_where_they_ended():
    seen = [ServerUpdate(server=a_server("a"))]
    _, feed, usable = follow(seen, DOWN, DOWN, [ServerUpdate(server=a_server("b"))])
    assert [call for _, call in feed.calls[:4]] == ["read", "changes", "changes", "changes"]
    assert usable == ["a", "b"]


def test_an_unreachable_store_is_asked_with_pauses():
    _, feed, _ = follow(*([DOWN] * 200), for_ms=10_000.0)
    assert len(feed.calls) <= 40
    assert len(feed.calls) >= 10


def test_a_quiet_store_costs_a_call_every_few_seconds():
    _, feed, _ = follow([], for_ms=30_000.0)
    assert len(feed.calls) <= 8


def test_changes_that_come_together_cost_few_calls():
    """Forty servers that start within two seconds."""

    async def play():
        clock = VirtualClock()
        calls = []

        class Starting(Feed):
            async def read(self):
                return StoreView(updates=[], revision=0)

            async def changes(self, revision, wait_ms):
                calls.append(clock.now_ms())
                if revision >= 40:
                    await clock.sleep(wait_ms)
                    return StoreView(updates=[], revision=revision)
                await clock.sleep(max(0.0, (revision + 1) * 50.0 - clock.now_ms()))
                seen = range(revision, max(revision + 1, min(40, int(clock.now_ms() / 50.0))))
                updates = [ServerUpdate(server=a_server(f"i-{number}")) for number in seen]
                return StoreView(updates=updates, revision=seen.stop)

        registry = ServerRegistry(clock)
        follower = Follower(Starting(), registry, clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await clock.sleep(2_500.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return len(calls), len(registry)

    calls, servers = run_virtually(play())
    assert servers == 40
    assert calls <= 10


def test_entries_that_cannot_be_read_name_nothing():
    follower, _, usable = follow(
        [UnreadableEntry(key="k", reason="x"), ServerUpdate(server=a_server("a"))],
        [UnreadableEntry(key="k", reason="x"), ServerRemoval(id="unknown")],
    )
    assert usable == ["a"]
    assert follower.is_reachable


def test_a_lapse_during_an_outage_ends_no_server_that_comes_back():
    _, _, usable = follow(
        [ServerUpdate(server=a_server("a"))],
        DOWN,
        [ServerRemoval(id="a")],
        [ServerUpdate(server=a_server("a", sequence=2))],
    )
    assert usable == ["a"]


class SilentFeed(ScriptedFeed):
    """Tells of the next changes only to a watch that is asked for after they were made."""

    def __init__(self, clock, *script):
        super().__init__(clock, *script)
        self.changed_ms = math.inf

    async def changes(self, revision, wait_ms):
        asked_ms = self.clock.now_ms()
        self.calls.append((asked_ms, "changes"))
        if asked_ms < self.changed_ms:
            await self.clock.sleep(wait_ms + 1_000.0)
            raise StoreUnavailable("silent")
        if self.revision == revision:
            await self.clock.sleep(wait_ms)
        return StoreView(updates=[version(9)], revision=self.revision)


def test_a_silent_watch_is_ended_by_what_another_node_has_heard():
    async def play():
        clock = VirtualClock()
        feed = SilentFeed(clock, [version(4)])
        follower = Follower(feed, ServerRegistry(clock), clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await clock.sleep(1_000.0)
        feed.changed_ms = clock.now_ms()
        feed.revision += 1
        follower.hear(feed.revision)
        await clock.sleep(HEARD_MS + 20.0)
        found = follower.routes.version, follower.is_reachable
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return found, task.cancelled()

    assert run_virtually(play()) == ((9, True), True)


def test_news_of_what_is_known_ends_no_watch():
    async def play():
        clock = VirtualClock()
        feed = ScriptedFeed(clock, [version(4)], [version(9)])
        follower = Follower(feed, ServerRegistry(clock), clock, random.Random(1))
        told = []
        follower.tell = told.append
        task = asyncio.create_task(follower.run())
        follower.hear(7)
        await clock.sleep(1_000.0)
        before = len(feed.calls)
        for revision in (1, 2):
            follower.hear(revision)
        await clock.sleep(1_000.0)
        after = len(feed.calls)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return told, after - before

    assert run_virtually(play()) == ([1, 2], 0)


def test_a_follower_ends_that_is_cancelled_as_its_watch_is_found_silent():
    async def play():
        clock = VirtualClock()
        feed = SilentFeed(clock, [version(4)])
        follower = Follower(feed, ServerRegistry(clock), clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await clock.sleep(1_000.0)
        follower._end_silent(feed.revision + 1)
        task.cancel()
        await clock.sleep(50.0)
        return task.cancelled()

    assert run_virtually(play())
