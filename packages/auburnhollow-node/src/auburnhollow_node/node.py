"""A node: creates its components and connects them."""

import asyncio
import logging
import random

from auburnhollow.clock import Clock
from auburnhollow.configuration import ConfigurationHolder
from auburnhollow.configuration.messages import FetchConfiguration
from auburnhollow.configuration.sync import ConfigurationSync
from auburnhollow.drain import LeavingServers
from auburnhollow.drain.leaving_gossip import LeavingGossip
from auburnhollow.events import Recorder
from auburnhollow.exceptions import PeerError, StoreError
from auburnhollow.hashing import first_ranked
from auburnhollow.limits import AdmissionLimiter, ServerRates, Shares
from auburnhollow.limits.rate_gossip import RateGossip
from auburnhollow.limits.server_rates import EvenShare
from auburnhollow.membership import ALIVE, Member
from auburnhollow.metrics import Metrics
from auburnhollow.once import (
    AttemptAsk,
    Attempts,
    ClaimAsk,
    Claimer,
    ClaimStore,
    Orders,
    StoreOutcomeAsk,
)
from auburnhollow.peers import PeerServer
from auburnhollow.quarantine import EndChecks, Quarantine
from auburnhollow.quarantine.gossip import QuarantineGossip
from auburnhollow.reach import Reach, ReachGossip
from auburnhollow.routing import Ejection, ReplicaChoice
from auburnhollow.routing.replicas import rate_key
from auburnhollow.scatter import Coordinator
from auburnhollow.scatter.coordinator import Components
from auburnhollow.scatter.delegation import (
    ConfiguredServers,
    DelegatedOrder,
    DelegatedSearch,
    RequestDelegation,
)
from auburnhollow.scatter.forward import Forwarder, RegionAsk
from auburnhollow.snapshots import SnapshotChooser
from auburnhollow.supervision import keep_running

from . import status
from .fleet import Fleet

log = logging.getLogger("node")

JOIN_INTERVAL_MS = 500.0
LEAVE_PAUSE_MS = 300.0


class Node:
    """One node and its components.

    :param settings: :class:`~auburnhollow_node.settings.Settings`.
    :param store: :class:`~auburnhollow.backing.Store`.
    :param instances: :class:`~auburnhollow.backing.InstanceList`.
    :param backends: :class:`~auburnhollow.backends.BackendClient`.
    :param make_peers: function that takes the metrics and returns
        :class:`~auburnhollow.peers.Peers`.

    >>> await node.start()
    >>> answer = await node.delegation.search(search)
    """

    __slots__ = (
        "_tasks",
        "attempts",
        "claimer",
        "clock",
        "components",
        "configuration_holder",
        "configuration_sync",
        "coordinator",
        "delegation",
        "events",
        "fleet",
        "gossiper",
        "instances",
        "is_stopping",
        "leaving_gossip",
        "membership",
        "metrics",
        "orders",
        "peer_server",
        "peers",
        "rates",
        "settings",
        "started_ms",
        "store",
        "table",
    )

    def __init__(self, settings, store, instances, backends, make_peers, clock=None):
        self.settings = settings
        self.store = store
        self.instances = instances
        self.clock = clock or Clock()
        self.is_stopping = False
        self.started_ms = self.clock.wall_ms()
        self.metrics = Metrics(settings.statsd)
        self.events = Recorder(settings.id, self.clock)
        self.configuration_holder = ConfigurationHolder(self.events)
        self.peers = make_peers(self.metrics)
        self.peer_server = PeerServer(self.metrics)
        rng = random.Random(settings.seed)
        self._wire_fleet(rng)
        self._wire_components(backends, rng)
        self._wire_gossip(rng)
        self._wire_messages()
        self._tasks = []

    @property
    def is_ready(self):
        """Whether the balancer should send requests to this node."""
        return not self.is_stopping and self.configuration_holder.configuration is not None

    def status(self):
        """Return the state of this node and its view of the fleet, for operators."""
        return status.status_of(self)

    async def start(self):
        """Join the fleet, load a configuration, and keep both up to date."""
        self.membership.join(self.gossiper)
        self._start_task(self.gossiper.run)
        self._start_task(self._join)
        self._start_task(self.membership.run)
        await self.configuration_sync.start()
        self._start_task(self.configuration_sync.run)
        self._start_task(self.leaving_gossip.run)
        self.events.record("started", revision=self.configuration_holder.number)

    async def drain(self):
        """Finish orders in progress, store their outcomes, and announce that this node leaves."""
        await self.orders.flush()
        self.membership.leave()
        self.gossiper.push_pending()
        await self.clock.sleep(LEAVE_PAUSE_MS)
        self.events.record("left")

    async def stop(self):
        """Cancel all tasks."""
        self.components.reach.close()
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_task(self, run):
        """Start a background task that goes on after unexpected errors."""
        work = keep_running(run, self.clock, self._record_task_failure)
        self._tasks.append(asyncio.get_running_loop().create_task(work))

    def _record_task_failure(self, error):
        self.events.record("task-failed", error=repr(error))

    async def _join(self):
        """Contact the nodes of the instance list, and repeat until there is a configuration."""
        while True:
            await self._contact_listed_nodes()
            if self.configuration_holder.configuration is not None:
                return
            await self.configuration_sync.ask_peers()
            await self.configuration_holder.read_store(self.store)
            await self.clock.sleep(JOIN_INTERVAL_MS)

    async def _contact_listed_nodes(self):
        try:
            entries = await self.instances.read()
        except StoreError as error:
            log.warning("node: the instance list can't be read: %s", error)
            return
        for entry in entries:
            if entry.role != "node" or entry.id == self.settings.id:
                continue
            try:
                await self.membership.contact(entry.address)
            except PeerError as error:
                log.info("node: %s does not answer: %s", entry.id, error)
                continue
            if len(self.membership.present()) > 1:
                return

    def _wire_fleet(self, rng):
        settings = self.settings
        me = Member(
            id=settings.id,
            address=f"{settings.host}:{settings.peer_port}",
            data_centre=settings.data_centre,
            state=ALIVE,
            incarnation=self.started_ms,
            revision=0,
            ready=True,
        )
        self.fleet = Fleet(me, self.peers, self.clock, rng, self.events, self.metrics)
        self.table = self.fleet.table
        self.membership = self.fleet.membership
        self.gossiper = self.fleet.gossiper

    def _wire_components(self, backends, rng):
        settings = self.settings
        shares = Shares(settings.id, self.membership.present)
        ejection = Ejection(self.clock, self.events)
        leaving = LeavingServers(self.events)
        share = EvenShare(self.membership.present)
        self.rates = ServerRates(self.clock, rng, share.fraction)
        self.components = Components(
            backends=backends,
            clock=self.clock,
            ejection=ejection,
            end_checks=EndChecks(
                self.clock, backends.can_connect, self._neighbours, self._elsewhere
            ),
            events=self.events,
            forwarder=Forwarder(
                settings.data_centre, self.membership, self.peers, self.clock, rng, self.metrics
            ),
            limiter=AdmissionLimiter(self.clock, self.events, rng, settings.admission_limit),
            configuration_holder=self.configuration_holder,
            leaving=leaving,
            metrics=self.metrics,
            quarantine=Quarantine(self.clock, self.events, rng, may_probe=self._may_probe),
            random=rng,
            reach=Reach(
                self.clock, rng, backends.can_connect, ConfiguredServers(self.configuration_holder)
            ),
            replicas=ReplicaChoice(
                settings.data_centre, self.clock, rng, shares, ejection, leaving, self.rates
            ),
            shares=shares,
            snapshots=SnapshotChooser(self.clock),
        )
        self.coordinator = Coordinator(self.components)
        claim_store = ClaimStore(self.store, self.clock, self.metrics)
        self.attempts = Attempts(settings.id, self.started_ms, self.clock)
        self.claimer = Claimer(
            self.components, claim_store, self.peers, self.membership, self.attempts
        )
        self.orders = Orders(self.components, self.claimer, self.attempts, settings.claim_window_ms)
        self.delegation = RequestDelegation(
            self.configuration_holder,
            self.coordinator,
            self.orders,
            self.components.reach,
            ReachGossip(
                self.components.reach, self.gossiper, self.table, self.membership, self.clock
            ),
            self.peers,
            self.clock,
            rng,
            self.metrics,
        )

    def _wire_gossip(self, rng):
        RateGossip(self.rates, self.gossiper, self.table, self.clock)
        self.configuration_sync = ConfigurationSync(
            self.configuration_holder,
            self.store,
            self.membership,
            self.gossiper,
            self.table,
            self.peers,
            self.clock,
            rng,
            self.settings.watchers,
        )
        self.leaving_gossip = LeavingGossip(
            self.components.leaving,
            self.instances,
            lambda: self.configuration_sync.is_watcher,
            self.membership,
            self.gossiper,
            self.table,
            self.clock,
        )
        QuarantineGossip(self.components.quarantine, self.gossiper, self.table, self.clock)
        self.configuration_holder.on_change(self._forget_removed_servers)

    def _wire_messages(self):
        self.fleet.register_handlers(self.peer_server)
        on = self.peer_server.on
        on(FetchConfiguration, self.configuration_sync.on_fetch)
        on(RegionAsk, self.coordinator.answer_region)
        on(ClaimAsk, self.claimer.on_claim)
        on(StoreOutcomeAsk, self.claimer.on_store_outcome)
        on(AttemptAsk, self.attempts.answer)
        on(DelegatedSearch, self.delegation.answer_search)
        on(DelegatedOrder, self.delegation.answer_order)

    def _may_probe(self, fingerprint):
        """Return whether this node, ranked first for the request, may run it after a quarantine."""
        return first_ranked(fingerprint, self.membership.present()) == self.settings.id

    def _neighbours(self, server):
        """Return the other servers in the data centre of a server."""
        return [other for other in self._others(server) if other.data_centre == server.data_centre]

    def _elsewhere(self, server):
        """Return the servers of other data centres."""
        return [other for other in self._others(server) if other.data_centre != server.data_centre]

    def _others(self, server):
        servers = self.configuration_holder.configuration.servers.values()
        found = [other for other in servers if other.id != server.id]
        self.components.random.shuffle(found)
        return found

    def _forget_removed_servers(self, _stored):
        known = self.configuration_holder.configuration.servers
        self.components.leaving.forget(known)
        self.components.replicas.forget(known)
        self.rates.forget({rate_key(server) for server in known.values()})
