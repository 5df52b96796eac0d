"""Following the store through a few nodes."""

import asyncio
import random

import pytest

from auburnhollow.exceptions import PeerError, StoreUnavailable
from auburnhollow.follow import (
    ChangeServer,
    ConfigurationUpdate,
    Feed,
    Follower,
    ServerUpdate,
    SharedFeed,
    StateExchange,
    StoreView,
)
from auburnhollow.follow.follower import WAIT_MS
from auburnhollow.follow.messages import (
    ChangesAsk,
    KnownAsk,
)
from auburnhollow.follow.sharing import MAX_DIRECT_NODES, WATCHER_WAIT_MS, WATCHERS
from auburnhollow.membership import ALIVE, Member
from auburnhollow.metrics import Metrics
from auburnhollow.peers import Peers, PeerServer
from auburnhollow.peers.codec import Failure
from auburnhollow.routes import Branch, FrontLimits, RouteTable, Service
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.fake_servers import a_route, a_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

LIMITS = FrontLimits(header_bytes=1, body_bytes=2, header_ms=3, idle_ms=4)


def a_table(version):
    routes = [
        a_route(("a", "b"), name="all"),
        a_route(name="split", branches=(Branch(service="a", weight=1),)),
    ]
    return RouteTable(version, routes, [Service(name="a", connections=9)], LIMITS)


class Store(Feed):
    """A store in memory that counts its calls."""

    def __init__(self, clock):
        self.clock = clock
        self.updates = [ConfigurationUpdate(table=a_table(1))]
        self.calls = 0
        self.refused = set()

    def client(self, name):
        return StoreClient(self, name)

    async def read(self, name):
        await self._call(name)
        return StoreView(updates=list(self.updates), revision=len(self.updates))

    async def changes(self, name, revision, wait_ms):
        await self._call(name)
        until_ms = self.clock.now_ms() + wait_ms
        while len(self.updates) == revision and self.clock.now_ms() < until_ms:
            await self.clock.sleep(20)
            if name in self.refused:
                await self.clock.sleep(10_000)
        found = self.updates[revision:]
        return StoreView(updates=found, revision=len(self.updates))

    async def _call(self, name):
        self.calls += 1
        await self.clock.sleep(4)
        if name in self.refused:
            raise StoreUnavailable("refused")


class StoreClient(Feed):
    def __init__(self, store, name):
        self.store = store
        self.name = name

    async def read(self):
        return await self.store.read(self.name)

    async def changes(self, revision, wait_ms):
        try:
            async with asyncio.timeout((wait_ms + 1_000) / 1000):
                return await self.store.changes(self.name, revision, wait_ms)
        except TimeoutError:
            raise StoreUnavailable("silent") from None


class Wires(Peers):
    """Carries messages to the peer servers of a fleet; those in ``cut`` do not answer."""

    def __init__(self, clock):
        self.clock = clock
        self.servers = {}
        self.cut = set()
        self.asked = []

    async def ask(self, address, message, timeout_ms):
        self.asked.append(address)
        try:
            async with self.clock.timeout(timeout_ms):
                await self.clock.sleep(5)
                if address in self.cut:
                    await self.clock.sleep(60_000)
                answer = await self.servers[address].handle(message)
        except TimeoutError:
            raise PeerError("silent") from None
        if isinstance(answer, Failure):
            raise PeerError(answer.text)
        return answer


class Members:
    """A membership in which all nodes are known."""

    def __init__(self, names, me, centres):
        self.members = {}
        for number, name in enumerate(names):
            self.members[name] = member(name, f"centre-{number % centres}")
        self.me = self.members[me]

    def answering(self):
        return tuple(self.members)


def member(name, data_centre):
    return Member(
        id=name,
        address=name,
        data_centre=data_centre,
        state=ALIVE,
        incarnation=1,
        revision=0,
        ready=True,
    )


class Fleet:
    """Followers of one store."""

    def __init__(self, count, seed=1, centres=1):
        self.clock = VirtualClock()
        self.store = Store(self.clock)
        self.wires = Wires(self.clock)
        self.followers = {}
        self.centres = {}
        self.feeds = {}
        self.tasks = []
        names = [f"node-{number}" for number in range(count)]
        for name in names:
            rng = random.Random(f"{seed}{name}")
            members = Members(names, name, centres)
            self.centres[name] = members.me.data_centre
            feed = SharedFeed(StoreClient(self.store, name), self.wires, members, self.clock, rng)
            follower = Follower(feed, ServerRegistry(self.clock), self.clock, rng)
            server = PeerServer(Metrics())
            server.on(ChangesAsk, ChangeServer(follower, feed, self.clock).answer)
            state_exchange = StateExchange(follower, self.wires, lambda: (), rng)
            server.on(KnownAsk, state_exchange.answer)
            self.wires.servers[name] = server
            self.followers[name] = follower
            self.feeds[name] = feed

    def start(self):
        for follower in self.followers.values():
            self.tasks.append(asyncio.create_task(follower.run()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def watchers(self):
        return [name for name, feed in self.feeds.items() if feed.is_direct]

    def behind(self, version):
        found = []
        for name, follower in self.followers.items():
            if follower.routes is None or follower.routes.version < version:
                found.append(name)
        return found


def play(count, scenario, centres=1):
    async def run():
        fleet = Fleet(count, centres=centres)
        fleet.start()
        await fleet.clock.sleep(8_000)
        try:
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return run_virtually(run())


def test_a_small_fleet_asks_the_store_itself():
    async def scenario(fleet):
        return len(fleet.watchers())

    assert play(MAX_DIRECT_NODES, scenario) == MAX_DIRECT_NODES


@pytest.mark.parametrize("count", [20, 65])
def test_calls_of_the_store_do_not_grow_with_the_fleet(count):
    async def scenario(fleet):
        before = fleet.store.calls
        await fleet.clock.sleep(60_000)
        return len(fleet.watchers()), fleet.store.calls - before

    watchers, calls = play(count, scenario)
    assert watchers == WATCHERS
    assert calls <= WATCHERS * 55


@pytest.mark.parametrize("centres", [2, 3, 6])
def test_each_data_centre_has_a_watcher_that_its_nodes_ask(centres):
    async def scenario(fleet):
        del fleet.wires.asked[:]
        await fleet.clock.sleep(10_000)
        return {fleet.centres[name] for name in fleet.watchers()}, len(fleet.watchers()), fleet

    found, count, fleet = play(66, scenario, centres)
    assert len(found) == centres
    assert WATCHERS <= count <= WATCHERS + centres
    for name, feed in fleet.feeds.items():
        if feed.is_direct:
            continue
        (first, *_others) = feed._watchers()
        assert fleet.centres[first] == fleet.centres[name]


def test_a_data_centre_whose_watcher_is_cut_learns_from_others_in_time():
    async def scenario(fleet):
        (watcher,) = [n for n in fleet.watchers() if fleet.centres[n] == "centre-0"]
        fleet.wires.cut.add(watcher)
        fleet.store.updates.append(ConfigurationUpdate(table=a_table(9)))
        await fleet.clock.sleep(3_000)
        return [name for name in fleet.behind(9) if name != watcher]

    assert play(66, scenario, centres=6) == []


def test_a_change_is_everywhere_within_a_second():
    async def scenario(fleet):
        fleet.store.updates.append(ConfigurationUpdate(table=a_table(9)))
        fleet.store.updates.append(ServerUpdate(server=a_server("i-1")))
        await fleet.clock.sleep(1_000)
        servers = [len(follower.registry) for follower in fleet.followers.values()]
        return fleet.behind(9), servers

    behind, servers = play(40, scenario)
    assert behind == []
    assert set(servers) == {1}


@pytest.mark.parametrize("fault", ["deaf to the store", "silent to the nodes"])
@pytest.mark.parametrize("count", [1, 2, 4])
def test_a_change_is_everywhere_in_time_when_watchers_are_cut(fault, count):
    """The bound is 3 s from the change for nodes that reach the store and other nodes."""

    async def scenario(fleet):
        cut = fleet.watchers()[:count]
        if fault == "deaf to the store":
            fleet.store.refused.update(cut)
        else:
            fleet.wires.cut.update(cut)
        await fleet.clock.sleep(30)
        fleet.store.updates.append(ConfigurationUpdate(table=a_table(9)))
        await fleet.clock.sleep(3_000)
        return [name for name in fleet.behind(9) if name not in cut]

    assert play(30, scenario) == []


def test_an_outage_of_the_store_costs_few_calls_and_ends_everywhere():
    async def scenario(fleet):
        fleet.store.refused.update(fleet.followers)
        before = fleet.store.calls
        await fleet.clock.sleep(10_000)
        calls = fleet.store.calls - before
        fleet.store.refused.clear()
        fleet.store.updates.append(ConfigurationUpdate(table=a_table(9)))
        await fleet.clock.sleep(4_000)
        return calls, fleet.behind(9)

    calls, behind = play(40, scenario)
    assert calls <= 40 * 8
    assert behind == []


@pytest.mark.parametrize("count", [1, 7])
def test_in_a_small_fleet_one_node_finds_soon_that_its_watch_is_silent(count):
    async def scenario(fleet):
        before = fleet.store.calls
        await fleet.clock.sleep(30_000)
        return fleet.store.calls - before

    calls = play(count, scenario)
    often = 30_000 / WATCHER_WAIT_MS
    seldom = (count - 1) * 30_000 / WAIT_MS
    assert 0.8 * often + seldom * 0.8 <= calls <= often + seldom + count
