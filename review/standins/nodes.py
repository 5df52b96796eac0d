"""Starts the project's nodes as the deploy file does, and ends them again."""

import asyncio
import json
import os
import re
import socket

from .http import build, connect, read_message

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# The words of ``run`` in deploy/system.toml after the program, without the settings' path.
ARGUMENTS = ("-S", "-m", "auburnhollow_node.relay")
REGIONS = {"ploiesti-a": "muntenia", "cluj-a": "transilvania", "iasi-a": "moldova"}
ZONES = ("ploiesti-a", "ploiesti-a", "ploiesti-a", "cluj-a", "cluj-a", "iasi-a", "iasi-a")


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

    def save(self):
        """Write the settings file."""
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = os.path.join(ROOT, "target", "deps")
        environment["SSL_CERT_FILE"] = environment["SSL_CERT_DIR"] = "/dev/null"
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            *ARGUMENTS,
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
    """Return free loopback addresses; the host belongs to this process only."""
    number = os.getpid()
    host = f"127.{64 + (number >> 16) % 64}.{(number >> 8) % 256}.{number % 254 + 1}"
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    found = [f"{host}:{each.getsockname()[1]}" for each in sockets]
    for each in sockets:
        each.close()
    return found


def make_nodes(folder, store_address, zones=ZONES, **changes):
    """Return nodes with the settings of the template for a small deployment.

    :param folder: a temporary folder for settings and logs.
    """
    addresses = free_addresses(4 * len(zones))
    nodes = []
    for number, zone in enumerate(zones):
        front, ready, peer, metrics = addresses[4 * number : 4 * number + 4]
        settings = {
            "id": f"front-{zone}-{number}",
            "adapter": "auburnhollow_platform",
            "data_centre": zone,
            "regions": REGIONS,
            "front": front,
            "ready": ready,
            "peer": peer,
            "seeds": [addresses[4 * each + 2] for each in range(min(3, len(zones)))],
            "store": store_address,
            "retry_ratio": 0.2,
            "retry_window_ms": 10_000,
            "retry_slack": 54,
            "metrics_port": int(metrics.rpartition(":")[2]),
            **changes,
        }
        path = os.path.join(folder, f"{settings['id']}.json")
        log = open(os.path.join(folder, f"{settings['id']}.log"), "wb")  # noqa: SIM115
        node = Node(settings, path, log)
        node.save()
        nodes.append(node)
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


def check_deploy_file():
    """Check that the nodes are started as the deploy file says.

    :raises RuntimeError: when the deploy file has another command.
    """
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
        found = re.search(r'^run = "python3 (.*) \S+"$', file.read(), re.MULTILINE)
    if found is None or tuple(found.group(1).split()) != ARGUMENTS:
        raise RuntimeError("the deploy file starts the nodes in another way")
