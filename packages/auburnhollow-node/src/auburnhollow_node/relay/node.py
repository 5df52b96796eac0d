"""A relay node: creates its components and connects them."""

import asyncio
import logging
import math
import random
import resource

from auburnhollow.clock import Clock
from auburnhollow.decisions import log_decision
from auburnhollow.events import Recorder
from auburnhollow.exceptions import NoRoute, NotReady, PeerError, QueryError, TooLarge
from auburnhollow.follow import (
    ChangeServer,
    Follower,
    SharedFeed,
    StateExchange,
    StoreComparison,
)
from auburnhollow.follow.messages import ChangesAsk, StateAsk
from auburnhollow.follow.revision_gossip import RevisionGossip
from auburnhollow.follow.sharing import MAX_DIRECT_NODES
from auburnhollow.follow.version_gossip import VersionGossip
from auburnhollow.gate import ColdServers, EvacuationGossip, Evacuations, Gate, Homes
from auburnhollow.hashing import first_ranked
from auburnhollow.limits import HoldOffs, ServerRates
from auburnhollow.limits.rate_gossip import RateGossip
from auburnhollow.membership import ALIVE, Member
from auburnhollow.metrics import Metrics
from auburnhollow.pace import Pace, PaceGossip
from auburnhollow.peers import PeerClient, PeerServer
from auburnhollow.quarantine import EvidenceSaver, Quarantine
from auburnhollow.quarantine.gossip import QuarantineGossip
from auburnhollow.reach import ReachGossip
from auburnhollow.relay import Dispatcher, DispatchSettings
from auburnhollow.relay.aggregators import Aggregators
from auburnhollow.relay.choice import ServerChoice
from auburnhollow.relay.delegation import Delegation, DelegationServer
from auburnhollow.relay.delegation_messages import DelegatedRequest
from auburnhollow.relay.fanout import ANSWER_MS
from auburnhollow.relay.rate_shares import RateShares
from auburnhollow.relay.subquery_messages import SubqueryAsk, SubqueryRepeats
from auburnhollow.relay.subquery_server import SubqueryServer
from auburnhollow.retry import jittered_ms
from auburnhollow.routes import Route
from auburnhollow.servers import ServerRegistry
from auburnhollow.servers.leaving_gossip import LeavingGossip
from auburnhollow.supervision import keep_running

from ..fleet import Fleet
from .entrance import Entrance
from .lag import LoopLag
from .last_requests import LastRequests
from .request_log import RequestLog
from .settings import PACE_ALWAYS, PACE_CONFIGURED

log = logging.getLogger("node")

NOT_READY_RETRY_MS = 300.0
JOIN_INTERVAL_MS = 1_000.0
# The store answers in milliseconds; a request that arrives before its first answer waits for it.
FIRST_READ_TIMEOUT_MS = 400.0
# A node that knows others also contacts the seeds again: all others may have been replaced.
REJOIN_INTERVAL_MS = 5_000.0


class RelayNode:
    """One relay node and its components.

    :param settings: :class:`~auburnhollow_node.relay.settings.RelaySettings`.
    :param feed: :class:`~auburnhollow.follow.Feed`.
    :param client: :class:`~auburnhollow.relay.ServerClient`.
    :param evidence_store: :class:`~auburnhollow.quarantine.EvidenceStore`, or ``None`` to keep the
        evidence against crashing requests in memory only.

    :param peers: :class:`~auburnhollow.peers.Peers`; by default, a new :class:`PeerClient`.

    ``count_connections`` is a function that returns the number of open caller connections, or
    ``None``.

    >>> node = RelayNode(settings, feed, client)
    >>> answer = await node.handle(request)
    """

    __slots__ = (
        "_comparison",
        "_delegation",
        "_delegation_server",
        "_evidence_saver",
        "_in_progress",
        "_lag",
        "_random",
        "_rate_shares",
        "_request_log",
        "_subqueries",
        "_tasks",
        "clock",
        "count_connections",
        "dispatcher",
        "entrance",
        "events",
        "fleet",
        "follower",
        "gate",
        "is_stopping",
        "last_requests",
        "metrics",
        "peer_server",
        "peers",
        "quarantine",
        "rates",
        "registry",
        "settings",
    )

    def __init__(self, settings, feed, client, clock=None, evidence_store=None, peers=None):
        self.settings = settings
        self.clock = clock or Clock()
        self.is_stopping = False
        self.metrics = Metrics()
        self._random = random.Random(settings.seed)
        self._tasks = []
        self._in_progress = 0
        self.last_requests = LastRequests(self.clock, self._random)
        self._lag = LoopLag(self.clock)
        self._request_log = RequestLog(self.clock, self.metrics, self.standing)
        self.count_connections = None
        self.registry = ServerRegistry(self.clock)
        self.peers = peers or PeerClient(self.metrics, self.clock)
        self._wire_fleet()
        aggregators = Aggregators(self.peers, self.fleet.membership, self.clock)
        self._rate_shares = RateShares(self.fleet.membership, aggregators, self.registry)
        self.rates = ServerRates(self.clock, self._random, self._rate_shares.fraction)
        RateGossip(self.rates, self.fleet.gossiper, self.fleet.table, self.clock)
        LeavingGossip(self.registry, self.fleet.gossiper, self.fleet.table, self.clock)
        cold = ColdServers(self.clock, self._random, self._rate_shares.fraction)
        self.registry.on_server = cold.hear
        homes = Homes(settings.regions)
        homes.routes = lambda: self.routes
        hold_offs = HoldOffs(self.clock)
        self.gate = Gate(
            client,
            self.registry,
            self.metrics,
            homes,
            Evacuations(self.clock),
            cold,
            hold_offs,
        )
        EvacuationGossip(self.gate.evacuations, self.fleet.gossiper, self.fleet.table)
        self.dispatcher = Dispatcher(
            self.gate,
            self.registry,
            ServerChoice(
                settings.data_centre,
                settings.regions,
                self.clock,
                self._random,
                self._count_calling_nodes,
                self.rates,
                sources=(cold, hold_offs),
            ),
            self.clock,
            self._random,
            self.metrics,
            self.quarantine,
            self._dispatch_settings(),
            self._count_nodes,
            aggregators,
        )
        self.entrance = Entrance(
            settings,
            self.fleet,
            self.peers,
            self.dispatcher,
            self._random,
            known_nodes=1 + len(self._seeds()),
        )
        self.entrance.register_handlers(self.peer_server)
        self._wire_reach()
        self._subqueries = SubqueryServer(
            self.dispatcher, self._is_open, self.entrance.admit_subquery
        )
        self._wire_pace()
        self.peer_server.on_stream(SubqueryAsk, self._subqueries.answer)
        self.peer_server.on(SubqueryRepeats, self._subqueries.allow_repeats)
        shared = SharedFeed(feed, self.peers, self.fleet.membership, self.clock, self._random)
        shared.has_evacuations = lambda: bool(self.gate.evacuations)
        self.follower = Follower(
            shared,
            self.registry,
            self.clock,
            self._random,
            self._apply_routes,
            self.metrics,
            self.gate.evacuations,
        )
        self._comparison = StoreComparison(
            self.follower, shared, self.clock, self._random, self.metrics
        )
        self.entrance.follower = self.follower
        self.follower.on_evidence = self.quarantine.restore
        if settings.strict_revoke:
            # The state must be confirmed well before it counts as too old for keyed requests.
            self.follower.watch_ms = min(self.follower.watch_ms, settings.revoke_ms / 2)
        self._evidence_saver = None
        if evidence_store is not None:
            self._evidence_saver = EvidenceSaver(
                self.quarantine, evidence_store, self.clock, self._random
            )
            self.quarantine.on_evidence = self._evidence_saver.add
            self.follower.on_restored = self._evidence_saver.save_again
        RevisionGossip(
            self.follower,
            self.fleet.gossiper,
            self.fleet.table,
            self.clock,
            lambda: self._count_nodes() <= MAX_DIRECT_NODES,
        )
        changes = ChangeServer(self.follower, shared, self.clock)
        self.peer_server.on(ChangesAsk, changes.answer)
        state_exchange = StateExchange(
            self.follower, self.peers, self._other_nodes, self._random, self.clock
        )
        VersionGossip(
            self.follower,
            state_exchange,
            self.fleet.gossiper,
            self.fleet.table,
            self.clock,
            settings.peer,
        )
        self.follower.ask_peers = state_exchange.ask
        self._delegation.address = settings.peer
        self._delegation.state_exchange = state_exchange
        self._delegation_server.state_exchange = state_exchange
        self.peer_server.on(StateAsk, state_exchange.answer)

    @property
    def routes(self):
        """The current :class:`~auburnhollow.routes.RouteTable`, or ``None``."""
        return self.follower.routes

    @property
    def _version(self):
        return None if self.routes is None else self.routes.version

    @property
    def is_ready(self):
        """Whether the balancer should send requests to this node."""
        return not self.is_stopping and self.routes is not None and len(self.registry) > 0

    @property
    def in_progress(self):
        """The number of requests in progress, of callers and of other nodes."""
        peers = self._subqueries.in_progress + self._delegation_server.in_progress
        return self._in_progress + peers

    async def start(self, peer_socket=None):
        """Start following the store and join the fleet.

        :param peer_socket: socket bound to the peer address; ``None`` for a node without one.
        """
        self._start_task(self.follower.run)
        self._start_task(self._comparison.run)
        self._start_task(self._lag.run)
        if self._evidence_saver is not None:
            self._start_task(self._evidence_saver.run)
        if peer_socket is None:
            return
        await self.peer_server.start_on(peer_socket)
        self.join_fleet()

    def join_fleet(self):
        """Join the other nodes, which must be able to reach this one."""
        membership = self.fleet.membership
        membership.join(self.fleet.gossiper)
        for run in (self.fleet.gossiper.run, membership.run, self._join):
            self._start_task(run)

    def _start_task(self, run):
        """Start a background task that goes on after unexpected errors."""
        work = keep_running(run, self.clock, self._on_task_failure)
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _on_task_failure(self, _error):
        self.metrics.incr("node.task_failures")

    def apply_settings(self):
        """Apply changed settings to the running dispatcher."""
        self.dispatcher.apply_settings(self._dispatch_settings())

    async def leave(self):
        """Notify the other nodes that this node is leaving."""
        if self.settings.peer:
            self.fleet.membership.leave()
            self.fleet.gossiper.push_pending()

    async def stop(self):
        """Cancel all tasks and close the connections to other nodes."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.dispatcher.reach.close()
        await self.peer_server.close()
        await self.peers.close()

    async def handle(self, request):
        """Answer one request.

        :param request: :class:`~auburnhollow.relay.Request`.
        :returns: an :class:`~auburnhollow.relay.Answer` or :class:`~auburnhollow.relay.Merged`.
        :raises QueryError: ``ran`` says whether a server may have run the request.
        """
        self._in_progress += 1
        route = None
        try:
            if self.routes is None:
                await self._wait_for_first_read(request)
            route = self._route(request)
            async with self.last_requests.bounded(route):
                table = self.routes
                await self.entrance.admit(request, route)
                with self.entrance.token(request):
                    if self.routes is not table:
                        # The configuration has changed while the request waited.
                        route = self._route(request)
                        self.entrance.admit_again(request, route)
                    answer = await self._dispatch(request, route)
        except QueryError as error:
            self._request_log.failed(request, route, error, self._version)
            raise
        except asyncio.CancelledError:
            self._request_log.abandoned(request, route)
            raise
        finally:
            self._in_progress -= 1
        self._request_log.answered(request, route, answer, self._version)
        return answer

    def standing(self):
        """Return what this node knows of its configuration, as log fields."""
        return self.follower.in_force.to_map(self.follower.age_ms)

    def gauges(self):
        """Return the current values of the gauges, by name."""
        in_force = self.follower.in_force
        return {
            "node.in_progress": self._in_progress,
            "node.is_ready": int(self.is_ready),
            "node.configuration_version": self._version,
            "node.configuration_age_ms": in_force.age_ms,
            "node.configuration_heard": in_force.heard_version,
            "node.followed_era": in_force.era,
            "node.followed_revision": in_force.revision,
            "node.store_age_ms": self.follower.age_ms,
            "node.store_reachable": int(bool(self.follower.is_reachable)),
            "node.servers": len(self.registry),
            "node.nodes_present": self._count_nodes(),
            "node.connections": self.count_connections() if self.count_connections else None,
            "node.cut_off": int(self.dispatcher.reach.is_cut_off),
            "node.loop_lag_ms": round(self._lag.worst_ms, 1),
            "node.lag_reserve_ms": round(self.dispatcher.lag.reserve_ms(math.inf), 1),
            "admission.waiting": self.entrance.waiting,
            "relay.servers_limited": len(self.rates),
            "gate.cold_servers": len(self.gate.cold),
            "gate.evacuated": len(self.gate.evacuations),
            "pace.servers": len(self.dispatcher.choice.pace),
            "relay.repeats_left": self.dispatcher.least_budget_left(),
            "node.memory_kb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
        }

    def _apply_routes(self, table):
        self.entrance.quota.set_accounts(table.accounts)
        self._rate_shares.set_routes(table)
        self.gate.cold.set_services(table.services)
        self.dispatcher.forget(table)

    def _dispatch_settings(self):
        settings = self.settings
        return DispatchSettings(
            retry_ratio=settings.retry_ratio,
            retry_window_ms=settings.retry_window_ms,
            retry_slack=settings.retry_slack,
            short_objectives=settings.short_objectives,
            admission=settings.admission,
        )

    def _wire_fleet(self):
        settings = self.settings
        self.events = Recorder(settings.id, self.clock)
        self.peer_server = PeerServer(self.metrics)
        me = Member(
            id=settings.id,
            address=settings.peer,
            data_centre=settings.data_centre,
            state=ALIVE,
            incarnation=self.clock.wall_ms(),
            revision=0,
            ready=True,
        )
        self.fleet = Fleet(me, self.peers, self.clock, self._random, self.events, self.metrics)
        self.fleet.register_handlers(self.peer_server)
        self.quarantine = Quarantine(
            self.clock, self.events, self._random, may_probe=self._may_probe
        )
        QuarantineGossip(self.quarantine, self.fleet.gossiper, self.fleet.table, self.clock)

    def _wire_reach(self):
        fleet = self.fleet
        dispatcher = self.dispatcher
        reach_gossip = ReachGossip(
            dispatcher.reach, fleet.gossiper, fleet.table, fleet.membership, self.clock
        )
        dispatcher.aggregators.without_cut_off = reach_gossip.without_cut_off
        self._delegation = Delegation(
            dispatcher, reach_gossip, self.peers, self.clock, self._random
        )
        self._delegation_server = DelegationServer(
            dispatcher, self._handle_delegated, self._is_open, self._random
        )
        self.peer_server.on_stream(DelegatedRequest, self._delegation_server.answer)

    def _wire_pace(self):
        choice = self.dispatcher.choice
        choice.pace = Pace(
            self.clock,
            self._random,
            self.metrics,
            lambda server: choice.pressure(server, self.registry.usable(server.service)),
            self._is_paced,
        )
        PaceGossip(choice.pace, self.fleet.gossiper, self.fleet.table, self.clock)
        self.registry.on_start = self._on_server_start

    def _is_paced(self, service):
        """Return whether settings or configuration ask for the pace of a service's servers."""
        if self.settings.pace != PACE_CONFIGURED:
            return self.settings.pace == PACE_ALWAYS
        known = None if self.routes is None else self.routes.services.get(service)
        return known is not None and known.warm_up_ms > 0

    def _on_server_start(self, server):
        is_first_read = not self.follower.first_read_done.is_set()
        self.dispatcher.choice.pace.seen(server, is_first_read)

    def _is_open(self):
        """Return whether this node calls servers for other nodes."""
        return self.is_ready and not self.dispatcher.reach.is_cut_off

    async def _join(self):
        """Contact the seeds until one answers, and repeat this for as long as the node runs."""
        while True:
            for address in self._seeds():
                try:
                    await self.fleet.membership.contact(address)
                except PeerError as error:
                    log_decision(log, "seed does not answer", seed=address, error=str(error))
                    continue
                break
            is_alone = len(self.fleet.membership.present()) == 1
            await self.clock.sleep(JOIN_INTERVAL_MS if is_alone else REJOIN_INTERVAL_MS)

    def _seeds(self):
        return [address for address in self.settings.seeds if address != self.settings.peer]

    def _other_nodes(self):
        return self.fleet.membership.targets() or self._seeds()

    def _may_probe(self, fingerprint):
        """Return whether this node, ranked first for the request, may run it after a quarantine."""
        return first_ranked(fingerprint, self.fleet.membership.present()) == self.settings.id

    def _count_calling_nodes(self):
        """Return the estimated number of nodes that call servers."""
        return self.dispatcher.aggregators.estimate_aggregators()

    def _count_nodes(self):
        return len(self.fleet.membership.present())

    async def _wait_for_first_read(self, request):
        """Wait for the store's first answer, for a bounded part of the request's remaining time."""
        remaining_ms = request.limit_ms - self.clock.now_ms()
        try:
            async with self.clock.timeout(min(FIRST_READ_TIMEOUT_MS, remaining_ms / 3)):
                await self.follower.first_read_done.wait()
        except TimeoutError:
            return

    def _route(self, request):
        table = self.routes
        if table is None:
            raise NotReady(
                "no configuration is known yet",
                retry_after_ms=jittered_ms(self._random, NOT_READY_RETRY_MS),
            )
        if len(request.body) > table.limits.body_bytes:
            raise TooLarge(f"the body is larger than {table.limits.body_bytes} bytes")
        route = table.find(request.host, request.path)
        if route is None:
            raise NoRoute(f"no route for {request.host} in version {table.version}")
        return route

    async def _dispatch(self, request, route):
        limit_ms = request.received_ms + route.time_limit_ms
        request.limit_ms = min(limit_ms, request.limit_ms - ANSWER_MS)
        return await self._delegation.dispatch(request, route, self._dispatch_here)

    async def _dispatch_here(self, request, route, is_repeat=False):
        if route.shards:
            await self.entrance.let_in(request, route, route.shards, is_repeat)
            return await self.dispatcher.gather(request, route, is_repeat)
        service = self.routes.branch(route, self._random)
        await self.entrance.let_in(request, route, (service,), is_repeat)
        return await self.dispatcher.forward(request, route, service, is_repeat)

    async def _handle_delegated(self, request, is_repeat, attempts):
        """Answer a request that another node has received."""
        route = self._route(request)
        self.entrance.admit_delegated(request, route)
        route = Route(**{**route.to_map(), "attempts": min(attempts, route.attempts)})
        request.limit_ms = min(request.received_ms + route.time_limit_ms, request.limit_ms)
        return await self._dispatch_here(request, route, is_repeat)
