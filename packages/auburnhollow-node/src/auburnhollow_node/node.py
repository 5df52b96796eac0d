"""One node: its parts and how they are wired."""

import logging
import random

from auburnhollow.clock import Clock
from auburnhollow.configuration import Keeper
from auburnhollow.drain import Leaving
from auburnhollow.events import Recorder
from auburnhollow.limits import Gate, Shares
from auburnhollow.metrics import Metrics
from auburnhollow.quarantine import Quarantine
from auburnhollow.routing import Ejection, ReplicaChoice
from auburnhollow.scatter import Coordinator
from auburnhollow.scatter.coordinator import Tier
from auburnhollow.snapshots import Snapshots

log = logging.getLogger("node")

READ_EVERY_MS = 500.0


class Node:
    """The parts of one node.

    :param settings: :class:`~auburnhollow_node.settings.Settings`.
    :param store: :class:`~auburnhollow.platform.Store`.
    :param instances: :class:`~auburnhollow.platform.InstanceList`.
    :param backends: :class:`~auburnhollow.backends.BackendClient`.
    """

    __slots__ = (
        "clock",
        "coordinator",
        "events",
        "is_stopping",
        "keeper",
        "metrics",
        "settings",
        "store",
        "tier",
    )

    def __init__(self, settings, store, instances, backends, clock=None):
        self.settings = settings
        self.store = store
        self.clock = clock or Clock()
        self.is_stopping = False
        self.metrics = Metrics(settings.statsd)
        self.events = Recorder(settings.id, self.clock)
        self.keeper = Keeper(self.events)
        self.tier = self._tier(backends)
        self.coordinator = Coordinator(self.tier)

    @property
    def is_ready(self):
        """Whether the balancer should send requests here."""
        return not self.is_stopping and self.keeper.configuration is not None

    def members(self):
        """Return the ids of all live nodes."""
        return (self.settings.id,)

    def status(self):
        """Return the state of this node, for people."""
        return {"id": self.settings.id, "revision": self.keeper.number}

    async def run(self):
        """Keep the configuration up to date until cancelled."""
        while True:
            await self.keeper.read_store(self.store)
            await self.clock.sleep(READ_EVERY_MS)

    def _tier(self, backends):
        seeded = random.Random(self.settings.seed)
        shares = Shares(self.settings.id, self.members)
        ejection = Ejection(self.clock, self.events)
        leaving = Leaving(self.events)
        return Tier(
            backends=backends,
            clock=self.clock,
            ejection=ejection,
            events=self.events,
            gate=Gate(self.clock, self.events, seeded, self.settings.admission_limit),
            keeper=self.keeper,
            leaving=leaving,
            metrics=self.metrics,
            quarantine=Quarantine(self.clock, self.events, seeded),
            random=seeded,
            replicas=ReplicaChoice(
                self.settings.data_centre, self.clock, seeded, shares, ejection, leaving
            ),
            shares=shares,
            snapshots=Snapshots(self.clock),
        )
