"""The share of each backend server's connections that a node may use."""

import asyncio
from collections import deque

from ..hashing import ranked
from .classes import CLASSES

HEADROOM = 0.9


def share_of(node, nodes, server, connections):
    """Return how many connections ``node`` may have to ``server``.

    The shares of all nodes that see the same ``nodes`` add up to no more than ``HEADROOM`` of
    ``connections``. When there are more nodes than connections, each server is given to the nodes
    that rank highest for it (rendezvous hashing: D. Thaler, C. Ravishankar, 1998), so that one
    node more or less moves few connections.

    :param nodes: ids of all live nodes.
    """
    usable = max(1, int(connections * HEADROOM))
    whole, rest = divmod(usable, max(1, len(nodes)))
    if rest == 0:
        return whole
    chosen = ranked(server, nodes)[:rest]
    return whole + (1 if node in chosen else 0)


class Shares:
    """Counts this node's calls to each server and bounds them by its share.

    :param node: id of this node.
    :param members: function that returns the ids of all live nodes.

    >>> shares.has_room(server, connections=40)
    True
    """

    __slots__ = ("_busy", "_cache", "_members", "_node", "_seen", "_waiting")

    def __init__(self, node, members):
        self._node = node
        self._members = members
        self._busy = {}
        self._cache = {}
        self._seen = None
        self._waiting = {}

    def busy(self, server):
        """Return how many of this node's calls to the server are in progress."""
        return self._busy.get(server.id, 0)

    def share(self, server, connections):
        """Return this node's share of the server's connections."""
        members = self._members()
        if members is not self._seen:
            self._cache.clear()
            self._seen = members
        found = self._cache.get(server.id)
        if found is None:
            found = share_of(self._node, members, server.id, connections)
            self._cache[server.id] = found
        return found

    def has_room(self, server, connections):
        """Return whether one more call to the server keeps within the share."""
        return self.busy(server) < self.share(server, connections)

    def enter(self, server):
        """Count a call that starts."""
        self._busy[server.id] = self.busy(server) + 1

    def leave(self, server):
        """Count a call that ended."""
        left = self.busy(server) - 1
        if left > 0:
            self._busy[server.id] = left
        else:
            self._busy.pop(server.id, None)
        self._wake(server)

    async def room(self, servers, request_class):
        """Wait until a call to one of ``servers`` ends; urgent requests are woken first."""
        waiter = asyncio.get_running_loop().create_future()
        for server in servers:
            queues = self._waiting.setdefault(server.id, {name: deque() for name in CLASSES})
            queues[request_class].append(waiter)
        try:
            await waiter
        finally:
            self._withdraw(servers, request_class, waiter)

    def _wake(self, server):
        for queue in self._waiting.get(server.id, {}).values():
            for waiter in queue:
                if not waiter.done():
                    waiter.set_result(None)
                    return

    def _withdraw(self, servers, request_class, waiter):
        for server in servers:
            queues = self._waiting[server.id]
            queues[request_class].remove(waiter)
            if not any(queues.values()):
                del self._waiting[server.id]
