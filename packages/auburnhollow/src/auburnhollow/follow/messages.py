"""What nodes tell each other of the store when one of them can't reach it."""

from ..peers.codec import Message, register
from ..routes import Branch, FrontLimits, Route, RouteTable, Service
from ..servers import Server, ServerState


@register("known-ask")
class KnownAsk(Message):
    """Asks what a node knows; ``version`` is the configuration that the asker has, 0 for none."""

    __slots__ = ("version",)


@register("known")
class Known(Message):
    """What a node knows.

    ``age_ms`` is the time since the store confirmed it, ``table`` the configuration as plain lists
    or ``None`` when the asker has it, ``servers`` the servers as plain lists.
    """

    __slots__ = ("age_ms", "table", "servers")


def pack_table(table):
    """Return a :class:`~auburnhollow.routes.RouteTable` as plain lists."""
    routes = []
    for route in table.routes:
        values = route.to_map()
        values["branches"] = [branch.to_list() for branch in route.branches]
        values["shards"] = list(route.shards)
        routes.append(list(values.values()))
    services = [service.to_list() for service in table.services.values()]
    return [table.version, routes, services, table.limits.to_list()]


def unpack_table(values):
    """Return the :class:`~auburnhollow.routes.RouteTable` in plain lists.

    :raises ValueError: when it is none.
    """
    version, route_lists, service_lists, limits = values
    routes = []
    for each in route_lists:
        route = Route.from_list(each)
        route.branches = tuple(Branch.from_list(branch) for branch in route.branches)
        route.shards = tuple(route.shards)
        routes.append(route)
    services = [Service.from_list(each) for each in service_lists]
    return RouteTable(version, routes, services, FrontLimits.from_list(limits))


def pack_servers(servers):
    """Return servers as plain lists."""
    packed = []
    for server in servers:
        values = server.to_map()
        values["state"] = server.state.value
        packed.append(list(values.values()))
    return packed


def unpack_servers(lists):
    """Return the servers in plain lists.

    :raises ValueError: when they are none.
    """
    servers = []
    for each in lists:
        server = Server.from_list(each)
        server.state = ServerState(server.state)
        servers.append(server)
    return servers
