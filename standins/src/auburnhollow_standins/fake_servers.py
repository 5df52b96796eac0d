"""Fake backend servers of a relay node, in virtual time."""

import random

from auburnhollow.events import Recorder
from auburnhollow.exceptions import BackendCut, BackendRefused, BackendUnreachable
from auburnhollow.gate import ColdServers, Evacuations, Gate, Homes
from auburnhollow.limits import HoldOffs
from auburnhollow.metrics import Metrics
from auburnhollow.quarantine import Quarantine
from auburnhollow.relay import Answer, Dispatcher, DispatchSettings, Request, ServerClient
from auburnhollow.relay.choice import ServerChoice
from auburnhollow.routes import Branch, Route
from auburnhollow.servers import Server, ServerRegistry, ServerState

from .virtual import VirtualClock

HOME = "cluj"
REGIONS = {"cluj": "north", "iasi": "east", "ploiesti": "south"}
DATA_CENTRES = tuple(REGIONS)


def make_server(name, service="search", data_centre=HOME, **fields):
    """Return a ready :class:`Server`."""
    values = {
        "id": name,
        "service": service,
        "address": f"{name}:80",
        "data_centre": data_centre,
        "slots": 4,
        "state": ServerState.READY,
        "warm_up_ms": 0,
        "started_ms": 1,
        "sequence": 1,
    }
    return Server(**{**values, **fields})


def make_route(services=("search",), **fields):
    """Return a :class:`Route` that fans out to all of ``services``, or has a single one."""
    values = {
        "name": "route",
        "host": "example",
        "prefix": "/",
        "repeatable": True,
        "attempts": 2,
        "time_limit_ms": 1_000.0,
        "objective_ms": 200.0,
        "urgency": 1,
        "branches": (Branch(service=services[0], weight=1),) if len(services) == 1 else (),
        "shards": tuple(services) if len(services) > 1 else (),
        "most_records": 3,
        "least_share": 0.75,
    }
    return Route(**{**values, **fields})


def make_request(clock, name="r-1", remaining_ms=1_000.0, **fields):
    """Return a :class:`Request` that was received just now."""
    now_ms = clock.now_ms()
    values = {
        "id": name,
        "caller": "caller-1",
        "method": "GET",
        "host": "example",
        "target": "/a?b=c",
        "headers": [("host", "example")],
        "body": b"",
        "received_ms": now_ms,
        "limit_ms": now_ms + remaining_ms,
    }
    return Request(**{**values, **fields})


def make_answer(server, status=200):
    """Return the answer of ``server``."""
    return Answer(
        status=status,
        headers=((b"x-from", server.id.encode()),),
        body=server.id.encode().ljust(16, b".")[:16],
        signature=f"signed-{server.id}",
        load=None,
    )


class FakeServers(ServerClient):
    """Servers that answer after ``work_ms``, or as ``behaviour`` says for their id.

    A behaviour is a latency in milliseconds (a float), a status (an integer), or an exception to
    raise after ``work_ms``. ``calls`` lists ``(time, server id, request id)`` of all calls,
    ``kept`` their ``(server id, keep_alive)``. ``cancelled`` lists the servers whose call was
    cancelled, ``probed`` those that were probed. For servers in ``unconnected``, ``on_write`` is
    not called.
    """

    __slots__ = (
        "_clock",
        "behaviour",
        "calls",
        "cancelled",
        "kept",
        "probed",
        "unconnected",
        "work_ms",
    )

    def __init__(self, clock, work_ms=20.0):
        self._clock = clock
        self.work_ms = work_ms
        self.behaviour = {}
        self.calls = []
        self.cancelled = []
        self.kept = []
        self.unconnected = set()
        self.probed = []

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Answer as the server's behaviour says."""
        self.kept.append((server.id, keep_alive))
        if on_write is not None and server.id not in self.unconnected:
            on_write()
        self.calls.append((self._clock.now_ms(), server.id, request.id))
        behaviour = self.behaviour.get(server.id, self.work_ms)
        delay_ms = behaviour if isinstance(behaviour, float) else self.work_ms
        try:
            await self._clock.sleep(delay_ms)
        finally:
            if self._clock.now_ms() < self.calls[-1][0] + delay_ms:
                self.cancelled.append(server.id)
        if isinstance(behaviour, Exception):
            raise behaviour
        return make_answer(server, behaviour if isinstance(behaviour, int) else 200)

    async def can_connect(self, server):
        """Return whether the server's behaviour is to take connections."""
        self.probed.append(server.id)
        return not isinstance(self.behaviour.get(server.id), BackendUnreachable)

    def asked(self):
        """Return the ids of the servers in the order in which they were called."""
        return [name for _, name, _ in self.calls]


class RelayBed:
    """Test bed: a dispatcher over fake servers in virtual time.

    :param replicas: dictionary of service names to the data centres of their servers.
    :param retry_ratio: retries allowed per request.
    :param home: data centre of the node.
    :param aggregators: :class:`~auburnhollow.relay.aggregators.Aggregators`, or ``None``.
    :param settings: further :class:`~auburnhollow.relay.DispatchSettings`.
    """

    __slots__ = ("clock", "dispatcher", "gate", "registry", "servers")

    def __init__(
        self,
        replicas,
        retry_ratio=1.0,
        seed=1,
        work_ms=20.0,
        home=HOME,
        aggregators=None,
        **settings,
    ):
        self.clock = VirtualClock()
        rng = random.Random(seed)
        self.registry = ServerRegistry(self.clock)
        self.servers = FakeServers(self.clock, work_ms)
        for service, data_centres in replicas.items():
            for number, data_centre in enumerate(data_centres):
                self.registry.put(make_server(f"{service}-{number}", service, data_centre))
        metrics = Metrics()
        cold = ColdServers(self.clock, rng, lambda _incarnation: 1.0)
        self.registry.on_server = cold.hear
        evacuations = Evacuations(self.clock)
        hold_offs = HoldOffs(self.clock)
        self.gate = Gate(
            self.servers, self.registry, metrics, Homes(REGIONS), evacuations, cold, hold_offs
        )
        self.dispatcher = Dispatcher(
            self.gate,
            self.registry,
            ServerChoice(home, REGIONS, self.clock, rng, sources=(cold, hold_offs)),
            self.clock,
            rng,
            metrics,
            Quarantine(self.clock, Recorder("node-1", self.clock), rng),
            DispatchSettings(
                retry_ratio=retry_ratio, retry_window_ms=10_000.0, retry_slack=0.0, **settings
            ),
            lambda: 1,
            aggregators,
        )

    def allow_repeats(self, *services, count=50):
        """Fill the retry budgets of ``services``, as ``count`` requests do."""
        for service in services:
            for _ in range(count):
                self.dispatcher.budget(service).count_request()


REFUSED = BackendRefused("full", reason="overload")
CUT = BackendCut("connection lost")
