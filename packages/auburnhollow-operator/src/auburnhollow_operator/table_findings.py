"""Checks a routing configuration before it is sent: what is wrong, never used or contradictory.

A configuration with findings may still be valid: the store decides what it accepts, and this check
never refuses anything.
"""

from collections import Counter
from enum import StrEnum

from auburnhollow.records import Record

# Within this time a quota is judged; one that allows less than a request is no use to anybody.
QUOTA_WINDOW_S = 5.0
MAX_SHARE = 1.0


class Kind(StrEnum):
    """What is wrong with an entry."""

    ERROR = "error"
    NEVER_MATCHES = "never matches"
    CONTRADICTION = "contradiction"


class TableFinding(Record):
    """One finding: its :class:`Kind`, the place in the configuration and one sentence."""

    __slots__ = ("kind", "place", "text")

    def __str__(self):
        return f"{self.kind}: {self.place}: {self.text}"


def check_table(table, regions=None, servers=None):
    """Return a list of :class:`TableFinding`, in the order of the configuration.

    :param table: :class:`~auburnhollow.routes.RouteTable`.
    :param regions: names of the regions that exist, ``None`` if they are not known.
    :param servers: dictionary of service names to the set of regions of their servers, ``None`` if
        they are not known.
    """
    found = []
    _check_names(table, found)
    _check_matching(table, found)
    for route in table.routes:
        place = f"routes[{route.name}]"
        _check_services(table, route, servers, place, found)
        _check_limits(route, place, found)
        _check_homes(route, regions, servers, place, found)
    _check_accounts(table, regions, found)
    return found


def _add(found, kind, place, text):
    found.append(TableFinding(kind=kind, place=place, text=text))


def _check_names(table, found):
    for name, count in Counter(route.name for route in table.routes).items():
        if count > 1:
            _add(found, Kind.ERROR, f"routes[{name}]", f"{count} routes have this name")


def _check_matching(table, found):
    """Find routes that no request can reach."""
    winners = {(route.host, route.prefix): route for route in table.routes}
    for route in table.routes:
        place = f"routes[{route.name}].prefix"
        winner = winners[route.host, route.prefix]
        if winner is not route:
            text = f"{winner.name} has the same host and prefix and comes later"
            _add(found, Kind.NEVER_MATCHES, place, text)
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            text = f"{route.prefix!r} does not begin and end with a slash"
            _add(found, Kind.NEVER_MATCHES, place, text)
        elif any(character in route.prefix for character in "?# "):
            text = f"{route.prefix!r} has a character that no path has"
            _add(found, Kind.NEVER_MATCHES, place, text)
        if ":" in route.host or not route.host:
            text = f"{route.host!r} is no host name without port"
            _add(found, Kind.NEVER_MATCHES, f"routes[{route.name}].host", text)


def _check_services(table, route, servers, place, found):
    names = route.shards or tuple(branch.service for branch in route.branches)
    if not names:
        _add(found, Kind.ERROR, place, "it names no service")
    for name, count in Counter(names).items():
        if name not in table.services:
            _add(found, Kind.ERROR, place, f"service {name} is not configured")
        elif servers is not None and not servers.get(name):
            _add(found, Kind.NEVER_MATCHES, place, f"service {name} has no servers now")
        if count > 1:
            _add(found, Kind.ERROR, place, f"service {name} is named {count} times")
    if route.shards:
        return
    if route.branches and sum(branch.weight for branch in route.branches) <= 0:
        _add(found, Kind.ERROR, place, "the weights of its branches add up to nothing")
        return
    for branch in route.branches:
        if branch.weight == 0:
            text = f"the branch to {branch.service} has weight 0"
            _add(found, Kind.NEVER_MATCHES, place, text)


def _check_limits(route, place, found):
    if route.objective_ms > route.time_limit_ms:
        text = f"the objective of {route.objective_ms} ms is over the limit of"
        _add(found, Kind.CONTRADICTION, place, f"{text} {route.time_limit_ms} ms")
    if route.time_limit_ms <= 0 or route.objective_ms <= 0:
        _add(found, Kind.ERROR, place, "objective and time limit must be more than 0 ms")
    if route.attempts < 1:
        _add(found, Kind.ERROR, place, "no attempt is allowed")
    if not route.shards:
        return
    if route.least_share > MAX_SHARE:
        text = f"{route.least_share} of the shards can't answer"
        _add(found, Kind.CONTRADICTION, place, text)
    if route.most_records < 1:
        _add(found, Kind.ERROR, place, "an answer holds no record")
    if not route.repeatable:
        _add(found, Kind.ERROR, place, "searches over shards must be repeatable")


def _check_homes(route, regions, servers, place, found):
    _check_regions(route.homes, regions, f"{place}.homes", found)
    if not route.homes or servers is None:
        return
    for name in route.shards or tuple(branch.service for branch in route.branches):
        places = servers.get(name)
        # A server in a data centre whose region is not known may be at home.
        if places and None not in places and not places.intersection(route.homes):
            text = f"service {name} has no servers in {', '.join(route.homes)}"
            _add(found, Kind.NEVER_MATCHES, f"{place}.homes", text)


def _check_regions(homes, regions, place, found):
    for home in homes:
        if regions is not None and home not in regions:
            _add(found, Kind.ERROR, place, f"there is no region {home}")


def _check_accounts(table, regions, found):
    holders = {}
    has_keyed_routes = any(not route.is_public for route in table.routes)
    for account in table.accounts.values():
        place = f"accounts[{account.name}]"
        if not account.key_digests:
            _add(found, Kind.NEVER_MATCHES, place, "it has no key")
        for digest in account.key_digests:
            holder = holders.setdefault(digest, account.name)
            if holder != account.name:
                text = f"one of its keys belongs to {holder} as well, which comes first"
                _add(found, Kind.NEVER_MATCHES, place, text)
        _check_quota(account, place, found)
        _check_regions(account.homes, regions, f"{place}.homes", found)
        _check_reach(table, account, place, found)
        if not has_keyed_routes:
            _add(found, Kind.NEVER_MATCHES, place, "all routes are public")


def _check_quota(account, place, found):
    if account.rate_per_s is None:
        if account.burst:
            text = f"a burst of {account.burst} without a rate limits nothing"
            _add(found, Kind.CONTRADICTION, place, text)
        return
    if account.rate_per_s * QUOTA_WINDOW_S + account.burst < 1:
        text = f"its quota allows less than one request in {QUOTA_WINDOW_S:g} s"
        _add(found, Kind.CONTRADICTION, place, text)


def _check_reach(table, account, place, found):
    """Find accounts whose homes leave no server for some routes."""
    if not account.homes:
        return
    for route in table.routes:
        if route.homes and not set(route.homes).intersection(account.homes):
            text = f"it shares no home region with route {route.name}: its requests are rejected"
            _add(found, Kind.CONTRADICTION, f"{place}.homes", text)
