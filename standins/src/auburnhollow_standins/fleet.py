"""A deployment on this machine: fake services in this process and nodes as processes."""

import asyncio
import os
import signal
import socket
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import orjson
from aiohttp import web

from auburnhollow.backing.store import HttpStore
from auburnhollow.configuration import Repository

from .backend import BackendStandin, Behaviour
from .instances import InstancesStandin
from .store import StoreStandin

HOST = "127.0.0.1"
FIRST_PORT = 21_000
LAST_PORT = 31_000
READY_ATTEMPTS = 400
READY_PAUSE_S = 0.05


class Ports:
    """Finds free ports below the ephemeral port range."""

    __slots__ = ("_next",)

    def __init__(self):
        self._next = FIRST_PORT + os.getpid() * 37 % (LAST_PORT - FIRST_PORT)

    def take(self):
        """Return a port that is not in use."""
        while True:
            self._next += 1
            if self._next > LAST_PORT:
                self._next = FIRST_PORT
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((HOST, self._next))
                except OSError:
                    continue
                return self._next


class NodeProcess:
    """One node process.

    ``url`` is its address for callers, ``peer_address`` its address for other nodes.
    """

    __slots__ = ("data_centre", "id", "log_path", "peer_address", "process", "settings_path", "url")

    def __init__(self, settings, settings_path, log_path):
        self.id = settings["id"]
        self.data_centre = settings["data_centre"]
        self.url = f"http://{HOST}:{settings['port']}"
        self.peer_address = f"{HOST}:{settings['peer_port']}"
        self.settings_path = settings_path
        self.log_path = log_path
        self.process = None

    async def start(self):
        """Start the process."""
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "auburnhollow_node",
                str(self.settings_path),
                stdout=log,
                stderr=log,
            )

    def send(self, signal_number):
        """Send a signal to the process."""
        self.process.send_signal(signal_number)

    async def stop(self, signal_number=signal.SIGTERM):
        """Stop the process and return its exit code."""
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        return await self.process.wait()


class Fleet:
    """Fake platform services, fake backend servers, and node processes.

    :param deployment: :class:`~auburnhollow_standins.deployments.Deployment`.
    :param nodes: how many nodes to start.
    :param behaviour: changes to every :class:`Behaviour`.
    :param settings: changes to every node's settings.
    :param lag_ms: delay with which the instance list shows changes, in milliseconds.
    """

    def __init__(self, deployment, nodes=3, behaviour=None, settings=None, lag_ms=0.0, seed=0):
        self.deployment = deployment
        self.store = StoreStandin()
        self.instances = InstancesStandin(lag_ms)
        self.backends = {}
        self.nodes = []
        self.session = None
        self.store_url = None
        self.instances_url = None
        self.document = None
        self._behaviour = behaviour or {}
        self._node_count = nodes
        self._folder = None
        self._ports = Ports()
        self._runners = []
        self._seed = seed
        self._settings = settings or {}

    @property
    def repository(self):
        """The configuration in the fake store."""
        return Repository(HttpStore(self.session, self.store_url))

    async def start(self):
        """Start everything and write the first configuration."""
        self.session = aiohttp.ClientSession()
        self._folder = tempfile.TemporaryDirectory(prefix="auburnhollow-")
        self.store_url = await self._serve(self.store.app())
        self.instances_url = await self._serve(self.instances.app())
        self.document = self.deployment.document()
        services = {spec.name: spec for spec in self.deployment.service_specs}
        for entry in self.document["servers"]:
            await self._start_backend(entry, services[entry["labels"]["service"]])
        await self.repository.change(self.document, base=0, author="fleet", note="first")
        data_centres = list(self.deployment.data_centres)
        for number in range(self._node_count):
            await self.add_node(f"node-{number}", data_centres[number % len(data_centres)])
        await asyncio.gather(*(self.wait_ready(node) for node in self.nodes))

    async def stop(self):
        """Stop everything."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.process.kill()
                await node.process.wait()
        for backend in self.backends.values():
            await backend.stop()
        for runner in self._runners:
            await runner.cleanup()
        await self.session.close()
        self._folder.cleanup()

    async def add_node(self, node_id, data_centre):
        """Start one more node and return it."""
        settings = {
            "id": node_id,
            "data_centre": data_centre,
            "host": HOST,
            "port": self._ports.take(),
            "peer_port": self._ports.take(),
            "store": self.store_url,
            "instances": self.instances_url,
            **self._settings,
        }
        path = Path(self._folder.name) / f"{node_id}.json"
        path.write_bytes(orjson.dumps(settings))
        node = NodeProcess(settings, path, path.with_suffix(".log"))
        self.list_node(node, "live")
        await node.start()
        self.nodes.append(node)
        return node

    def list_node(self, node, state):
        """Put a node into the instance list."""
        self.instances.show(
            {
                "id": node.id,
                "role": "node",
                "address": node.peer_address,
                "data_centre": node.data_centre,
                "state": state,
                "incarnation": 1,
            }
        )

    async def wait_ready(self, node):
        """Wait until a node is ready."""
        for _ in range(READY_ATTEMPTS):
            try:
                async with self.session.get(node.url + "/readyz") as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(READY_PAUSE_S)
        raise RuntimeError(f"{node.id} is not ready:\n{self.log_of(node)}")

    def log_of(self, node):
        """Return the log of a node."""
        return Path(node.log_path).read_text()

    async def _serve(self, app):
        runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self._runners.append(runner)
        return f"http://{HOST}:{runner.addresses[0][1]}"

    async def _start_backend(self, entry, spec):
        behaviour = Behaviour(
            slots=spec.slots,
            connections=spec.connections,
            connect_ms=spec.connect_ms,
            away_ms=self.deployment.one_way_delays_ms(entry["data_centre"]),
            **self._behaviour,
        )
        backend = BackendStandin(
            entry["id"],
            spec.name,
            [entry["labels"]["shard"]],
            self.deployment.theme,
            behaviour,
            seed=self._seed,
        )
        await backend.start(HOST)
        entry["address"] = backend.address
        self.backends[entry["id"]] = backend


@asynccontextmanager
async def running_fleet(deployment, **options):
    """Run a :class:`Fleet` as a context manager."""
    fleet = Fleet(deployment, **options)
    try:
        await fleet.start()
        yield fleet
    finally:
        await fleet.stop()
