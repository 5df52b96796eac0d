"""Decides which servers may get a request, and is the only one to hand requests to the client."""

from ..exceptions import BackendWithheld
from .reasons import Reason

MAX_CACHED = 4_096


class Gate:
    """Stands between all that sends and the servers.

    Answers facts that change while a request waits: an evacuation, a configuration with other
    homes, a server that leaves, holds off, turns cold or is replaced. First sends, retries, hedges,
    trials, subqueries and delegated requests all pass it, as only the gate holds the client that
    writes.

    :param client: :class:`~auburnhollow.relay.ServerClient`.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param homes: :class:`Homes`.
    :param evacuations: :class:`Evacuations`.
    :param cold: :class:`ColdServers`.
    :param hold_offs: :class:`~auburnhollow.limits.HoldOffs`.

    >>> gate.servers("search-3", ("north",))
    [Server(id='i-1', ...)]
    """

    __slots__ = (
        "_cached",
        "_client",
        "_metrics",
        "_registry",
        "cold",
        "evacuations",
        "hold_offs",
        "homes",
    )

    def __init__(self, client, registry, metrics, homes, evacuations, cold, hold_offs):
        self._client = client
        self._registry = registry
        self._metrics = metrics
        self._cached = {}
        self.homes = homes
        self.evacuations = evacuations
        self.cold = cold
        self.hold_offs = hold_offs

    def use_client(self, client):
        """Send through another :class:`~auburnhollow.relay.ServerClient` from now on."""
        self._client = client

    def servers(self, service, homes=None):
        """Return the servers of a service that may get a request; do not modify the list.

        :param homes: regions whose servers may get it, ``None`` for any.
        """
        usable = self._registry.usable(service)
        if homes is None and not self.evacuations:
            return usable
        key = (service, homes)
        known = self._cached.get(key)
        version = self.evacuations.version
        if known is not None and known[0] is usable and known[1] == version:
            return known[2]
        found = [server for server in usable if self._place_reason(server, homes) is None]
        if len(self._cached) >= MAX_CACHED:
            self._cached.clear()
        self._cached[key] = (usable, version, found)
        return found

    def servers_for(self, request, service):
        """Return the servers of a service that may get ``request`` now."""
        return self.servers(service, self.homes.now(request))

    def may_hold(self, request, data_centre):
        """Return whether a node of a data centre may get the body of a request."""
        return self.homes.include(self.homes.now(request), data_centre)

    def reason(self, server, homes=None):
        """Return the :class:`Reason` why a server may not get a request, ``None`` if it may.

        :param homes: regions whose servers may get it, ``None`` for any.
        """
        place_reason = self._place_reason(server, homes)
        if place_reason is not None:
            return place_reason
        known = self._registry.find(server.incarnation)
        if known is None:
            return Reason.GONE
        return None if self._registry.is_ready(known) else Reason.LEAVING

    async def send(
        self, server, request, remaining_ms, keep_alive=True, on_write=None, cold_turn=None
    ):
        """Send ``request`` to ``server`` if it may get it now, and return its complete answer.

        See :meth:`~auburnhollow.relay.ServerClient.send`.

        :param cold_turn: what ``cold.turns`` gave for the server when its turn was taken.
        :raises BackendWithheld: if it may not; nothing was sent.
        """
        self._check(server, request, cold_turn)

        def check_and_write():
            # Opening a connection takes time.
            self._check(server, request, cold_turn)
            if on_write is not None:
                on_write()

        return await self._client.send(
            server, request, remaining_ms, keep_alive=keep_alive, on_write=check_and_write
        )

    async def can_connect(self, server):
        """Return whether ``server`` accepts a connection; nothing is sent on it."""
        return await self._client.can_connect(server)

    def _check(self, server, request, cold_turn):
        reason = self.reason(server, self.homes.now(request))
        if reason is None and len(self.hold_offs) and self.hold_offs.wait_ms(server.incarnation):
            reason = Reason.HOLDS_OFF
        if reason is None:
            turns = self.cold.turns(server.incarnation)
            if turns is None or turns is cold_turn:
                return
            reason = Reason.COLD_TURN
        self._metrics.incr_labelled("gate.withheld", reason=str(reason))
        raise BackendWithheld(f"{server.id}: {reason}")

    def _place_reason(self, server, homes):
        if not self.homes.include(homes, server.data_centre):
            return Reason.OUT_OF_HOME
        if server.data_centre in self.evacuations:
            return Reason.EVACUATED
        return None
