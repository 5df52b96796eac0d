"""Client accounts, as configured by operators."""

import hashlib

from ..records import Record


class Account(Record):
    """A client account: whoever sends one of its keys asks in its name.

    ``key_digests`` is a tuple of :func:`digest_of` of its keys; a key itself is never held.
    ``urgency`` goes before that of a route, ``None`` to leave it to the route. Over all nodes,
    ``rate_per_s`` requests per second and ``burst`` more at once are admitted, ``None`` for any
    number. ``homes`` are the regions whose servers may get its requests, empty for any.
    """

    __slots__ = ("name", "key_digests", "urgency", "rate_per_s", "burst", "homes")
    DEFAULTS = {"urgency": None, "rate_per_s": None, "burst": 0.0, "homes": ()}


def digest_of(key):
    """Return the digest by which a key is known, as hexadecimal text."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def urgency_of(account, route, table):
    """Return the urgency of a request: that of its account, otherwise that of its route.

    :param account: name of the client account, or ``None``.
    :param table: the :class:`~auburnhollow.routes.RouteTable` in force.
    """
    known = table.accounts.get(account)
    if known is None or known.urgency is None:
        return route.urgency
    return known.urgency
