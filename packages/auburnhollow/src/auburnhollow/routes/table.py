"""Finds the route of a request."""

from .split import Split


class RouteTable:
    """All routes of one version of the configuration.

    :param version: number of the configuration; a higher one is newer.
    :param routes: list of :class:`~auburnhollow.routes.Route`.
    :param services: list of :class:`~auburnhollow.routes.Service`.
    :param limits: :class:`~auburnhollow.routes.FrontLimits`.
    :param accounts: list of :class:`~auburnhollow.accounts.Account`; empty if callers need no key.

    ``accounts`` maps names to accounts; of several of one name it has the last. ``all_accounts``
    has each of them, since each has keys. ``has_homes`` tells whether any route or account is bound
    to regions.
    """

    __slots__ = (
        "_by_key",
        "_by_name",
        "_by_prefix",
        "_splits",
        "accounts",
        "all_accounts",
        "has_homes",
        "limits",
        "routes",
        "services",
        "version",
    )

    def __init__(self, version, routes, services, limits, accounts=()):
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        self._by_name = {route.name: route for route in routes}
        self._by_prefix = {(route.host, route.prefix): route for route in routes}
        self._splits = {}
        self.all_accounts = tuple(accounts)
        self.accounts = {account.name: account for account in accounts}
        bound = (*self.routes, *self.accounts.values())
        self.has_homes = any(each.homes for each in bound)
        self._by_key = {}
        for account in accounts:
            for key_digest in account.key_digests:
                # A key in two accounts belongs to the first, on all nodes alike.
                self._by_key.setdefault(key_digest, account)

    def account_of(self, key_digest):
        """Return the :class:`~auburnhollow.accounts.Account` that holds a key, or ``None``.

        :param key_digest: digest of the key, see :func:`~auburnhollow.accounts.digest_of`.
        """
        return self._by_key.get(key_digest)

    def find(self, host, path):
        """Return the route of ``host`` with the longest matching prefix, or ``None``.

        Prefixes end with a slash.

        :param host: host name without port, in lower case.
        :param path: path as sent, without the query.
        """
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def branch(self, route, random):
        """Return the service for the next request of a route with branches.

        A request may have waited since its route was found, in a table of before; its branches
        must not become those of this table.
        """
        own = self._by_name.get(route.name)
        if own is None or own.branches != route.branches:
            return Split(route.branches, random).next()
        split = self._splits.get(route.name)
        if split is None:
            split = Split(route.branches, random)
            self._splits[route.name] = split
        return split.next()

    def take_over(self, older):
        """Continue the round-robin of ``older`` for routes whose branches have not changed."""
        before = {route.name: route.branches for route in older.routes}
        for route in self.routes:
            split = older._splits.get(route.name)
            if split is not None and before.get(route.name) == route.branches:
                self._splits[route.name] = split
