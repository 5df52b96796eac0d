"""What nodes tell each other of the store when one of them can't reach it."""

from functools import lru_cache, singledispatch

from ..exceptions import ProtocolError
from ..peers.codec import Message, compress, decompress, register
from ..routes import Branch, FrontLimits, Route, RouteTable, Service
from ..servers import Server, ServerState
from .feed import ConfigurationUpdate, ServerRemoval, ServerUpdate, UnreadableEntry


@register("known-ask")
class KnownAsk(Message):
    """Asks what a node knows.

    ``version`` is the configuration that the asker has, 0 for none; ``revision`` the store's up to
    which it has heard of servers, ``None`` for none.
    """

    __slots__ = ("version", "revision")


@register("changes-ask")
class ChangesAsk(Message):
    """Asks what has changed after ``revision``, waiting up to ``wait_ms`` for the first change."""

    __slots__ = ("revision", "wait_ms")


@register("changes")
class Changes(Message):
    """What has changed up to ``revision``, as packed statements; ``None`` when it is not kept."""

    __slots__ = ("revision", "updates")


@register("known")
class Known(Message):
    """What a node knows.

    ``revision`` is the store's up to which it holds, ``age_ms`` the time since the store confirmed
    it, ``table`` the packed configuration, ``servers`` the packed servers. Both are ``None`` when
    the asker has them, or a newer state.
    """

    __slots__ = ("revision", "age_ms", "table", "servers")


@lru_cache(maxsize=2)
def pack_table(table):
    """Return a :class:`~auburnhollow.routes.RouteTable` as bytes.

    The last ones are kept: each change goes to many nodes.
    """
    routes = []
    for route in table.routes:
        values = route.to_map()
        values["branches"] = [branch.to_list() for branch in route.branches]
        values["shards"] = list(route.shards)
        routes.append(list(values.values()))
    services = [service.to_list() for service in table.services.values()]
    return compress([table.version, routes, services, table.limits.to_list()])


def unpack_table(data):
    """Return the packed :class:`~auburnhollow.routes.RouteTable`.

    :raises ProtocolError: when it is none.
    """
    try:
        return _table_of(*decompress(data))
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"not a configuration: {error!r}") from error


def _table_of(version, route_lists, service_lists, limits):
    routes = []
    for each in route_lists:
        route = Route.from_list(each)
        route.branches = tuple(Branch.from_list(branch) for branch in route.branches)
        route.shards = tuple(route.shards)
        routes.append(route)
    services = [Service.from_list(each) for each in service_lists]
    return RouteTable(version, routes, services, FrontLimits.from_list(limits))


def pack_servers(servers):
    """Return servers as bytes."""
    return compress([_plain(server) for server in servers])


def unpack_servers(data):
    """Return the packed servers.

    :raises ProtocolError: when they are none.
    """
    try:
        return [_server_of(values) for values in decompress(data)]
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"not servers: {error!r}") from error


def _plain(server):
    values = server.to_map()
    values["state"] = server.state.value
    return list(values.values())


def _server_of(values):
    server = Server.from_list(values)
    server.state = ServerState(server.state)
    return server


@singledispatch
def pack_update(update):
    """Return a statement of the store as a plain list."""
    raise TypeError(type(update).__name__)


@pack_update.register
def _(update: ConfigurationUpdate):
    return ["configuration", pack_table(update.table)]


@pack_update.register
def _(update: ServerUpdate):
    return ["server", _plain(update.server)]


@pack_update.register
def _(update: ServerRemoval):
    return ["gone", update.id]


@pack_update.register
def _(update: UnreadableEntry):
    return ["unreadable", [update.key, update.reason]]


def unpack_update(packed):
    """Return the statement in a plain list.

    :raises ProtocolError: when it is none.
    """
    try:
        kind, value = packed
        if kind == "configuration":
            return ConfigurationUpdate(table=unpack_table(value))
        if kind == "server":
            return ServerUpdate(server=_server_of(value))
        if kind == "gone":
            return ServerRemoval(id=value)
        return UnreadableEntry.from_list(value)
    except (TypeError, ValueError) as error:
        raise ProtocolError(f"not a statement: {error!r}") from error
