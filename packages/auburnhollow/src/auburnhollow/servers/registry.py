"""Backend servers as they register themselves, through outages of the register."""

import logging
from enum import StrEnum

from ..decisions import decide
from ..records import Record

log = logging.getLogger("servers")

# Servers register anew within two seconds after an outage; the rest is for their way here.
RETURN_MS = 2_500.0


class ServerState(StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Server(Record):
    """One start of a backend server.

    ``started_ms`` is the wall clock time of its start, ``sequence`` counts what it has said since;
    both order its statements. ``warm_up_ms`` is how much longer it is slower than usual, counted
    from the statement.
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
        """The id and the start, which tell a restart under the same id."""
        return (self.id, self.started_ms)

    def is_older_than(self, other):
        """Return whether this statement was made before ``other``."""
        if self.started_ms != other.started_ms:
            return self.started_ms < other.started_ms
        return self.sequence < other.sequence


class ServerRegistry:
    """The backend servers, by service.

    A server whose entry is removed gets no new work. Entries that lapse in an outage of the
    register are kept until the servers have had time to come back.

    :param clock: :class:`~auburnhollow.clock.Clock`.

    >>> registry.put(server)
    >>> registry.usable("search-3")
    [Server(id='i-1', ...)]
    """

    __slots__ = ("_by_id", "_clock", "_doubtful_ms", "_missing", "_outage", "_usable")

    def __init__(self, clock):
        self._clock = clock
        self._by_id = {}
        self._missing = {}
        self._usable = {}
        self._outage = False
        self._doubtful_ms = None

    def __len__(self):
        return len(self._by_id)

    @property
    def servers(self):
        """All servers that are known, whatever their state."""
        return list(self._by_id.values())

    def usable(self, service):
        """Return the servers of a service that may get new work; the list is not to be changed."""
        if self._missing:
            self._remove_overdue()
        found = self._usable.get(service)
        if found is None:
            found = []
            for server in self._by_id.values():
                if server.service == service and server.state is ServerState.READY:
                    found.append(server)
            self._usable[service] = found
        return found

    def knows(self, server):
        """Return whether this start of a server is still known."""
        known = self._by_id.get(server.id)
        return known is not None and known.incarnation == server.incarnation

    def replace(self, servers):
        """Take the whole content of the register."""
        listed = set()
        for server in servers:
            listed.add(server.id)
            self.put(server)
        for name in [name for name in self._by_id if name not in listed]:
            self.remove(name)

    def put(self, server):
        """Take what a server says of itself."""
        known = self._by_id.get(server.id)
        self._missing.pop(server.id, None)
        if known is not None and server.is_older_than(known):
            decide(log, "statement ignored", server=server.id, reason="older than known")
            return
        if known is None or (known.state, known.started_ms) != (server.state, server.started_ms):
            decide(
                log,
                "server seen",
                server=server.id,
                service=server.service,
                state=server.state,
                started_ms=server.started_ms,
            )
        self._by_id[server.id] = server
        self._forget_service(server.service)
        if known is not None:
            self._forget_service(known.service)

    def remove(self, name):
        """Take that a server's entry is no longer in the register."""
        server = self._by_id.get(name)
        if server is None:
            return
        now_ms = self._clock.now_ms()
        if self._outage or (self._doubtful_ms is not None and now_ms < self._doubtful_ms):
            self._missing.setdefault(name, now_ms)
            decide(log, "entry missing after an outage", server=name)
            return
        self._drop(server, "entry removed")

    def misdirected(self, server):
        """Take that another server answers at the address of this one."""
        if self._by_id.get(server.id) is server:
            self._drop(server, "address used by another server")

    def outage_began(self):
        """Take that the register can't be read."""
        self._outage = True

    def outage_ended(self):
        """Take that the register can be read again."""
        if self._outage:
            self._outage = False
            self._doubtful_ms = self._clock.now_ms() + RETURN_MS

    def _remove_overdue(self):
        if self._outage or self._clock.now_ms() < self._doubtful_ms:
            return
        missing, self._missing = self._missing, {}
        for name in missing:
            self._drop(self._by_id[name], "entry not back after an outage")

    def _drop(self, server, reason):
        del self._by_id[server.id]
        self._missing.pop(server.id, None)
        self._forget_service(server.service)
        decide(log, "server gone", server=server.id, service=server.service, reason=reason)

    def _forget_service(self, service):
        self._usable.pop(service, None)
