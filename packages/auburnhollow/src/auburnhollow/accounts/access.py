"""Decides in whose name a request is made, or that it may not be made.

Load that it answers: every request of a deployment with client accounts; one hash and two look-ups
each. It keeps no state of its own: a withdrawn key stops with the configuration that lacks it.
"""

from ..exceptions import NotReady, Ran, Unauthorized, Unavailable

# A node that has lost the store asks its peers every few hundred milliseconds.
RETRY_MS = 500.0


class Access:
    """Names the client account of requests, and refuses those that need a key and have none.

    :param max_age_ms: a node whose state is older than this refuses keyed requests, because it may
        not know of a withdrawn key; ``None`` to go on with the newest known state.

    >>> access.admit(request, route, table, follower.age_ms)
    >>> request.account
    'desk'
    """

    __slots__ = ("max_age_ms",)

    def __init__(self, max_age_ms=None):
        self.max_age_ms = max_age_ms

    def admit(self, request, route, table, age_ms):
        """Set ``account`` and the headers of a caller's request.

        :param table: the :class:`~auburnhollow.routes.RouteTable` in force.
        :param age_ms: time since the store last confirmed it, ``None`` if it never did.
        :raises Unauthorized: if the route needs a key and the request has none that is known.
        :raises NotReady: if the state is too old to tell.
        """
        withheld, request.withheld = request.withheld, ()
        request.account = None
        if not table.accounts:
            request.headers = [*request.headers, *withheld]
            return
        account = table.account_of(request.key_digest)
        if account is not None:
            request.account = account.name
        if route.is_public:
            return
        if account is None:
            raise Unauthorized("this route needs a known key")
        if self.max_age_ms is not None and (age_ms is None or age_ms > self.max_age_ms):
            raise NotReady(
                "whether the key is still valid is not known here", retry_after_ms=RETRY_MS
            )

    def check_helped(self, account, route, table):
        """Check the request of another node, which names its account.

        Which of both nodes has the newer configuration is not known, so the caller is not told that
        its key is wrong.

        :param account: name of the client account, or ``None``.
        :raises Unavailable: if the configuration of this node does not allow the request.
        """
        if not table.accounts:
            return
        if account is None and route.is_public:
            return
        if account not in table.accounts:
            raise Unavailable(
                "this node knows no such client account", ran=Ran.NO, retry_after_ms=RETRY_MS
            )
