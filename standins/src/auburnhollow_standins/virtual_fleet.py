"""A fleet of nodes in one process and in virtual time, over fakes at the interfaces."""

import asyncio
import random
from contextlib import asynccontextmanager

from auburnhollow.backing import Instance
from auburnhollow.configuration import Repository
from auburnhollow.identifiers import new_id
from auburnhollow.limits import INTERACTIVE, URGENT
from auburnhollow.once import Order
from auburnhollow.scatter import Search
from auburnhollow_node.node import Node
from auburnhollow_node.settings import DEFAULTS, Settings

from .fake_backends import FakeBackends, FakeServer
from .fake_peers import FakePeers, Network
from .fake_platform import FakeInstances, FakeStore, Pausable, SharedStore
from .virtual import VirtualClock

CENTRES = ("north", "south", "east")


def make_document(shards=4, replicas=3, kinds=("search", "order"), versions=(1,), **policy):
    """Return a configuration with one service called ``desk``."""
    shard_names = [f"s{number}" for number in range(shards)]
    servers = []
    for number, shard in enumerate(shard_names):
        for replica in range(replicas):
            servers.append(
                {
                    "id": f"{shard}-{replica}",
                    "address": f"10.0.{number}.{replica + 1}:80",
                    "data_centre": CENTRES[replica % len(CENTRES)],
                    "labels": {"service": "desk", "shard": shard},
                }
            )
    entries = [{"name": name, "labels": {"name": name}} for name in shard_names]
    service = {
        "name": "desk",
        "kinds": list(kinds),
        "labels": {"desk": "yes"},
        "selector": {"service": "desk"},
        "versions": [{"version": version, "shards": entries} for version in versions],
        "slots": 5,
        "connections": 40,
        "policy": {"deadline_ms": 1000, **policy},
    }
    return {
        "data_centres": [{"name": name, "region": "all"} for name in CENTRES],
        "services": [service],
        "servers": servers,
        "draining": [],
    }


def make_search(caller="caller", **changes):
    """Return a :class:`Search` over the whole service ``desk``."""
    fields = {
        "caller": caller,
        "request_id": new_id(),
        "kind": "search",
        "service": "desk",
        "selector": {},
        "query": {"text": "any"},
        "rows": 100,
        "request_class": INTERACTIVE,
        "coverage": "deadline",
        "deadline_ms": 1000.0,
        "limit_ms": 4000.0,
        "at_least": 0,
    }
    return Search(**{**fields, **changes})


class VirtualNode:
    """One node of the fleet with its fakes."""

    __slots__ = ("node", "pausable", "store")

    def __init__(self, node, pausable, store):
        self.node = node
        self.pausable = pausable
        self.store = store

    @property
    def address(self):
        """The node's peer address."""
        return self.node.membership.me.address

    @property
    def revision(self):
        """The configuration revision in force at the node."""
        return self.node.keeper.number


class VirtualFleet:
    """Nodes over one fake store, one fake network and fake backend servers.

    :param document: the first configuration; see :func:`make_document`.
    :param make_backends: function of a clock that returns a node's
        :class:`~auburnhollow.backends.BackendClient`; fakes when absent.
    """

    def __init__(
        self,
        document=None,
        nodes=3,
        seed=1,
        loss=0.0,
        copies=True,
        settings=None,
        make_backends=None,
    ):
        self.document = document or make_document()
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.shared_store = SharedStore(random.Random(seed + 1))
        self.network = Network(random.Random(seed + 2), loss=loss, copies=copies)
        self.servers = {}
        self.instances = []
        self.nodes = {}
        self._count = nodes
        self._seed = seed
        self._settings = settings or {}
        self._make_backends = make_backends
        for entry in self.document["servers"]:
            shard = entry["labels"]["shard"]
            rows = [{"id": f"{shard}-row", "score": 1.0, "shard": shard}]
            self.servers[entry["id"]] = FakeServer(entry["id"], rows)

    @property
    def repository(self):
        """The configuration in the fake store."""
        return Repository(FakeStore(self.shared_store, self.clock), self.clock)

    async def start(self):
        """Write the configuration and start all nodes."""
        await self.repository.change(self.document, base=0, author="test", note="first")
        for number in range(self._count):
            self.add(f"n{number}")
        await asyncio.gather(*(entry.node.start() for entry in self.nodes.values()))

    async def stop(self):
        """Stop all nodes."""
        for name in list(self.nodes):
            await self.kill(name)

    def add(self, name, skew_ms=0.0):
        """Make a node; the caller starts it."""
        number = len(self.instances)
        clock = VirtualClock(skew_ms)
        pausable = Pausable()
        store = FakeStore(self.shared_store, clock, pausable)
        address = f"10.9.{number // 250}.{number % 250 + 1}"
        node = Node(
            self._settings_of(name, number, address),
            store,
            FakeInstances(self.instances),
            self._backends(clock, pausable),
            lambda _metrics: FakePeers(self.network, f"{address}:7000", clock),
            clock,
        )
        entry = VirtualNode(node, pausable, store)
        self.network.handlers[entry.address] = node.peer_server.handle
        self.network.pausables[entry.address] = pausable
        self.nodes[name] = entry
        self.instances.append(self._instance(name, entry))
        return entry

    async def kill(self, name):
        """End a node at once, as a crash does."""
        entry = self.nodes.pop(name)
        del self.network.handlers[entry.address]
        await entry.node.stop()
        tasks = [running.task for running in entry.node.orders._running.values()]
        for task in [*tasks, *entry.node.orders._settling]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def change(self, document, base):
        """Write a configuration as an operator."""
        return await self.repository.change(document, base=base, author="test", note="change")

    def revisions(self):
        """Return the set of revisions in force."""
        return {entry.revision for entry in self.nodes.values()}

    def ran_orders(self):
        """Return every order that ran, once for each run."""
        return [order for server in self.servers.values() for order in server.orders]

    def make_order(self, key, caller="caller", **changes):
        """Return an :class:`Order` for the service ``desk``."""
        fields = {
            "caller": caller,
            "key": key,
            "service": "desk",
            "selector": {},
            "order": {"key": key},
            "request_class": URGENT,
            "deadline_ms": 1000.0,
            "earlier": "unknown",
        }
        return Order(**{**fields, **changes})

    def new_key(self, age_ms=0):
        """Return a fresh key, issued ``age_ms`` ago."""
        return f"{self.clock.wall_ms() - age_ms}.{self.random.getrandbits(64):016x}"

    def _backends(self, clock, pausable):
        if self._make_backends is not None:
            return self._make_backends(clock)
        return FakeBackends(self.servers, clock, pausable)

    def _instance(self, name, entry):
        return Instance(
            id=name,
            role="node",
            address=entry.address,
            data_centre=entry.node.settings.data_centre,
            state="live",
            incarnation=1,
        )

    def _settings_of(self, name, number, address):
        return Settings(
            **{
                **DEFAULTS,
                "id": name,
                "data_centre": CENTRES[number % len(CENTRES)],
                "host": address,
                "port": 8000,
                "peer_port": 7000,
                "store": "http://store",
                "instances": "http://instances",
                "seed": self._seed * 1000 + number,
                **self._settings,
            }
        )


@asynccontextmanager
async def virtual_fleet(*arguments, **options):
    """Run a :class:`VirtualFleet` for the length of the block."""
    fleet = VirtualFleet(*arguments, **options)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
