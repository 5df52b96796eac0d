"""Starts the project's nodes with the command of the deploy file, and ends them again."""

import asyncio
import json
import os
import re
import socket

from .wire import build, connect, read_message

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
REGIONS = {"ploiesti-a": "muntenia", "cluj-a": "transilvania", "iasi-a": "moldova"}
ZONES = ("ploiesti-a", "ploiesti-a", "ploiesti-a", "cluj-a", "cluj-a", "iasi-a", "iasi-a")


def deploy_command():
    """Return the words of ``run`` in the deploy file without the settings' path.

    :raises RuntimeError: when there is no such line.
    """
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        found = re.search(r'^run = "(.+) \S+"$', file.read(), re.MULTILINE)
    if found is None:
        raise RuntimeError("the deploy file names no command")
    return found.group(1).split()


class Node:
    """One node in a process of its own."""

    def __init__(self, settings, path, log):
        self.settings = settings
        self.path = path
        self.process = None
        self._log = log

    @property
    def front(self):
        """The address for clients."""
        return self.settings["front"]

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        environment["SSL_CERT_FILE"] = environment["SSL_CERT_DIR"] = "/dev/null"
        self.process = await asyncio.create_subprocess_exec(
            *deploy_command(),
            self.path,
            cwd=ROOT,
            env=environment,
            stdout=self._log,
            stderr=self._log,
        )

    async def is_ready(self):
        """Return whether the node reports itself ready."""
        try:
            reader, writer = await connect(self.settings["ready"])
            writer.write(build("GET /auburnhollow/ready HTTP/1.1", [("Host", "x")]))
            answer = await asyncio.wait_for(read_message(reader), 1.0)
            writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return False
        return answer.status == 200

    def signal(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        """Kill the process if it runs, and wait for its end."""
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()


def free_addresses(count):
    """Return free loopback addresses; the host is that of this process alone."""
    number = os.getpid()
    host = f"127.{64 + (number >> 16) % 64}.{(number >> 8) % 256}.{number % 254 + 1}"
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    found = [f"{host}:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return found


def make_nodes(folder, store_address, zones=ZONES, regions=None, **changes):
    """Return nodes with the settings of the template for a small deployment.

    :param folder: a temporary folder for settings and logs.
    """
    addresses = free_addresses(4 * len(zones))
    nodes = []
    for number, zone in enumerate(zones):
        front, ready, peer, metrics = addresses[4 * number : 4 * number + 4]
        settings = {
            "id": f"front-{zone}-{number + 1}",
            "adapter": "auburnhollow_platform",
            "data_centre": zone,
            "regions": regions or REGIONS,
            "front": front,
            "ready": ready,
            "peer": peer,
            "seeds": [addresses[4 * each + 2] for each in range(min(3, len(zones)))],
            "store": store_address,
            "retry_ratio": 0.2,
            "retry_window_ms": 10_000,
            "retry_slack": 54,
            "memory_mb": 300,
            "metrics_port": int(metrics.rpartition(":")[2]),
            **changes,
        }
        path = os.path.join(folder, f"{settings['id']}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(folder, f"{settings['id']}.log"), "wb")  # noqa: SIM115
        nodes.append(Node(settings, path, log))
    return nodes


async def start_all(nodes, timeout_s=20.0):
    """Start all nodes and wait until each is ready.

    :raises TimeoutError: when one is not ready in time.
    """
    for node in nodes:
        await node.start()
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    for node in nodes:
        while not await node.is_ready():
            if loop.time() > end_s:
                raise TimeoutError(f"{node.settings['id']} is not ready")
            await asyncio.sleep(0.05)
