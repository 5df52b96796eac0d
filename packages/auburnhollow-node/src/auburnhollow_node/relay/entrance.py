"""The steps of a request between its route and its dispatch."""

from contextlib import contextmanager

from auburnhollow.accounts import urgency_of
from auburnhollow.accounts.access import Access
from auburnhollow.accounts.ledger import QuotaBounds
from auburnhollow.accounts.quota import Quota
from auburnhollow.accounts.quota_messages import QuotaAsk
from auburnhollow.accounts.tight_gossip import TightGossip
from auburnhollow.admission import Ask, Entry
from auburnhollow.exceptions import QueryError, Ran
from auburnhollow.relay.dispatcher import min_shards
from auburnhollow.relay.fanout import ANSWER_MS


class Entrance:
    """Asks of each request who makes it, whether it may now, where, and whether there is room.

    :param settings: :class:`~auburnhollow_node.relay.settings.RelaySettings`.
    :param fleet: :class:`~auburnhollow_node.fleet.Fleet`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param random: a :class:`random.Random`.
    :param known_nodes: number of nodes that exist even if none has been seen yet.

    ``follower`` is the :class:`~auburnhollow.follow.Follower`, which knows the configuration; it
    must be set before the first request. ``quota`` is the
    :class:`~auburnhollow.accounts.quota.Quota` of all client accounts.
    """

    __slots__ = ("_access", "_dispatcher", "_entry", "follower", "quota")

    def __init__(self, settings, fleet, peers, dispatcher, random, known_nodes):
        clock, metrics = dispatcher.clock, dispatcher.metrics
        self._dispatcher = dispatcher
        self._access = Access(settings.revoke_ms if settings.strict_revoke else None)
        self._entry = Entry(clock, random, dispatcher.room, dispatcher.gate.servers, metrics)
        bounds = QuotaBounds(
            window_ms=settings.quota_window_ms,
            excess=settings.quota_excess,
            slack=settings.quota_slack,
        )
        self.quota = Quota(bounds, peers, fleet.membership, clock, metrics, known_nodes)
        TightGossip(self.quota, settings.id, fleet.gossiper, fleet.table, clock)
        self.follower = None

    @property
    def waiting(self):
        """The number of requests that wait for room."""
        return self._entry.waiting

    def register_handlers(self, peer_server):
        """Answer other nodes' questions for the quotas that this node owns."""
        peer_server.on(QuotaAsk, self.quota.answer)

    async def admit(self, request, route):
        """Name a request's client account and take one of its tokens; set where it may go.

        :raises QueryError: if the request has no valid key, or its account no token.
        """
        follower = self.follower
        self._access.admit(request, route, follower.routes, follower.age_ms)
        await self.quota.admit(request.account)
        self._dispatcher.gate.homes.enter(request, route)

    def admit_again(self, request, route):
        """Ask by a new configuration who makes an admitted request and where it may go.

        :raises QueryError: if its key has been withdrawn meanwhile.
        """
        follower = self.follower
        self._access.admit(request, route, follower.routes, follower.age_ms)
        self._dispatcher.gate.homes.enter(request, route)

    def admit_delegated(self, request, route):
        """Check a request that another node has admitted, and narrow where it may go.

        :raises QueryError: if this node's configuration does not allow the request.
        """
        self._access.check_helped(request.account, route, self.follower.routes)
        self._dispatcher.gate.homes.enter(request, route)

    def admit_subquery(self, request):
        """Refuse a subquery in the name of a client account that this node does not know."""
        table = self.follower.routes
        if table is not None and request.account is not None:
            self._access.check_helped(request.account, None, table)

    @contextmanager
    def token(self, request):
        """Run the block with the token of a request, given back if no server has run it."""
        try:
            yield
        except QueryError as error:
            if error.ran is Ran.NO:
                self.quota.give_back(request.account)
            raise

    async def let_in(self, request, route, services, is_repeat):
        """Wait until the servers have room for a request; one that may have run is not refused.

        :raises Overloaded: if they will not have any in time.
        """
        dispatcher = self._dispatcher
        if is_repeat or not dispatcher.is_short_of_room:
            return
        ask = Ask(
            id=request.id,
            route=route.name,
            account=request.account,
            homes=request.homes,
            urgency=urgency_of(request.account, route, self.follower.routes),
            services=services,
            least=min_shards(route) if route.shards else 1,
            work_ms=dispatcher.room.work_ms(route.name, dispatcher.times(route).work_ms),
            received_ms=request.received_ms,
            objective_ms=route.objective_ms - ANSWER_MS,
        )
        await self._entry.let_in(ask)
