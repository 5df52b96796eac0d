"""Requests that crash every server that begins to run them."""

import asyncio
import functools
import math

import pytest

from auburnhollow.clock import MS_PER_SECOND
from auburnhollow.exceptions import BackendDied, BackendUnreachable, Quarantined, QueryError
from auburnhollow.quarantine.evidence import Ending
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
SERVER_RESTART_MS = 3_000.0
# The users' rule: an ordinary request may not be refused for longer.
MAX_REFUSED_MS = 5_000.0
CRASH_PATH = "/crash"


class CrashingServers(FakeServers):
    """Servers that end, with all of their calls, when they begin to run a crashing request.

    ``crashes`` lists the times at which servers ended, ``crashing_sends`` the pairs of time and id
    of the crashing requests that reached a server. ``probe_ms`` is how long it takes to find out
    that the server with an id has died.
    """

    __slots__ = ("_calls_by_server", "_down_until_ms", "crashes", "crashing_sends", "probe_ms")

    def __init__(self, clock, work_ms=20.0):
        super().__init__(clock, work_ms)
        self._calls_by_server = {}
        self._down_until_ms = {}
        self.crashes = []
        self.crashing_sends = []
        self.probe_ms = {}

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Answer after ``work_ms``, or fail when the server ends before that."""
        if self._is_down(server):
            raise BackendUnreachable(f"{server.id}: refused")
        if on_write is not None:
            on_write()
        ended = asyncio.get_running_loop().create_future()
        calls = self._calls_by_server.setdefault(server.id, [])
        calls.append(ended)
        try:
            async with self._clock.timeout(self._duration_ms(request)):
                await ended
        except TimeoutError:
            if request.path != CRASH_PATH:
                return make_answer(server)
            self._end(server, request)
        finally:
            calls.remove(ended)
        error = BackendDied(f"{server.id}: died")
        try:
            await self._clock.sleep(self.probe_ms.get(server.id, 0.0))
        except asyncio.CancelledError as cancellation:
            raise cancellation from error
        raise error

    async def can_connect(self, server):
        """Return whether the server runs."""
        return not self._is_down(server)

    def _duration_ms(self, request):
        return 1.0 if request.path == CRASH_PATH else self.work_ms

    def _is_down(self, server):
        return self._clock.now_ms() < self._down_until_ms.get(server.id, 0.0)

    def _end(self, server, request):
        now_ms = self._clock.now_ms()
        self.crashes.append(now_ms)
        self.crashing_sends.append((now_ms, request.id))
        self._down_until_ms[server.id] = now_ms + SERVER_RESTART_MS
        for ended in self._calls_by_server[server.id]:
            if not ended.done():
                ended.set_result(None)

    def count_late_retries(self):
        """Return how many requests reached servers after the fleet had had time to notice."""
        if len(self.crashes) < MAX_DEATHS:
            return 0
        noticed_ms = self.crashes[MAX_DEATHS - 1] + NOTICE_MS
        return len({request for at_ms, request in self.crashing_sends if at_ms > noticed_ms})


def new_bed(services):
    bed = RelayBed(dict.fromkeys(services, (HOME,) * 8))
    bed.servers = CrashingServers(bed.clock, work_ms=60.0)
    bed.dispatcher.gate.use_client(bed.servers)
    bed.allow_repeats(*services)
    return bed


async def dispatch(bed, route, request):
    """Send a request and return its answer, or ``None`` when it failed."""
    try:
        if route.shards:
            return await bed.dispatcher.gather(request, route)
        return await bed.dispatcher.forward(request, route, route.branches[0].service)
    except QueryError:
        return None


async def send_ordinary_requests(bed, route, interval_ms=2.0):
    """Keep the servers busy with requests of other callers until cancelled."""
    tasks = set()
    number = 0
    while True:
        number += 1
        request = make_request(bed.clock, f"o-{number}", target=f"/o{number}", caller=f"c{number}")
        task = asyncio.get_running_loop().create_task(dispatch(bed, route, request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await bed.clock.sleep(interval_ms)


def repeat_crashing_request(
    services, make_attempt, attempts=25, interval_ms=1_000.0, caller_of=lambda _number: "caller-1"
):
    """Repeat a crashing request under load and return the :class:`CrashingServers`.

    :param make_attempt: function of the number of the attempt that returns the request's target
        and the name of its route.
    :param caller_of: function of the number of the attempt that returns its caller.
    """

    async def scenario():
        bed = new_bed(services)
        load = asyncio.get_running_loop().create_task(
            send_ordinary_requests(bed, make_route(services))
        )
        await bed.clock.sleep(500)
        for number in range(attempts):
            target, name = make_attempt(number)
            caller = caller_of(number)
            request = make_request(bed.clock, f"bad-{number}", target=target, caller=caller)
            await dispatch(bed, make_route(services, name=name), request)
            await bed.clock.sleep(interval_ms)
        load.cancel()
        return bed.servers

    return run_virtually(scenario())


def test_a_request_that_crashed_three_servers_under_load_is_not_sent_on():
    late_retries = {}
    for services in (("s0",), ("s0", "s1", "s2", "s3")):
        servers = repeat_crashing_request(services, lambda _number: (CRASH_PATH, "route"))
        late_retries[len(services)] = servers.count_late_retries()
    assert max(late_retries.values()) <= MAX_LATE_RETRIES, late_retries


def test_a_crashing_request_with_another_query_or_route_name_is_not_sent_on():
    servers = repeat_crashing_request(
        ("s0",), lambda number: (f"{CRASH_PATH}?page={number}", f"route-{number // 2}")
    )
    assert servers.count_late_retries() <= MAX_LATE_RETRIES
    assert len(servers.crashes) <= MAX_DEATHS


@pytest.mark.parametrize("services", [("s0",), ("s0", "s1", "s2", "s3")])
def test_a_crashing_request_that_comes_from_several_addresses_is_not_sent_on(services):
    servers = repeat_crashing_request(
        services, lambda _number: (CRASH_PATH, "route"), caller_of=lambda number: f"10.0.0.{number}"
    )
    assert servers.count_late_retries() <= MAX_LATE_RETRIES


def test_a_path_that_many_callers_ask_for_is_not_refused_when_servers_end_one_by_one():
    async def scenario():
        bed = new_bed(("s0",))
        refused = []

        async def send(number):
            request = make_request(bed.clock, f"r-{number}", target="/popular", caller=f"c{number}")
            try:
                await bed.dispatcher.forward(request, make_route(("s0",)), "s0")
            except Quarantined:
                refused.append(bed.clock.now_ms())
            except QueryError:
                return

        tasks = set()
        for number in range(4_000):
            task = asyncio.get_running_loop().create_task(send(number))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            if number % 500 == 250:
                crash = make_request(
                    bed.clock, f"bad-{number}", target=CRASH_PATH, body=b"%d" % number
                )
                await dispatch(bed, make_route(("s0",)), crash)
            await bed.clock.sleep(5.0)
        return bed.servers.crashes, refused

    crashes, refused = run_virtually(scenario())
    assert len(crashes) >= MAX_DEATHS
    assert max(refused, default=0.0) - min(refused, default=0.0) <= MAX_REFUSED_MS


def test_servers_that_die_while_the_fan_out_gives_up_count():
    services = tuple(f"s{number}" for number in range(10))

    async def scenario():
        bed = new_bed(services)
        # Each probe takes longer than the one before; two are over when the fan-out gives up.
        for number, service in enumerate(services):
            for replica in range(8):
                bed.servers.probe_ms[f"{service}-{replica}"] = 5.0 + 5.0 * number
        load = asyncio.get_running_loop().create_task(
            send_ordinary_requests(bed, make_route(services), interval_ms=3.0)
        )
        await bed.clock.sleep(500)
        for number in range(2):
            request = make_request(bed.clock, f"bad-{number}", target=CRASH_PATH)
            await dispatch(bed, make_route(services, least_share=0.89), request)
            await bed.clock.sleep(500)
        load.cancel()
        return bed.servers

    assert len(run_virtually(scenario()).crashes) <= len(services)


@pytest.mark.parametrize("replicas", [(HOME, "iasi"), (HOME, HOME, HOME)])
def test_deaths_count_when_a_request_ends_servers_of_all_shards_at_once(replicas):
    services = tuple(f"s{number}" for number in range(10))

    async def scenario():
        bed = RelayBed(dict.fromkeys(services, replicas))
        bed.servers = CrashingServers(bed.clock, work_ms=60.0)
        bed.dispatcher.gate.use_client(bed.servers)
        for number in range(3):
            request = make_request(bed.clock, f"bad-{number}", target=CRASH_PATH)
            await dispatch(bed, make_route(services, attempts=1), request)
            await bed.clock.sleep(50)
        return bed.servers.crashes

    assert len(run_virtually(scenario())) <= len(services)


class PersistentServers(CrashingServers):
    """Servers that go on with a crashing request after its connection has been closed.

    ``crash_after_ms`` is how long the server with an id runs such a request before it ends.
    """

    __slots__ = ("crash_after_ms",)

    def __init__(self, clock, work_ms=20.0):
        super().__init__(clock, work_ms)
        self.crash_after_ms = {}

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Answer, or end some time after a crashing request has arrived."""
        if request.path == CRASH_PATH and not self._is_down(server):
            after_s = self.crash_after_ms[server.id] / MS_PER_SECOND
            asyncio.get_running_loop().call_later(after_s, self._end_once, server, request)
        return await super().send(server, request, remaining_ms, keep_alive, on_write)

    def _duration_ms(self, request):
        return math.inf if request.path == CRASH_PATH else self.work_ms

    def _end_once(self, server, request):
        if not self._is_down(server):
            self._end(server, request)


def new_nodes(services, count, gossip_ms=20.0):
    """Return beds of nodes that call the same servers and gossip what they see of servers' ends."""
    beds = [RelayBed(dict.fromkeys(services, (HOME,) * 4), seed=each) for each in range(count)]
    clock = beds[0].clock
    servers = PersistentServers(clock, work_ms=60.0)
    for bed in beds:
        bed.servers = servers
        bed.dispatcher.gate.use_client(servers)
        bed.allow_repeats(*services)

    def publish(origin, ending):
        values = ending.to_list()
        for bed in beds:
            if bed is origin:
                continue
            asyncio.get_running_loop().call_later(
                gossip_ms / MS_PER_SECOND,
                bed.dispatcher.quarantine.add_peer_ending,
                Ending.from_list(values),
                clock.now_ms(),
            )

    for bed in beds:
        bed.dispatcher.quarantine.on_ending = functools.partial(publish, bed)
    return beds


@pytest.mark.parametrize("shards", [10, 36])
@pytest.mark.parametrize("nodes", [1, 2, 7])
def test_servers_that_end_after_the_fan_out_has_given_up_count(shards, nodes):
    services = tuple(f"s{number}" for number in range(shards))

    async def scenario():
        beds = new_nodes(services, nodes)
        servers = beds[0].servers
        for number, service in enumerate(services):
            for replica in range(4):
                servers.crash_after_ms[f"{service}-{replica}"] = 10.0 + 150.0 * number / shards
        route = make_route(services, least_share=0.89, objective_ms=350.0)
        loads = []
        for bed in beds:
            load = send_ordinary_requests(bed, route, interval_ms=10.0 * nodes)
            loads.append(asyncio.get_running_loop().create_task(load))
        await beds[0].clock.sleep(500)
        for number in range(12):
            bed = beds[number % nodes]
            request = make_request(bed.clock, f"bad-{number}", target=CRASH_PATH)
            await dispatch(bed, route, request)
            await bed.clock.sleep(250)
        for load in loads:
            load.cancel()
        return servers.crashes

    assert len(run_virtually(scenario())) <= shards
