"""Comparison of the configuration in force with the store's."""

import asyncio
import random

import pytest

from auburnhollow.exceptions import StoreUnavailable
from auburnhollow.follow import (
    ConfigurationUpdate,
    Feed,
    Follower,
    ServerUpdate,
    SharedFeed,
    StoreComparison,
    StoreView,
)
from auburnhollow.follow.comparison import INTERVAL_MS, JITTER
from auburnhollow.follow.sharing import MAX_DIRECT_NODES
from auburnhollow.metrics import Metrics
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.fake_servers import make_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

from .test_sharing import FakeMembership, make_table

LONGEST_MS = INTERVAL_MS * (1 + JITTER)


class DeafFeed(Feed):
    """A store whose watches are silent, end at ``revision``, and deliver ``delivered`` once."""

    def __init__(self, clock):
        self.clock = clock
        self.newest = ConfigurationUpdate(table=make_table(1), position=1)
        self.servers = []
        self.revision = 1
        self.delivered = []
        self.reads = 0
        self.compared = 0
        self.is_down = False
        self.refused = 0
        self.read_ms = 0.0

    async def read(self):
        self.reads += 1
        revision = self.revision
        await self.clock.sleep(self.read_ms)
        if self.refused:
            self.refused -= 1
            raise StoreUnavailable("too many calls")
        updates = [ConfigurationUpdate(table=self.newest.table)]
        updates += [ServerUpdate(server=make_server(name)) for name in self.servers]
        return StoreView(updates=updates, revision=revision)

    async def undelivered_configuration(self):
        self.compared += 1
        if self.is_down:
            raise StoreUnavailable("down")
        return self.newest

    async def changes(self, revision, wait_ms):
        await self.clock.sleep(wait_ms)
        updates, self.delivered = self.delivered, []
        return StoreView(updates=updates, revision=max(revision, self.revision))


def play(scenario):
    """Run a scenario beside a follower and its comparison, which have run for a second."""

    async def run():
        clock = VirtualClock()
        feed = DeafFeed(clock)
        follower = Follower(feed, ServerRegistry(clock), clock, random.Random(1))
        told = []
        follower.on_version = lambda version, position: told.append((version, position))
        comparison = StoreComparison(follower, feed, clock, random.Random(2), Metrics())
        tasks = [asyncio.create_task(each.run()) for each in (follower, comparison)]
        await clock.sleep(1_000)
        try:
            return await scenario(feed, follower, told)
        finally:
            for task in tasks:
                task.cancel()

    return run_virtually(run())


def test_a_configuration_that_the_watch_has_passed_over_is_in_force_and_told_of():
    async def scenario(feed, follower, told):
        feed.newest = ConfigurationUpdate(table=make_table(5), position=1)
        await feed.clock.sleep(LONGEST_MS)
        return follower.routes.version, told[-1]

    assert play(scenario) == (5, (5, 1))


def test_servers_that_a_watch_missed_beside_a_configuration_are_known():
    async def scenario(feed, follower, _told):
        feed.newest = ConfigurationUpdate(table=make_table(5), position=1)
        feed.servers = ["missed"]
        await feed.clock.sleep(3 * LONGEST_MS)
        return [server.id for server in follower.registry.servers], feed.reads

    assert play(scenario) == (["missed"], 2)


def test_servers_that_a_watch_missed_are_known_where_another_node_told_of_the_configuration():
    async def scenario(feed, follower, _told):
        feed.newest = ConfigurationUpdate(table=make_table(5), position=1)
        feed.servers = ["missed"]
        follower.apply_routes(make_table(5), through="10.0.0.1:1")
        await feed.clock.sleep(3 * LONGEST_MS)
        return [server.id for server in follower.registry.servers]

    assert play(scenario) == ["missed"]


def test_a_store_that_refuses_to_be_read_again_is_asked_later():
    async def scenario(feed, follower, _told):
        feed.newest = ConfigurationUpdate(table=make_table(5), position=1)
        feed.servers = ["missed"]
        feed.refused = 1
        await feed.clock.sleep(6 * LONGEST_MS)
        return [server.id for server in follower.registry.servers], feed.reads

    assert play(scenario) == (["missed"], 3)


def test_a_version_that_only_other_nodes_know_is_looked_for_once():
    async def scenario(feed, follower, _told):
        follower.apply_routes(make_table(5), through="10.0.0.1:1")
        await feed.clock.sleep(12 * LONGEST_MS)
        return follower.routes.version, feed.reads

    assert play(scenario) == (5, 2)


def test_a_position_that_another_node_tells_of_during_a_read_is_no_return_of_the_store(caplog):
    async def scenario(feed, follower, _told):
        feed.read_ms = 100.0
        follower.read_again()
        await feed.clock.sleep(20)
        feed.revision = 2
        follower.learn_servers([], feed.revision)
        await feed.clock.sleep(200)
        return feed.reads

    assert play(scenario) == 2
    assert "store came back from a copy" not in caplog.text


def test_a_watch_that_delivers_a_little_later_than_the_comparison_is_not_read_again():
    async def scenario(feed, follower, _told):
        feed.newest = ConfigurationUpdate(table=make_table(5), position=2)
        feed.revision = 2
        feed.delivered = [ConfigurationUpdate(table=feed.newest.table)]
        await feed.clock.sleep(4 * LONGEST_MS)
        return follower.routes.version, feed.reads

    assert play(scenario) == (5, 1)


def test_a_watch_that_never_reaches_a_configuration_is_read_again():
    async def scenario(feed, follower, _told):
        feed.newest = ConfigurationUpdate(table=make_table(5), position=2)
        await feed.clock.sleep(6 * LONGEST_MS)
        return follower.routes.version, feed.reads

    assert play(scenario) == (5, 2)


def test_a_store_with_an_older_configuration_changes_nothing():
    async def scenario(feed, follower, _told):
        feed.newest = ConfigurationUpdate(table=make_table(0), position=9)
        await feed.clock.sleep(4 * LONGEST_MS)
        return follower.routes.version, feed.reads

    assert play(scenario) == (1, 1)


def test_a_store_that_does_not_answer_is_compared_again():
    async def scenario(feed, follower, _told):
        feed.newest = ConfigurationUpdate(table=make_table(5), position=1)
        feed.is_down = True
        await feed.clock.sleep(3 * LONGEST_MS)
        before = follower.routes.version
        feed.is_down = False
        await feed.clock.sleep(LONGEST_MS)
        return before, follower.routes.version

    assert play(scenario) == (1, 5)


@pytest.mark.parametrize(
    "count, expected", [(1, 1), (MAX_DIRECT_NODES, 3.75), (60, 7.75), (122, 8)]
)
def test_few_nodes_compare_however_many_of_them_ask_the_store(count, expected):
    times = 200

    async def run():
        clock = VirtualClock()
        names = [f"node-{number}" for number in range(count)]
        compared = []
        for number, name in enumerate(names):
            store = DeafFeed(clock)
            members = FakeMembership(names, name, 5)
            feed = SharedFeed(store, None, members, clock, random.Random(number))
            for _ in range(times):
                await feed.undelivered_configuration()
            compared.append(store.compared)
        return compared

    compared = run_virtually(run())
    assert sum(compared) / times == pytest.approx(expected, rel=0.1)
    assert min(compared) > 0
    assert max(compared) == times
