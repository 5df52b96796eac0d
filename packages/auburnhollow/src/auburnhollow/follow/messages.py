"""Messages by which nodes exchange store state, and the packing of that state."""

from functools import lru_cache, singledispatch

from ..accounts import Account
from ..exceptions import ProtocolError
from ..peers.codec import Message, compress, decompress, register
from ..routes import Branch, FrontLimits, Route, RouteTable, Service
from ..servers import Server, ServerState
from .feed import (
    ConfigurationUpdate,
    EvacuationEnd,
    EvacuationUpdate,
    EvidenceUpdate,
    ServerRemoval,
    ServerUpdate,
    UnreadableEntry,
)

# Builds that know of no eras say ``None`` instead.
NO_REVISION = -1


@register("known-ask")
class StateAsk(Message):
    """Requests a node's known state of the store.

    ``version`` is the configuration version that the requester has, 0 for none. ``revision`` is the
    store revision of the servers that it knows, ``NO_REVISION`` for none. ``has_evacuations`` is
    set if it knows of evacuated data centres; builds that know of none can't answer it then.
    """

    __slots__ = ("version", "revision", "has_evacuations")
    DEFAULTS = {"has_evacuations": False}


@register("changes-ask")
class ChangesAsk(Message):
    """Requests the changes after ``revision``.

    ``wait_ms`` is the longest time to wait for the first change, in milliseconds.
    """

    __slots__ = ("revision", "wait_ms")


@register("changes")
class Changes(Message):
    """The changes up to ``revision`` as packed updates.

    ``updates`` is ``None`` when the changes since the requested revision are no longer kept.
    """

    __slots__ = ("revision", "updates")


@register("known")
class StateAnswer(Message):
    """A node's known state of the store.

    ``revision`` is the store revision of this state and ``age_ms`` the time since the store last
    confirmed it. ``table`` is the packed configuration and ``servers`` the packed servers; each is
    ``None`` when the requester already has the same or a newer state. ``evacuations`` lists what
    is known of evacuated data centres, as :meth:`~auburnhollow.gate.Evacuations.known`; ``None``
    from builds that know of none.
    """

    __slots__ = ("revision", "age_ms", "table", "servers", "evacuations")
    DEFAULTS = {"evacuations": None}


@lru_cache(maxsize=2)
def pack_table(table):
    """Return a :class:`~auburnhollow.routes.RouteTable` as compressed bytes.

    Results are cached because each change is sent to many nodes.
    """
    routes = []
    for route in table.routes:
        values = route.to_map()
        values["branches"] = [branch.to_list() for branch in route.branches]
        values["shards"] = list(route.shards)
        routes.append(Route(**values).to_short_list())
    services = [service.to_short_list() for service in table.services.values()]
    packed = [table.version, routes, services, table.limits.to_list()]
    if table.accounts:
        packed.append([account.to_short_list() for account in table.all_accounts])
    return compress(packed)


def unpack_table(data):
    """Return the :class:`~auburnhollow.routes.RouteTable` packed in ``data``.

    :raises ProtocolError: when ``data`` is not a packed route table.
    """
    try:
        return _table_from_lists(*decompress(data))
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"invalid packed configuration: {error!r}") from error


def _table_from_lists(version, route_lists, service_lists, limits, account_lists=()):
    routes = []
    for values in route_lists:
        route = Route.from_list(values)
        route.branches = tuple(Branch.from_list(branch) for branch in route.branches)
        route.shards = tuple(route.shards)
        route.homes = tuple(route.homes)
        routes.append(route)
    services = [Service.from_list(values) for values in service_lists]
    accounts = []
    for values in account_lists:
        account = Account.from_list(values)
        account.key_digests = tuple(account.key_digests)
        account.homes = tuple(account.homes)
        accounts.append(account)
    return RouteTable(version, routes, services, FrontLimits.from_list(limits), accounts)


def pack_servers(servers):
    """Return servers as compressed bytes."""
    return compress([_server_to_list(server) for server in servers])


def unpack_servers(data):
    """Return the list of servers packed in ``data``.

    :raises ProtocolError: when ``data`` is not a packed list of servers.
    """
    try:
        return [_server_from_list(values) for values in decompress(data)]
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"invalid packed servers: {error!r}") from error


def _server_to_list(server):
    values = server.to_map()
    values["state"] = server.state.value
    return list(values.values())


def _server_from_list(values):
    server = Server.from_list(values)
    server.state = ServerState(server.state)
    return server


@singledispatch
def pack_update(update):
    """Return an update as a list that msgpack can encode."""
    raise TypeError(type(update).__name__)


@pack_update.register
def _(update: ConfigurationUpdate):
    return ["configuration", pack_table(update.table)]


@pack_update.register
def _(update: ServerUpdate):
    return ["server", _server_to_list(update.server)]


@pack_update.register
def _(update: ServerRemoval):
    return ["gone", update.id]


@pack_update.register
def _(update: EvidenceUpdate):
    return ["evidence", update.to_list()]


@pack_update.register
def _(update: EvacuationUpdate):
    return ["evacuated", update.to_list()]


@pack_update.register
def _(update: EvacuationEnd):
    return ["evacuation-end", update.to_list()]


@pack_update.register
def _(update: UnreadableEntry):
    return ["unreadable", [update.key, update.reason]]


def unpack_update(packed):
    """Return the update packed by :func:`pack_update`.

    :raises ProtocolError: when ``packed`` is not a packed update.
    """
    try:
        kind, value = packed
        if kind == "configuration":
            return ConfigurationUpdate(table=unpack_table(value))
        if kind == "server":
            return ServerUpdate(server=_server_from_list(value))
        if kind == "gone":
            return ServerRemoval(id=value)
        if kind == "evidence":
            return EvidenceUpdate.from_list(value)
        if kind == "evacuated":
            return EvacuationUpdate.from_list(value)
        if kind == "evacuation-end":
            return EvacuationEnd.from_list(value)
        return UnreadableEntry.from_list(value)
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"invalid packed update: {error!r}") from error
