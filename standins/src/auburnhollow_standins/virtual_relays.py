"""Relay nodes with their links to each other and to backend servers, in virtual time."""

import asyncio
import random
from contextlib import asynccontextmanager

from auburnhollow.exceptions import (
    BackendCut,
    BackendDied,
    BackendLost,
    BackendUnreachable,
    QueryError,
)
from auburnhollow.follow import ConfigurationUpdate, Feed, ServerRemoval, ServerUpdate, StoreView
from auburnhollow.relay import ServerClient
from auburnhollow.routes import FrontLimits, RouteTable, Service
from auburnhollow_node.relay.node import RelayNode
from auburnhollow_node.relay.settings import build_settings

from .fake_peers import FakePeers, Network
from .fake_servers import DATA_CENTRES, REGIONS, make_answer, make_request, make_route, make_server
from .virtual import VirtualClock

# What a cut does to connections: new ones hang or are refused, open ones hang, are reset or stay.
HANG = "hang"
RESET = "reset"
REFUSE = "refuse"
CUTS = (HANG, RESET, REFUSE)

CONNECT_TIMEOUT_MS = 400.0
IDLE_TIMEOUT_MS = 4_000.0
ROUND_TRIP_MS = 4.0
SINGLE = "stock"
ONCE = "orders"
SHARDS = tuple(f"shard-{number}" for number in range(10))


class World:
    """The backend servers that all nodes share, and the links to them.

    ``cuts`` maps a node to what its cut does, ``cut_data_centres`` to the data centres that it
    can't reach besides. ``dead`` are the ids of servers that have ended. ``ran`` lists
    the pairs of server and request id of all runs, ``lost`` those whose answer a cut has lost.
    """

    def __init__(self, clock, work_ms=20.0):
        self.clock = clock
        self.work_ms = work_ms
        self.cuts = {}
        self.cut_data_centres = {}
        self.dead = set()
        self.ran = []
        self.lost = []
        self.links = {}

    def how(self, node, server):
        """Return what happens on the link of a node to a server, ``None`` if it is sound."""
        if server.data_centre in self.cut_data_centres.get(node, ()):
            return HANG
        return self.cuts.get(node)

    def cut(self, nodes, how):
        """Cut nodes off from all servers."""
        for node in nodes:
            self.cuts[node] = how
        self._wake(nodes)

    def heal(self):
        """Restore all links."""
        nodes = list(self.cuts)
        self.cuts.clear()
        self.cut_data_centres.clear()
        self._wake(nodes)

    def end(self, server):
        """End a server for good."""
        self.dead.add(server)
        self._wake(list(self.links))

    def _wake(self, nodes):
        for node in nodes:
            for changed in self.links.get(node, ()):
                if not changed.done():
                    changed.set_result(None)


class LinkedServers(ServerClient):
    """One node's connections to the servers of a :class:`World`."""

    __slots__ = ("_idle_ms", "_node", "_world")

    def __init__(self, world, node):
        self._world = world
        self._node = node
        self._idle_ms = {}

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Answer after the server's work, unless the link fails meanwhile."""
        world = self._world
        if not self._take_idle(server) and not await self.can_connect(server):
            raise BackendUnreachable(f"{server.id}: no connection")
        if on_write is not None:
            on_write()
        await self._work(server, ROUND_TRIP_MS / 2)
        run = (server.id, request.id)
        world.ran.append(run)
        try:
            await self._work(server, world.work_ms)
            await self._work(server, ROUND_TRIP_MS / 2)
        except BaseException:
            if world.how(self._node, server) is not None:
                world.lost.append(run)
            raise
        if keep_alive:
            self._idle_ms[server.id] = world.clock.now_ms()
        return make_answer(server)

    async def can_connect(self, server):
        """Return whether a new connection comes about."""
        how = self._world.how(self._node, server)
        if server.id in self._world.dead or how in (RESET, REFUSE):
            await self._world.clock.sleep(ROUND_TRIP_MS / 2)
            return False
        if how == HANG:
            await self._world.clock.sleep(CONNECT_TIMEOUT_MS)
            return False
        await self._world.clock.sleep(ROUND_TRIP_MS)
        return True

    def _take_idle(self, server):
        idle_since_ms = self._idle_ms.pop(server.id, None)
        if idle_since_ms is None or self._world.how(self._node, server) == RESET:
            return False
        return self._world.clock.now_ms() - idle_since_ms < IDLE_TIMEOUT_MS

    async def _work(self, server, duration_ms):
        """Wait, and fail as an open connection does when its link or server does."""
        world = self._world
        until_ms = world.clock.now_ms() + duration_ms
        links = world.links.setdefault(self._node, set())
        while True:
            how = world.how(self._node, server)
            if server.id in world.dead:
                raise BackendDied(f"{server.id}: died")
            if how == RESET:
                raise BackendDied(f"{server.id}: reset, new connection refused")
            left_ms = until_ms - world.clock.now_ms()
            if left_ms <= 0 and how != HANG:
                return
            changed = asyncio.get_running_loop().create_future()
            links.add(changed)
            try:
                async with world.clock.timeout(left_ms if how != HANG else 60_000.0):
                    await changed
            except TimeoutError:
                if how == HANG:
                    raise BackendLost(f"{server.id}: no answer") from None
            finally:
                links.discard(changed)
            if how == HANG and world.how(self._node, server) is None:
                raise BackendCut(f"{server.id}: lost in the cut")


class StoreContent:
    """The content of the store, as updates; revisions count the updates since the start.

    ``deaf`` are the nodes whose watches hear nothing and end with the newest revision.
    """

    def __init__(self, updates):
        self.first = updates
        self.later = []
        self.deaf = set()


class ContentFeed(Feed):
    """One node's view of a :class:`StoreContent`."""

    __slots__ = ("_clock", "_content", "_node")

    def __init__(self, clock, content, node):
        self._clock = clock
        self._content = content
        self._node = node

    async def read(self):
        """Return the whole content."""
        await self._clock.sleep(4.0)
        content = self._content
        updates = _without_removed(content.first + content.later)
        return StoreView(updates=updates, revision=1 + len(content.later))

    async def changes(self, revision, wait_ms):
        """Return the changes after ``revision``, waiting up to ``wait_ms`` for the first."""
        content = self._content
        is_deaf = self._node in content.deaf
        until_ms = self._clock.now_ms() + wait_ms
        while self._clock.now_ms() < until_ms and (is_deaf or len(content.later) < revision):
            await self._clock.sleep(min(20.0, wait_ms))
        updates = [] if is_deaf else content.later[revision - 1 :]
        return StoreView(updates=updates, revision=1 + len(content.later))

    async def undelivered_configuration(self):
        """Return the newest configuration, whether it was delivered or not."""
        await self._clock.sleep(4.0)
        updates = self._content.first[:1] + self._content.later
        for number, update in reversed(list(enumerate(updates))):
            if isinstance(update, ConfigurationUpdate):
                return ConfigurationUpdate(table=update.table, position=1 + number)
        return None


def _without_removed(updates):
    """Return the updates that make up the store's content once they have all been applied."""
    kept = []
    for update in updates:
        if not isinstance(update, ServerRemoval):
            kept.append(update)
            continue
        kept = [
            each
            for each in kept
            if not isinstance(each, ServerUpdate) or each.server.id != update.id
        ]
    return kept


class RelayFleet:
    """Relay nodes on simulated links.

    :param count: number of nodes, spread over the data centres.
    """

    def __init__(self, count=7, seed=1, work_ms=20.0):
        self.clock = VirtualClock()
        self.network = Network(random.Random(seed), delay_ms=4.0)
        self.world = World(self.clock, work_ms)
        self.content = StoreContent(_make_updates())
        self.nodes = {}
        self._seed = seed
        self._names = [f"node-{number}" for number in range(count)]

    async def start(self):
        """Start all nodes and wait until they know each other."""
        for number, name in enumerate(self._names):
            await self.add(name, DATA_CENTRES[number % len(DATA_CENTRES)])
        await self.clock.sleep(4_000)

    async def add(self, name, data_centre):
        """Start one node."""
        document = {
            "id": name,
            "adapter": "none",
            "data_centre": data_centre,
            "regions": REGIONS,
            "front": "front:1",
            "ready": "ready:1",
            "peer": f"{name}:1",
            "seeds": [f"{self._names[0]}:1", f"{self._names[1]}:1"],
            "store": "store:1",
            "retry_ratio": 0.2,
            "retry_slack": 54,
            "seed": self._seed * 1_000 + len(self.nodes),
        }
        node = RelayNode(
            build_settings(document),
            ContentFeed(self.clock, self.content, name),
            LinkedServers(self.world, name),
            clock=self.clock,
            peers=FakePeers(self.network, f"{name}:1", self.clock),
        )
        self.network.handlers[f"{name}:1"] = node.peer_server.handle
        self.network.streams[f"{name}:1"] = node.peer_server.answers
        self.nodes[name] = node
        await node.start()
        node.join_fleet()

    async def stop(self):
        """Stop all nodes."""
        for node in self.nodes.values():
            await node.stop()

    async def send(self, node, path, number):
        """Send a request to a node and return its answer, or its error."""
        request = make_request(
            self.clock, f"{node}/{number}", remaining_ms=1_500.0, target=f"{path}{number}"
        )
        try:
            return await self.nodes[node].handle(request)
        except QueryError as error:
            error.request = request.id
            return error


@asynccontextmanager
async def running_relays(**options):
    """Run a :class:`RelayFleet` as a context manager."""
    fleet = RelayFleet(**options)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()


def _make_updates():
    table = RouteTable(
        1,
        [
            make_route(
                SHARDS, name="search", prefix="/search/", objective_ms=300.0, time_limit_ms=1_500.0
            ),
            make_route((SINGLE,), name=SINGLE, prefix="/stock/", objective_ms=300.0),
            make_route((ONCE,), name=ONCE, prefix="/orders/", objective_ms=300.0, repeatable=False),
        ],
        [Service(name=name, connections=100) for name in (*SHARDS, SINGLE, ONCE)],
        FrontLimits(header_bytes=8_192, body_bytes=65_536, header_ms=5_000, idle_ms=30_000),
    )
    updates = [ConfigurationUpdate(table=table)]
    for service in (*SHARDS, SINGLE, ONCE):
        copies = 1 if service in SHARDS else 3
        for number in range(len(DATA_CENTRES) * copies):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            server = make_server(f"{service}-{number}", service, data_centre)
            updates.append(ServerUpdate(server=server))
    return updates


__all__ = [
    "CUTS",
    "HANG",
    "ONCE",
    "REFUSE",
    "RESET",
    "SHARDS",
    "SINGLE",
    "LinkedServers",
    "RelayFleet",
    "World",
    "running_relays",
]
