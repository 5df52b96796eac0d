"""Home regions: where requests may be sent."""


def common_homes(*groups):
    """Return the regions that are in all groups, ``None`` for any region.

    :param groups: tuples of region names; ``None`` stands for any region, and so does an empty
        tuple in a configuration, which the caller has to turn into ``None``.

    >>> common_homes(None, ("north", "east"), ("east",))
    ('east',)
    """
    found = None
    for homes in groups:
        if homes is None:
            continue
        found = tuple(homes) if found is None else tuple(one for one in found if one in homes)
    return found


class Homes:
    """The home regions of requests by the configuration in force.

    Answers requests whose route or client account is bound to regions: only servers there may get
    them, and only nodes there their bodies.

    :param regions: dictionary of data centres to regions.

    ``routes`` is a function that returns the :class:`~auburnhollow.routes.RouteTable` in force, or
    ``None``.
    """

    __slots__ = ("_regions", "routes")

    def __init__(self, regions):
        self._regions = regions
        self.routes = lambda: None

    def enter(self, request, route):
        """Set the homes of a request that has reached this node, by its route and account.

        Homes that another node has set for it remain in force.
        """
        request.homes = common_homes(request.homes, self._of(route, request.account))

    def now(self, request):
        """Return the homes of a request: those it entered with, and those in force now."""
        table = self.routes()
        if table is None or not table.has_homes:
            return request.homes
        route = table.find(request.host, request.path)
        in_force = self._of(route, request.account)
        # Most requests have no homes, and the others the same ones as they entered with.
        return request.homes if in_force is None else common_homes(request.homes, in_force)

    def include(self, homes, data_centre):
        """Return whether a data centre lies in one of the regions ``homes``."""
        return homes is None or self._regions.get(data_centre) in homes

    def _of(self, route, account_name):
        table = self.routes()
        account = None if table is None else table.accounts.get(account_name)
        route_homes = getattr(route, "homes", ()) or None
        account_homes = getattr(account, "homes", ()) or None
        return common_homes(route_homes, account_homes)
