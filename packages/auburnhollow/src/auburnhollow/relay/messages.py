"""Requests and answers, which the relay forwards without interpreting them."""

from ..quarantine import fingerprint_of
from ..records import Record, Referable


class Request(Record):
    """A caller's request; method, target, headers and body are forwarded unchanged.

    ``target`` is the path with the query, as received. ``headers`` are pairs of strings, without
    the hop-by-hop headers. ``caller`` identifies the caller. ``received_ms`` and ``limit_ms`` are
    times of the node's clock, in milliseconds: when the request was received, and its deadline,
    after which the caller no longer waits.

    ``key_digest`` is the digest of the caller's key, ``account`` the name of the client account
    that holds it, ``homes`` the regions whose servers may get the request; each is ``None`` where
    it does not apply. ``withheld`` are headers that are forwarded only if no client accounts are
    configured. ``connect_ms`` is how long the caller has waited for a new connection before, in
    milliseconds.
    """

    __slots__ = (
        "id",
        "caller",
        "method",
        "host",
        "target",
        "headers",
        "body",
        "received_ms",
        "limit_ms",
        "key_digest",
        "account",
        "homes",
        "withheld",
        "connect_ms",
    )
    DEFAULTS = {
        "key_digest": None,
        "account": None,
        "homes": None,
        "withheld": (),
        "connect_ms": 0.0,
    }

    @property
    def fingerprint(self):
        """A hash of the fields that stay the same whenever the request is sent again.

        The query may differ, and so may the route that a new configuration has for the path. The
        caller is left out: one caller may come from several addresses, and several callers may send
        the same request.
        """
        return fingerprint_of(self.path, self.body.hex())

    @property
    def path(self):
        """The target without the query."""
        return self.target.partition("?")[0]


class Answer(Record, Referable):
    """A backend server's complete answer.

    ``signature`` is the server's signature of the answer, or ``None``; ``load`` is the number of
    requests that the server reports to have, or ``None``; ``notice`` is a
    :class:`~auburnhollow.limits.Notice`, or ``None`` if nothing is known; ``slowness`` is how many
    times as long as usual work takes on the server's machine now, or ``None``.
    """

    __slots__ = ("status", "headers", "body", "signature", "load", "notice", "slowness")
    DEFAULTS = {"notice": None, "slowness": None}

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


class Merged(Record):
    """The greatest records of the shards that answered.

    ``signatures`` has one entry for each shard that answered, ``missing`` counts the others.
    """

    __slots__ = ("body", "signatures", "missing")
