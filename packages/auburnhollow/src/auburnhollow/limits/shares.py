"""Each node's share of the backend servers' connections."""

import asyncio
from collections import deque

from ..hashing import ranked
from .classes import CLASSES

USABLE_FRACTION = 0.9


def share_of(node, nodes, server, connections):
    """Return how many connections ``node`` may have to ``server``.

    The shares of all nodes with the same ``nodes`` add up to at most ``USABLE_FRACTION`` of
    ``connections``, but at least to 1. Connections that cannot be divided evenly go to the nodes
    that rank highest for the server (rendezvous hashing: D. Thaler, C. Ravishankar, 1998), so that
    adding or removing a node moves few connections.

    :param nodes: ids of all live nodes.
    :param connections: number of connections that the server accepts.
    """
    usable = max(1, int(connections * USABLE_FRACTION))
    base, remainder = divmod(usable, max(1, len(nodes)))
    if remainder == 0:
        return base
    chosen = ranked(server, nodes)[:remainder]
    return base + (1 if node in chosen else 0)


class Shares:
    """Counts this node's calls to each server and limits them to its share.

    :param node: id of this node.
    :param live_nodes: function that returns the ids of all live nodes.

    >>> shares.has_room(server, connections=40)
    True
    """

    __slots__ = ("_busy", "_cache", "_cached_nodes", "_live_nodes", "_node", "_waiting")

    def __init__(self, node, live_nodes):
        self._node = node
        self._live_nodes = live_nodes
        self._busy = {}
        self._cache = {}
        self._cached_nodes = None
        self._waiting = {}

    def busy(self, server):
        """Return how many of this node's calls to the server are in progress."""
        return self._busy.get(server.id, 0)

    def share(self, server, connections):
        """Return this node's share of the server's connections."""
        nodes = self._live_nodes()
        if nodes is not self._cached_nodes:
            self._cache.clear()
            self._cached_nodes = nodes
        found = self._cache.get(server.id)
        if found is None:
            found = share_of(self._node, nodes, server.id, connections)
            self._cache[server.id] = found
        return found

    def has_room(self, server, connections):
        """Return whether the share allows one more call to the server."""
        return self.busy(server) < self.share(server, connections)

    def enter(self, server):
        """Record the start of a call."""
        self._busy[server.id] = self.busy(server) + 1

    def leave(self, server):
        """Record the end of a call."""
        remaining = self.busy(server) - 1
        if remaining > 0:
            self._busy[server.id] = remaining
        else:
            self._busy.pop(server.id, None)
        self._wake(server)

    async def wait_for_room(self, servers, request_class):
        """Wait until a call to one of ``servers`` ends; the most urgent class is woken first."""
        waiter = asyncio.get_running_loop().create_future()
        for server in servers:
            queues = self._waiting.setdefault(server.id, {name: deque() for name in CLASSES})
            queues[request_class].append(waiter)
        try:
            await waiter
        finally:
            self._remove_waiter(servers, request_class, waiter)

    def _wake(self, server):
        for queue in self._waiting.get(server.id, {}).values():
            for waiter in queue:
                if not waiter.done():
                    waiter.set_result(None)
                    return

    def _remove_waiter(self, servers, request_class, waiter):
        for server in servers:
            queues = self._waiting[server.id]
            queues[request_class].remove(waiter)
            if not any(queues.values()):
                del self._waiting[server.id]
