"""Requests under which servers fall silent, because their host goes away."""

import asyncio

import pytest

from auburnhollow.exceptions import (
    BackendDied,
    BackendLost,
    BackendUnreachable,
    Quarantined,
    QueryError,
)
from auburnhollow_standins.fake_servers import (
    HOME,
    FakeServers,
    RelayBed,
    make_answer,
    make_request,
    make_route,
)
from auburnhollow_standins.virtual import run_virtually

# The users' rule: at most three retries reach servers once the request has crashed three and the
# fleet has had this long to notice.
MAX_DEATHS = 3
MAX_LATE_RETRIES = 3
NOTICE_MS = 4_000.0
SERVER_RESTART_MS = 6_000.0
CONNECT_TIMEOUT_MS = 400.0
CRASH_PATH = "/crash"


class VanishingServers(FakeServers):
    """Servers whose host goes away when they begin to run a request to ``CRASH_PATH``.

    From then on, no call to them is answered and no connection accepted, for
    ``SERVER_RESTART_MS``. ``reached`` lists the pairs of time and id of the requests to
    ``CRASH_PATH`` that reached a server. ``cut`` are the data centres that can't be reached. With
    ``loses_connections``, open connections end when a host goes away.
    """

    __slots__ = ("_gone_until_ms", "cut", "loses_connections", "reached")

    def __init__(self, clock, work_ms=60.0):
        super().__init__(clock, work_ms)
        self._gone_until_ms = {}
        self.cut = set()
        self.loses_connections = False
        self.reached = []

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Answer after ``work_ms``, or never if the server goes away before that."""
        if not await self.can_connect(server):
            raise BackendUnreachable(f"{server.id}: no connection")
        if on_write is not None:
            on_write()
        if request.path == CRASH_PATH:
            self.reached.append((self._clock.now_ms(), request.id))
            self.vanish(server)
        await self._clock.sleep(self.work_ms)
        if self._is_gone(server) and self.loses_connections:
            raise BackendLost(f"{server.id}: lost, new connection silent")
        if self._is_gone(server):
            await asyncio.get_running_loop().create_future()
        return make_answer(server)

    async def can_connect(self, server):
        """Return whether the server accepts a connection, after a timeout if not."""
        if not self._is_gone(server):
            return True
        await self._clock.sleep(CONNECT_TIMEOUT_MS)
        return False

    def vanish(self, server):
        """Let the server's host go away."""
        self._gone_until_ms[server.id] = self._clock.now_ms() + SERVER_RESTART_MS

    def _is_gone(self, server):
        is_gone = self._clock.now_ms() < self._gone_until_ms.get(server.id, 0.0)
        return is_gone or server.data_centre in self.cut


def new_bed(services, data_centres=(HOME,) * 8):
    bed = RelayBed(dict.fromkeys(services, data_centres))
    bed.servers = VanishingServers(bed.clock)
    bed.dispatcher.gate.use_client(bed.servers)
    bed.allow_repeats(*services)
    return bed


async def dispatch(bed, route, request):
    """Send a request; return its answer or its error."""
    try:
        if route.shards:
            return await bed.dispatcher.gather(request, route)
        return await bed.dispatcher.forward(request, route, route.branches[0].service)
    except QueryError as error:
        return error


async def send_ordinary_requests(bed, route, results, interval_ms=5.0):
    """Send requests of other callers until cancelled, each once more if it fails."""
    tasks = set()

    async def send(number):
        for attempt in range(2):
            request = make_request(
                bed.clock, f"o-{number}-{attempt}", target=f"/o{number}", caller=f"c{number}"
            )
            result = await dispatch(bed, route, request)
            results.append(result)
            if not isinstance(result, QueryError):
                return

    number = 0
    while True:
        number += 1
        task = asyncio.get_running_loop().create_task(send(number))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await bed.clock.sleep(interval_ms)


@pytest.mark.parametrize("services", [("s0",), ("s0", "s1", "s2", "s3")])
@pytest.mark.parametrize("is_beside_others", [False, True])
def test_a_request_under_which_servers_fall_silent_is_not_sent_on(services, is_beside_others):
    async def scenario():
        bed = new_bed(services)
        results = []
        if is_beside_others:
            load = send_ordinary_requests(bed, make_route(services), results)
            task = asyncio.get_running_loop().create_task(load)
        await bed.clock.sleep(500)
        for number in range(25):
            request = make_request(bed.clock, f"bad-{number}", target=CRASH_PATH)
            await dispatch(bed, make_route(services), request)
            await bed.clock.sleep(500)
        if is_beside_others:
            task.cancel()
        return bed.servers.reached, results

    reached, results = run_virtually(scenario())
    noticed_ms = reached[MAX_DEATHS - 1][0] + NOTICE_MS
    late = {name for at_ms, name in reached if at_ms > noticed_ms}
    assert len(late) <= MAX_LATE_RETRIES
    assert not any(isinstance(result, Quarantined) for result in results)


def test_ordinary_requests_are_not_refused_when_hosts_go_away():
    services = tuple(f"s{number}" for number in range(10))

    async def scenario():
        bed = new_bed(services, (HOME,) * 3)
        results = []
        load = send_ordinary_requests(bed, make_route(services, least_share=0.89), results)
        task = asyncio.get_running_loop().create_task(load)
        await bed.clock.sleep(500)
        for server in bed.registry.servers[::4]:
            bed.servers.vanish(server)
        await bed.clock.sleep(8_000)
        task.cancel()
        return results

    results = run_virtually(scenario())
    assert not any(isinstance(result, Quarantined) for result in results)


def test_a_request_beside_a_cut_path_to_a_data_centre_is_not_refused():
    async def scenario():
        bed = new_bed(("s0",), ("iasi",) * 8)
        await dispatch(bed, make_route(("s0",)), make_request(bed.clock, "r-0"))
        for number in range(5):
            request = make_request(bed.clock, f"r-{number + 1}")
            task = asyncio.get_running_loop().create_task(
                dispatch(bed, make_route(("s0",)), request)
            )
            await bed.clock.sleep(20)
            bed.servers.cut = {"iasi"}
            await task
            await bed.clock.sleep(3_000)
            bed.servers.cut = set()
            await bed.clock.sleep(3_000)
        return bed.dispatcher.quarantine.is_suspect(make_request(bed.clock).fingerprint)

    assert not run_virtually(scenario())


def test_a_request_that_meets_slow_servers_is_not_suspected():
    async def scenario():
        bed = RelayBed({"s0": (HOME,) * 8})
        bed.allow_repeats("s0")
        for server in bed.registry.servers:
            bed.servers.behaviour[server.id] = 5_000.0
        for number in range(4):
            await dispatch(bed, make_route(("s0",)), make_request(bed.clock, f"r-{number}"))
            await bed.clock.sleep(3_000)
        return bed.dispatcher.quarantine.is_suspect(make_request(bed.clock).fingerprint)

    assert not run_virtually(scenario())


def test_a_lost_connection_whose_probe_came_to_no_result_is_checked_again():
    async def scenario():
        bed = new_bed(("s0",))
        bed.servers.loses_connections = True
        request = make_request(bed.clock, target=CRASH_PATH)
        await dispatch(bed, make_route(("s0",), attempts=1), request)
        await bed.clock.sleep(2_000)
        return bed.dispatcher.quarantine.is_suspect(request.fingerprint)

    assert run_virtually(scenario())


class UnreachableServers(VanishingServers):
    """Servers whose connections end and that refuse new ones, while this node's links are down."""

    __slots__ = ("is_down",)

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Answer after ``work_ms``, or fail if the links go down before that."""
        on_write()
        await self._clock.sleep(self.work_ms)
        if self.is_down:
            raise BackendDied(f"{server.id}: reset, new connection refused")
        return make_answer(server)

    async def can_connect(self, server):
        """Return whether the links are up."""
        return not self.is_down


@pytest.mark.parametrize("services", [("s0",), ("s0", "s1", "s2", "s3")])
def test_connections_that_end_with_this_nodes_links_are_no_deaths(services):
    async def scenario():
        bed = new_bed(services)
        bed.servers = UnreachableServers(bed.clock)
        bed.dispatcher.gate.use_client(bed.servers)
        fingerprint = make_request(bed.clock).fingerprint
        for number in range(6):
            bed.servers.is_down = number % 2 == 1
            await dispatch(bed, make_route(services), make_request(bed.clock, f"r-{number}"))
            await bed.clock.sleep(3_000)
        return bed.dispatcher.quarantine.is_suspect(fingerprint)

    assert not run_virtually(scenario())
