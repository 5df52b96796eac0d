"""A fleet of nodes in one process, in virtual time, over fake stores, peers and servers."""

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

DATA_CENTRES = ("north", "south", "east")


def make_document(shards=4, replicas=3, kinds=("search", "order"), versions=(1,), **policy):
    """Return a configuration document with one service called ``desk``.

    :param policy: fields of the service's policy that differ from the defaults.
    """
    shard_names = [f"s{number}" for number in range(shards)]
    servers = []
    for number, shard in enumerate(shard_names):
        for replica in range(replicas):
            servers.append(
                {
                    "id": f"{shard}-{replica}",
                    "address": f"10.0.{number}.{replica + 1}:80",
                    "data_centre": DATA_CENTRES[replica % len(DATA_CENTRES)],
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
        "data_centres": [{"name": name, "region": "all"} for name in DATA_CENTRES],
        "services": [service],
        "servers": servers,
        "draining": [],
    }


def make_search(caller="caller", **changes):
    """Return a :class:`Search` over all shards of the service ``desk``."""
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
        return self.node.configuration_holder.number


class VirtualFleet:
    """Nodes that share a fake store, a simulated network and fake backend servers.

    :param document: the first configuration; see :func:`make_document`.
    :param loss: probability that a message between nodes is lost.
    :param serializes: whether messages between nodes are encoded and decoded.
    :param settings: changes to every node's settings.
    :param make_backends: function of a clock that returns a node's
        :class:`~auburnhollow.backends.BackendClient`; by default, one for the fake servers.
    """

    def __init__(
        self,
        document=None,
        nodes=3,
        seed=1,
        loss=0.0,
        serializes=True,
        settings=None,
        make_backends=None,
    ):
        self.document = document or make_document()
        self.random = random.Random(seed)
        self.clock = VirtualClock()
        self.shared_store = SharedStore(random.Random(seed + 1))
        self.network = Network(random.Random(seed + 2), loss=loss, serializes=serializes)
        self.servers = {}
        self.instances = []
        self.nodes = {}
        self._node_count = nodes
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
        for number in range(self._node_count):
            self.add(f"n{number}")
        await asyncio.gather(*(entry.node.start() for entry in self.nodes.values()))

    async def stop(self):
        """Stop all nodes."""
        for name in list(self.nodes):
            await self.kill(name)

    def add(self, name, skew_ms=0.0):
        """Add a node without starting it, and return its :class:`VirtualNode`."""
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
        """Stop a node abruptly, as a crash does."""
        entry = self.nodes.pop(name)
        del self.network.handlers[entry.address]
        await entry.node.stop()
        tasks = [running.task for running in entry.node.orders._running.values()]
        for task in [*tasks, *entry.node.orders._outcome_tasks]:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def change(self, document, base):
        """Write a configuration as an operator."""
        return await self.repository.change(document, base=base, author="test", note="change")

    def revisions(self):
        """Return the set of configuration revisions in force at the nodes."""
        return {entry.revision for entry in self.nodes.values()}

    def ran_orders(self):
        """Return the orders that ran, once for each run."""
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
        """Return a new idempotency key, issued ``age_ms`` ago."""
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
                "data_centre": DATA_CENTRES[number % len(DATA_CENTRES)],
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
    """Run a :class:`VirtualFleet` as a context manager."""
    fleet = VirtualFleet(*arguments, **options)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
