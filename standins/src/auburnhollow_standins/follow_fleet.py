"""Nodes that follow one store, killed, started, frozen and cut off in virtual time."""

import asyncio
import math
import random

from auburnhollow.exceptions import PeerError, PeerRefused, PeerUnreachable, StoreUnavailable
from auburnhollow.follow import (
    ChangeServer,
    ConfigurationUpdate,
    Feed,
    Follower,
    SharedFeed,
    StateExchange,
    StoreView,
)
from auburnhollow.follow.messages import ChangesAsk, StateAsk
from auburnhollow.follow.revision_gossip import RevisionGossip
from auburnhollow.follow.sharing import MAX_DIRECT_NODES
from auburnhollow.follow.version_gossip import VersionGossip
from auburnhollow.membership import ALIVE, Member
from auburnhollow.metrics import Metrics
from auburnhollow.peers import Peers, PeerServer
from auburnhollow.peers.codec import Failure
from auburnhollow.servers import ServerRegistry

from .virtual import VirtualClock

ONE_WAY_MS = 2.0
STORE_ANSWER_MS = 4.0
STORE_MBIT_PER_S = 1_000.0
CALL_TIMEOUT_MS = 2_000.0
WATCH_SLACK_MS = 1_000.0
CHUNK_BYTES = 8_192
BITS_PER_BYTE = 8
ANSWER_NUMBER = 1
MS_PER_SECOND = 1_000.0
# Other nodes notice within this time that a node has gone silent, and that it is back.
NOTICED_MS = (700.0, 2_500.0)
GOSSIP_MS = (20.0, 600.0)


class FreezableClock(VirtualClock):
    """The clock of a node that may be suspended; it does not count the time meanwhile."""

    __slots__ = ("_frozen_since_ms", "_lost_ms", "_resumed")

    def __init__(self):
        super().__init__()
        self._frozen_since_ms = None
        self._lost_ms = 0.0
        self._resumed = asyncio.Event()
        self._resumed.set()

    @property
    def is_frozen(self):
        """Whether the node is suspended."""
        return self._frozen_since_ms is not None

    def now_ms(self):
        """Return the time for which the node was not suspended."""
        now_ms = super().now_ms()
        return (self._frozen_since_ms if self.is_frozen else now_ms) - self._lost_ms

    def freeze(self):
        """Suspend the node."""
        if not self.is_frozen:
            self._frozen_since_ms = super().now_ms()
            self._resumed.clear()

    def thaw(self):
        """Let the node go on."""
        if self.is_frozen:
            self._lost_ms += super().now_ms() - self._frozen_since_ms
            self._frozen_since_ms = None
            self._resumed.set()

    async def until_resumed(self):
        """Wait while the node is suspended."""
        while self.is_frozen:
            await self._resumed.wait()

    async def sleep(self, duration_ms):
        """Wait for ``duration_ms`` milliseconds of the node's own time."""
        until_ms = self.now_ms() + max(0.0, duration_ms)
        await super().sleep(duration_ms)
        await self.until_resumed()
        # A timer may end a rounding error before its time.
        while until_ms - self.now_ms() > 0.001:
            await super().sleep(until_ms - self.now_ms())
            await self.until_resumed()

    def timeout(self, duration_ms):
        """Return a context manager that raises :class:`TimeoutError` in the node's own time."""
        return _Timeout(self, max(0.0, duration_ms))


class _Timeout:
    """A time limit that a suspended node does not count down."""

    __slots__ = ("_clock", "_duration_ms", "_limit", "_timer")

    def __init__(self, clock, duration_ms):
        self._clock = clock
        self._duration_ms = duration_ms
        self._limit = asyncio.timeout(None)
        self._timer = None

    async def __aenter__(self):
        await self._limit.__aenter__()
        self._timer = asyncio.get_running_loop().create_task(self._expire())
        return self._limit

    async def __aexit__(self, *error):
        self._timer.cancel()
        return await self._limit.__aexit__(*error)

    async def _expire(self):
        await self._clock.sleep(self._duration_ms)
        self._limit.reschedule(asyncio.get_running_loop().time())


class Link:
    """A link whose transfers share its bandwidth.

    :param mbit_per_s: its bandwidth, ``None`` for no limit.
    """

    __slots__ = ("_clock", "_free_ms", "_mbit_per_s")

    def __init__(self, clock, mbit_per_s):
        self._clock = clock
        self._free_ms = 0.0
        self._mbit_per_s = mbit_per_s

    async def carry(self, size):
        """Wait until ``size`` bytes have passed beside the other transfers."""
        if self._mbit_per_s is None:
            return
        left = size
        while left > 0:
            sent = min(left, CHUNK_BYTES)
            left -= sent
            begin_ms = max(self._clock.now_ms(), self._free_ms)
            self._free_ms = begin_ms + sent * BITS_PER_BYTE / (self._mbit_per_s * MS_PER_SECOND)
            await self._clock.sleep(self._free_ms - self._clock.now_ms())


class RatedStore:
    """A store that answers a limited number of reads a second, in pages.

    ``refused_until_ms`` and ``silent_until_ms`` map nodes to the time until which the store refuses
    them or does not answer.

    :param items: number of items besides the configuration.
    :param page_items: items a page.
    :param reads_per_s: reads a second of all nodes together; further ones are refused.
    :param value_bytes: function that returns the size of a route table in the store.
    """

    def __init__(
        self, clock, table, items=300, page_items=500, reads_per_s=6_000, value_bytes=None
    ):
        self.clock = clock
        self.tables = [table]
        self.acknowledged_ms = {table.version: clock.now_ms()}
        self.refused_until_ms = {}
        self.silent_until_ms = {}
        self.calls = 0
        self.over_rate = 0
        self.link = Link(clock, STORE_MBIT_PER_S)
        self.pages = math.ceil((1 + items) / page_items)
        self._cut_count = 0
        self._changed = asyncio.Event()
        self._reads_per_s = reads_per_s
        self._second = None
        self._reads = 0
        self._value_bytes = value_bytes or (lambda table: 0)

    @property
    def revision(self):
        """The revision of the newest configuration."""
        return len(self.tables)

    def put(self, table):
        """Acknowledge a configuration."""
        self.tables.append(table)
        self.acknowledged_ms[table.version] = self.clock.now_ms()
        self._wake()

    def cut_watches(self):
        """End all watches that are waiting."""
        self._cut_count += 1
        self._wake()

    def reaches(self, name):
        """Return whether the store answers a node now."""
        now_ms = self.clock.now_ms()
        until_ms = max(self.refused_until_ms.get(name, 0.0), self.silent_until_ms.get(name, 0.0))
        return until_ms <= now_ms

    def size(self, tables):
        """Return the size of an answer with these tables, in bytes."""
        return sum(self._value_bytes(table) for table in tables)

    async def admit(self, name):
        """Take a call, or refuse it; never return while the store does not answer the node."""
        self.calls += 1
        now_ms = self.clock.now_ms()
        if now_ms < self.silent_until_ms.get(name, 0.0):
            await asyncio.Event().wait()
        second = now_ms // MS_PER_SECOND
        if second != self._second:
            self._second = second
            self._reads = 0
        self._reads += 1
        await self.clock.sleep(STORE_ANSWER_MS)
        if now_ms < self.refused_until_ms.get(name, 0.0):
            raise StoreUnavailable("refused")
        if self._reads > self._reads_per_s:
            self.over_rate += 1
            raise StoreUnavailable("over its rate")

    async def wait(self, revision, wait_ms):
        """Wait for a change after ``revision``."""
        cut_count = self._cut_count
        try:
            async with self.clock.timeout(wait_ms):
                while self.revision <= revision:
                    await self._changed.wait()
                    if self._cut_count != cut_count:
                        raise StoreUnavailable("the watch was cut")
        except TimeoutError:
            return

    def _wake(self):
        self._changed.set()
        self._changed = asyncio.Event()


class StoreFeed(Feed):
    """One node's view of a :class:`RatedStore`, with the time limits of a real client."""

    __slots__ = ("_node", "_store")

    def __init__(self, store, node):
        self._store = store
        self._node = node

    async def read(self):
        """Return the whole content, page by page."""
        store = self._store
        view = None
        for _ in range(store.pages):
            tables = await self._call(self._read_page(view is None), CALL_TIMEOUT_MS)
            if view is None:
                updates = [ConfigurationUpdate(table=table) for table in tables]
                view = StoreView(updates=updates, revision=store.tables.index(tables[-1]) + 1)
        return view

    async def changes(self, revision, wait_ms):
        """Return the changes after ``revision``, waiting up to ``wait_ms`` for the first."""
        tables = await self._call(self._wait(revision, wait_ms), wait_ms + WATCH_SLACK_MS)
        updates = [ConfigurationUpdate(table=table) for table in tables]
        return StoreView(updates=updates, revision=revision + len(updates))

    async def _read_page(self, is_first):
        await self._store.admit(self._node.name)
        tables = self._store.tables[-1:]
        if is_first:
            await self._receive(tables)
        return tables

    async def _wait(self, revision, wait_ms):
        store = self._store
        await store.admit(self._node.name)
        await store.wait(revision, wait_ms)
        if not store.reaches(self._node.name):
            await asyncio.Event().wait()
        await store.clock.sleep(ONE_WAY_MS)
        tables = store.tables[revision:]
        # The store holds only the newest value of a key.
        await self._receive(tables[-1:])
        return tables

    async def _receive(self, tables):
        """Wait until an answer has passed the store's link and the node's."""
        size = self._store.size(tables)
        await asyncio.gather(self._store.link.carry(size), self._node.downlink.carry(size))

    async def _call(self, work, timeout_ms):
        clock = self._node.clock
        try:
            async with clock.timeout(timeout_ms):
                await clock.until_resumed()
                tables = await work
                await clock.until_resumed()
                return tables
        except TimeoutError:
            raise StoreUnavailable("timed out") from None
        finally:
            work.close()


class NodePeers(Peers):
    """One node's connections to the others."""

    __slots__ = ("_fleet", "_node")

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._node = node

    async def ask(self, address, message, timeout_ms):
        """Send a message and return the answer, as :meth:`Peers.ask`."""
        clock = self._node.clock
        # What is on its way uses the links, even if nobody waits for it any more.
        exchange = asyncio.get_running_loop().create_task(self._exchange(address, message))
        try:
            async with clock.timeout(timeout_ms):
                await asyncio.wait({exchange})
                await clock.until_resumed()
        except TimeoutError:
            exchange.add_done_callback(_ignore)
            raise PeerError(f"{address}: no answer") from None
        except asyncio.CancelledError:
            exchange.add_done_callback(_ignore)
            raise
        answer = exchange.result()
        if isinstance(answer, Failure):
            raise PeerRefused(f"{address}: {answer.text}")
        return answer

    async def _exchange(self, address, message):
        base = self._fleet.clock
        await base.sleep(ONE_WAY_MS)
        node = self._fleet.nodes.get(address)
        if node is None or not node.is_running:
            if address in self._fleet.without_power:
                await base.sleep(60_000.0)
            raise PeerUnreachable(f"{address}: refused")
        await node.clock.until_resumed()
        answering = asyncio.get_running_loop().create_task(node.server.handle(message))
        node.serving.add(answering)
        answering.add_done_callback(node.serving.discard)
        await asyncio.wait({answering})
        if answering.cancelled():
            raise PeerError(f"{address}: connection lost")
        answer = answering.result()
        await node.clock.until_resumed()
        if self._fleet.mbit_per_s is not None:
            async with node.server.in_turn(answer, ANSWER_NUMBER) as (answer, data):
                await node.uplink.carry(len(data))
        await base.sleep(ONE_WAY_MS)
        return answer


def _ignore(task):
    if not task.cancelled():
        task.exception()


class NodeMembership:
    """The nodes that one node knows; it learns of the others a while after its start."""

    __slots__ = ("_fleet", "_knows_ms", "me")

    def __init__(self, fleet, me, knows_ms):
        self._fleet = fleet
        self._knows_ms = knows_ms
        self.me = me

    @property
    def members(self):
        """All nodes by id."""
        return self._fleet.members

    def answering(self):
        """Return the ids of the nodes that are not known as silent."""
        if self._fleet.clock.now_ms() < self._knows_ms:
            return (self.me.id,)
        return self._fleet.answering()


class GossipPort:
    """One node's part in the gossip of the fleet."""

    __slots__ = ("_fleet", "_handlers", "_node")

    def __init__(self, fleet, node):
        self._fleet = fleet
        self._handlers = {}
        self._node = node

    def on(self, kind, handler):
        """Register a handler for the entries of one kind."""
        self._handlers[kind] = handler

    def publish(self, entry):
        """Tell all nodes."""
        self._fleet.publish(entry, self._node)

    def hear(self, entry):
        """Handle an entry of another node."""
        self._handlers[entry.kind](entry)


class FollowingNode:
    """One run of a node; ``in_force`` lists when each version came into force, and through whom."""

    def __init__(self, fleet, member, seed, knows_ms):
        self.name = member.id
        self.clock = FreezableClock()
        self.started_ms = fleet.clock.now_ms()
        self.ended_ms = math.inf
        self.in_force = []
        self.serving = set()
        self.uplink = Link(fleet.clock, fleet.mbit_per_s)
        self.downlink = Link(fleet.clock, fleet.mbit_per_s)
        self._fleet = fleet
        rng = random.Random(seed)
        peers = NodePeers(fleet, self)
        membership = NodeMembership(fleet, member, self.started_ms + knows_ms)
        self.feed = SharedFeed(StoreFeed(fleet.store, self), peers, membership, self.clock, rng)
        self.follower = Follower(
            self.feed, ServerRegistry(self.clock), self.clock, rng, self._on_routes
        )
        self.server = PeerServer(Metrics(), self.clock)
        self.server.on(ChangesAsk, ChangeServer(self.follower, self.feed, self.clock).answer)
        exchange = StateExchange(
            self.follower, peers, lambda: fleet.addresses_but(self.name), rng, self.clock
        )
        self.server.on(StateAsk, exchange.answer)
        self.follower.ask_peers = exchange.ask
        self.gossip = GossipPort(fleet, self)
        RevisionGossip(
            self.follower,
            self.gossip,
            self.gossip,
            self.clock,
            lambda: len(fleet.members) <= MAX_DIRECT_NODES,
        )
        VersionGossip(self.follower, exchange, self.gossip, self.gossip, self.clock, self.name)
        self._task = asyncio.get_running_loop().create_task(self.follower.run())

    @property
    def is_running(self):
        """Whether the node has not been killed."""
        return self.ended_ms == math.inf

    @property
    def version(self):
        """The version in force, 0 for none."""
        routes = self.follower.routes
        return 0 if routes is None else routes.version

    def kill(self):
        """End the node at once."""
        self.ended_ms = self._fleet.clock.now_ms()
        self._task.cancel()
        for task in list(self.serving):
            task.cancel()

    def _on_routes(self, table):
        through = getattr(self.feed, "through", None)
        self.in_force.append((self._fleet.clock.now_ms(), table.version, through))


class FollowFleet:
    """Nodes in several data centres that follow one :class:`RatedStore`.

    :param places: the data centre of each node; by default they are spread over ``data_centres``.
    :param mbit_per_s: bandwidth of each node's link, ``None`` for no limit.

    ``nodes`` holds the running or last run of each node, ``runs`` all of them. The addresses in
    ``without_power`` do not even refuse connections.
    """

    def __init__(
        self,
        count,
        table,
        seed=1,
        data_centres=6,
        places=None,
        mbit_per_s=None,
        **store_options,
    ):
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.mbit_per_s = mbit_per_s
        self.store = RatedStore(self.clock, table, **store_options)
        self.members = {}
        self.nodes = {}
        self.runs = []
        self.without_power = set()
        self._absences = {}
        self._entries = {}
        self._tasks = set()
        places = places or [f"centre-{number % data_centres}" for number in range(count)]
        for number, place in enumerate(places):
            name = f"node-{number}"
            self.members[name] = Member(
                id=name,
                address=name,
                data_centre=place,
                state=ALIVE,
                incarnation=1,
                revision=0,
                ready=True,
            )

    def start(self, name, knows_ms=0.0):
        """Start a node, which knows the others after ``knows_ms``."""
        self.without_power.discard(name)
        seed = f"{self.random.random()}{name}"
        node = FollowingNode(self, self.members[name], seed, knows_ms)
        self.nodes[name] = node
        self.runs.append(node)
        self._present_again(name, knows_ms)
        for entry in self._entries.values():
            self._spawn(self._tell(entry, node, knows_ms))
        return node

    def kill(self, name, has_power=True):
        """Kill a node; without power its address does not answer at all."""
        if not has_power:
            self.without_power.add(name)
        self.nodes[name].kill()
        self._absent(name)

    def freeze(self, name):
        """Suspend a node."""
        self.nodes[name].clock.freeze()
        self._absent(name)

    def thaw(self, name):
        """Let a suspended node go on."""
        self.nodes[name].clock.thaw()
        self._present_again(name, self.random.uniform(0.0, 1_000.0))

    def answering(self):
        """Return the ids of the nodes that the others do not know as silent."""
        now_ms = self.clock.now_ms()
        found = []
        for name in self.members:
            from_ms, until_ms = self._absences.get(name, (math.inf, math.inf))
            if not from_ms <= now_ms < until_ms:
                found.append(name)
        return tuple(found)

    def watchers(self):
        """Return the running nodes whose last answer came from the store itself."""
        found = []
        for name, node in self.nodes.items():
            if node.is_running and node.feed._watchers() is None:
                found.append(name)
        return found

    def addresses_but(self, name):
        """Return the addresses that another node may ask, without that of ``name``."""
        return [each for each in self.answering() if each != name]

    def publish(self, entry, teller):
        """Pass a gossip entry on to all nodes."""
        known = self._entries.get((entry.kind, entry.key))
        if known is not None and known.version >= entry.version:
            return
        self._entries[entry.kind, entry.key] = entry
        for node in self.nodes.values():
            if node is not teller and node.is_running:
                self._spawn(self._tell(entry, node))

    async def stop(self):
        """End all nodes."""
        for node in self.nodes.values():
            node.clock.thaw()
            node.kill()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)

    async def _tell(self, entry, node, later_ms=0.0):
        await self.clock.sleep(later_ms + self.random.uniform(*GOSSIP_MS))
        await node.clock.until_resumed()
        if node.is_running:
            node.gossip.hear(entry)

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _absent(self, name):
        noticed_ms = self.clock.now_ms() + self.random.uniform(*NOTICED_MS)
        self._absences[name] = (noticed_ms, math.inf)

    def _present_again(self, name, later_ms):
        absence = self._absences.get(name)
        if absence is not None:
            self._absences[name] = (absence[0], self.clock.now_ms() + later_ms)


__all__ = ["FollowFleet", "FollowingNode", "FreezableClock", "Link", "RatedStore"]
