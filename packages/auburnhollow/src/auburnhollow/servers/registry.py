"""The known backend servers, kept through outages of the store in which they register."""

import logging
import math
from enum import StrEnum

from ..decisions import log_decision
from ..records import Record

log = logging.getLogger("servers")

# Servers register again within two seconds after an outage; the rest allows for propagation.
REREGISTRATION_MS = 2_500.0
# A shorter outage keeps no server from registering in time.
SHORT_OUTAGE_MS = 1_000.0
# What servers have said of themselves is kept for the newest ones, in case their entry is back.
MAX_LEAVING = 10_000


class ServerState(StrEnum):
    """The state that a backend server reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class Server(Record):
    """The registration of one incarnation of a backend server.

    ``started_ms`` is the wall-clock time of the server's start; ``sequence`` counts its
    registrations since then; together they order the registrations. ``warm_up_ms`` is how much
    longer the server is slower than normal, counted from this registration. ``slots`` is how many
    requests it runs at a time.
    """

    __slots__ = (
        "id",
        "service",
        "address",
        "data_centre",
        "slots",
        "state",
        "warm_up_ms",
        "started_ms",
        "sequence",
    )

    @property
    def incarnation(self):
        """The id and the start time, which differs after a restart under the same id."""
        return (self.id, self.started_ms)

    def is_older_than(self, other):
        """Return whether this registration is older than ``other``."""
        if self.started_ms != other.started_ms:
            return self.started_ms < other.started_ms
        return self.sequence < other.sequence


class ServerRegistry:
    """The known backend servers, by service.

    A server whose entry is removed gets no new requests, nor one that has said itself that it
    leaves, whatever its entry says, until it has started again. Entries that expire during an
    outage of the store are kept until the servers have had time to register again.

    :param clock: :class:`~auburnhollow.clock.Clock`.

    ``on_server`` is a function that is called with each entry put in force, or ``None``.
    ``on_start`` is a callback that receives each server that is first seen, or seen with a new
    start time, and may get requests. ``on_leaving`` is a callback that receives the incarnation of
    each server that has told this node that it leaves.

    >>> registry.put(server)
    >>> registry.usable("search-3")
    [Server(id='i-1', ...)]
    """

    __slots__ = (
        "_by_id",
        "_clock",
        "_grace_until_ms",
        "_leaving",
        "_missing",
        "_outage",
        "_outage_began_ms",
        "_usable",
        "on_leaving",
        "on_server",
        "on_start",
    )

    def __init__(self, clock):
        self._clock = clock
        self._by_id = {}
        self._leaving = {}
        self._missing = {}
        self._usable = {}
        self._outage = False
        self._outage_began_ms = None
        self._grace_until_ms = None
        self.on_leaving = None
        self.on_server = None
        self.on_start = None

    def __len__(self):
        return len(self._by_id)

    @property
    def servers(self):
        """All known servers, in any state."""
        return list(self._by_id.values())

    @property
    def registered(self):
        """The known servers, in any state, whose entry has not gone missing."""
        return [server for server in self._by_id.values() if server.id not in self._missing]

    def usable(self, service):
        """Return the servers of a service that may get new requests; do not modify the list."""
        if self._missing:
            self._remove_expired()
        found = self._usable.get(service)
        if found is None:
            found = []
            for server in self._by_id.values():
                if server.service == service and self.is_ready(server):
                    found.append(server)
            self._usable[service] = found
        return found

    def is_ready(self, server):
        """Return whether a server takes new work, by its entry and by what it has said itself."""
        return server.state is ServerState.READY and server.incarnation not in self._leaving

    def mark_leaving(self, incarnation, source):
        """Record that a server has said in an answer that it leaves.

        :param source: ``answer``, or ``peer`` if it has told another node.
        """
        if incarnation in self._leaving:
            return
        self._leaving[incarnation] = True
        if len(self._leaving) > MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        log_decision(
            log,
            "server leaves",
            server=incarnation[0],
            started_ms=incarnation[1],
            source=source,
        )
        server = self.find(incarnation)
        if server is not None:
            self._clear_usable(server.service)
        if source == "answer" and self.on_leaving is not None:
            self.on_leaving(incarnation)

    def is_usable(self, server):
        """Return whether this incarnation of a server may get new requests."""
        usable = self.usable(server.service)
        return any(known.incarnation == server.incarnation for known in usable)

    def find(self, incarnation):
        """Return the :class:`Server` with an id and start time, or ``None``."""
        server = self._by_id.get(incarnation[0])
        return server if server is not None and server.incarnation == incarnation else None

    def knows(self, server):
        """Return whether this incarnation of a server is still known."""
        known = self._by_id.get(server.id)
        return known is not None and known.incarnation == server.incarnation

    def replace(self, servers, is_current=False):
        """Replace all entries by the complete content of the store.

        :param is_current: as for :meth:`put`.
        """
        listed = set()
        for server in servers:
            listed.add(server.id)
            self.put(server, is_current)
        for server_id in [server_id for server_id in self._by_id if server_id not in listed]:
            self.remove(server_id)

    def put(self, server, is_current=False):
        """Add or update a server, unless the registration is older than the known one.

        :param is_current: whether the registration is known to be the newest; its start time and
            sequence are then not compared, as those of the known one may be wrong.
        """
        known = self._by_id.get(server.id)
        self._missing.pop(server.id, None)
        if known is not None and not is_current and server.is_older_than(known):
            log_decision(
                log,
                "stale registration ignored",
                server=server.id,
                reason="older than the known one",
            )
            return
        if known is None or (known.state, known.started_ms) != (server.state, server.started_ms):
            log_decision(
                log,
                "server seen",
                server=server.id,
                service=server.service,
                state=server.state,
                started_ms=server.started_ms,
            )
        if is_current and _has_restarted(server, known):
            # Its entry names no start time, which tells its incarnations apart.
            self._leaving.pop(server.incarnation, None)
        self._by_id[server.id] = server
        self._clear_usable(server.service)
        if known is not None:
            self._clear_usable(known.service)
        if self.on_server is not None:
            self.on_server(server)
        is_start = known is None or known.started_ms != server.started_ms
        if is_start and server.state is ServerState.READY and self.on_start is not None:
            self.on_start(server)

    def remove(self, server_id):
        """Remove a server whose entry is gone, but not at once if an outage may be the cause."""
        server = self._by_id.get(server_id)
        if server is None:
            return
        now_ms = self._clock.now_ms()
        if self._outage or (self._grace_until_ms is not None and now_ms < self._grace_until_ms):
            self._missing.setdefault(server_id, math.inf if self._outage else self._grace_until_ms)
            log_decision(log, "entry missing after an outage", server=server_id)
            return
        self._drop(server, "entry removed")

    def misdirected(self, server):
        """Remove a server because another one answers at its address."""
        if self._by_id.get(server.id) is server:
            self._drop(server, "address used by another server")

    def outage_began(self):
        """Record that the store cannot be read."""
        if not self._outage:
            self._outage = True
            self._outage_began_ms = self._clock.now_ms()

    def outage_ended(self):
        """Record that the store can be read again."""
        if not self._outage:
            return
        self._outage = False
        now_ms = self._clock.now_ms()
        self._grace_until_ms = now_ms + REREGISTRATION_MS
        is_short = now_ms - self._outage_began_ms < SHORT_OUTAGE_MS
        for server_id, due_ms in self._missing.items():
            if not is_short or due_ms == math.inf:
                self._missing[server_id] = self._grace_until_ms

    def store_restored(self):
        """Record that the store came back from a copy, which may lack entries of live servers."""
        self._grace_until_ms = self._clock.now_ms() + REREGISTRATION_MS

    def _remove_expired(self):
        if self._outage:
            return
        now_ms = self._clock.now_ms()
        for server_id, due_ms in list(self._missing.items()):
            if now_ms >= due_ms:
                self._drop(self._by_id[server_id], "entry not back after an outage")

    def _drop(self, server, reason):
        del self._by_id[server.id]
        self._missing.pop(server.id, None)
        self._clear_usable(server.service)
        log_decision(log, "server gone", server=server.id, service=server.service, reason=reason)

    def _clear_usable(self, service):
        self._usable.pop(service, None)


def _has_restarted(server, known):
    """Return whether an entry without a start time is of a later start than the known one."""
    return known is not None and not server.started_ms and server.sequence < known.sequence
