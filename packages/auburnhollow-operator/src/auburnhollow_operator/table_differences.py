"""Differences between two routing configurations."""

from auburnhollow.configuration import differences

# Enough to tell two keys apart; the key itself is not known here.
DIGEST_CHARS = 8


def table_differences(before, after):
    """Return a list of :class:`~auburnhollow.configuration.Difference`, without the versions.

    :param before: :class:`~auburnhollow.routes.RouteTable` in force, ``None`` if there is none.
    :param after: the :class:`~auburnhollow.routes.RouteTable` to send.
    """
    return differences(_document_of(before), _document_of(after))


def _document_of(table):
    if table is None:
        return {}
    accounts = []
    for account in table.accounts.values():
        values = account.to_map()
        values["key_digests"] = [digest[:DIGEST_CHARS] for digest in account.key_digests]
        accounts.append(values)
    routes = []
    for route in table.routes:
        values = route.to_map()
        values["branches"] = {branch.service: branch.weight for branch in route.branches}
        routes.append(values)
    return {
        "routes": routes,
        "services": [service.to_map() for service in table.services.values()],
        "accounts": accounts,
        "limits": table.limits.to_map(),
    }
