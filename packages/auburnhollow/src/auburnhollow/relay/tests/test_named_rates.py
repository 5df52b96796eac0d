"""Requests to servers that have named a rate."""

import asyncio

import pytest

from auburnhollow.exceptions import BackendCut, BackendRefused, QueryError, Ran, Unavailable
from auburnhollow.limits import Notice, ServerRates
from auburnhollow.relay.choice import ServerChoice
from auburnhollow_standins.fake_servers import (
    HOME,
    REGIONS,
    FakeServers,
    RelayBed,
    make_request,
    make_route,
    make_server,
)
from auburnhollow_standins.virtual import run_virtually

WINDOW_MS = 4_000.0
FACTOR = 1.5
SLACK = 5


class LimitedServers(FakeServers):
    """Servers that name the rates in ``rates_per_s``, by id, in all of their answers."""

    __slots__ = ("rates_per_s",)

    def __init__(self, clock, work_ms=20.0):
        super().__init__(clock, work_ms)
        self.rates_per_s = {}

    async def send(self, server, request, remaining_ms, keep_alive=True, on_write=None):
        """Answer, or fail, as the server's behaviour says."""
        notice = Notice(rate_per_s=self.rates_per_s.get(server.id))
        try:
            answer = await super().send(server, request, remaining_ms, keep_alive, on_write)
        except BackendRefused as error:
            raise BackendRefused(str(error), "overload", notice=notice) from error
        answer.notice = notice
        return answer

    def most_in_window(self, server_id, since_ms=0.0):
        """Return the largest number of calls to a server in any window after ``since_ms``."""
        times_ms = [at for at, name, _ in self.calls if name == server_id and at >= since_ms]
        return max(
            (sum(1 for at in times_ms if first <= at < first + WINDOW_MS) for first in times_ms),
            default=0,
        )


def new_bed(services, replicas=3):
    bed = RelayBed(dict.fromkeys(services, (HOME,) * replicas))
    bed.servers = LimitedServers(bed.clock)
    dispatcher = bed.dispatcher
    dispatcher.gate.use_client(bed.servers)
    rates = ServerRates(bed.clock, dispatcher._random, lambda _incarnation: 1.0)
    dispatcher.choice = ServerChoice(HOME, REGIONS, bed.clock, dispatcher._random, rates=rates)
    dispatcher.readmission._choice = dispatcher.choice
    bed.allow_repeats(*services, count=500)
    return bed


async def dispatch(bed, route, request):
    try:
        if route.shards:
            return await bed.dispatcher.gather(request, route)
        return await bed.dispatcher.forward(request, route, route.branches[0].service)
    except QueryError as error:
        return error


async def send_many(bed, route, seconds, interval_ms=10.0):
    """Send requests at a steady rate; return their answers and errors."""
    loop = asyncio.get_running_loop()
    tasks = []
    for number in range(int(seconds * 1_000 / interval_ms)):
        request = make_request(bed.clock, f"r-{number}", target=f"/{number}")
        tasks.append(loop.create_task(dispatch(bed, route, request)))
        await bed.clock.sleep(interval_ms)
    return await asyncio.gather(*tasks)


def allowed(rate_per_s):
    return FACTOR * rate_per_s * WINDOW_MS / 1_000 + SLACK


@pytest.mark.parametrize("services", [("s0",), ("s0", "s1", "s2", "s3")])
@pytest.mark.parametrize("rate_per_s", [0.5, 3.3, 15.0])
def test_a_server_gets_no_more_than_the_rate_that_it_names(services, rate_per_s):
    async def scenario():
        bed = new_bed(services)
        bed.servers.rates_per_s["s0-0"] = rate_per_s
        bed.servers.behaviour["s0-1"] = BackendCut("cut")
        results = await send_many(bed, make_route(services), seconds=12)
        return bed.servers.most_in_window("s0-0", since_ms=1_000.0), results

    most, results = run_virtually(scenario())
    assert most <= allowed(rate_per_s)
    assert not any(isinstance(result, QueryError) for result in results)


@pytest.mark.parametrize(
    "behaviour",
    [20.0, 900.0, 500, BackendCut("cut"), BackendRefused("full", reason="overload")],
    ids=["answers", "hedges", "faults", "retries", "refusals"],
)
def test_retries_and_hedges_keep_to_the_rates_of_all_servers(behaviour):
    async def scenario():
        bed = new_bed(("s0", "s1"))
        for server in bed.registry.servers:
            bed.servers.rates_per_s[server.id] = 3.3
        await send_many(bed, make_route(("s0", "s1")), seconds=2)
        bed.servers.behaviour = {"s0-0": behaviour, "s0-1": behaviour, "s1-0": behaviour}
        await send_many(bed, make_route(("s0", "s1")), seconds=10)
        return {
            server.id: bed.servers.most_in_window(server.id, since_ms=1_000.0)
            for server in bed.registry.servers
        }

    assert max(run_virtually(scenario()).values()) <= allowed(3.3)


def test_a_request_that_no_server_takes_in_time_is_rejected_at_once_with_a_time_to_come_back():
    async def scenario():
        bed = new_bed(("s0", "s1"), replicas=1)
        bed.servers.rates_per_s = {"s0-0": 0.5}
        route = make_route(("s0", "s1"), least_share=1.0)
        await dispatch(bed, route, make_request(bed.clock, "r-0"))
        began_ms = bed.clock.now_ms()
        error = await dispatch(bed, route, make_request(bed.clock, "r-1"))
        return error, bed.clock.now_ms() - began_ms, len(bed.servers.calls)

    error, took_ms, calls = run_virtually(scenario())
    assert isinstance(error, Unavailable)
    assert error.ran is Ran.NO
    assert error.retry_after_ms > 250
    assert took_ms < 5
    assert calls == 2


def test_a_shard_whose_servers_take_nothing_in_time_is_left_out_if_coverage_allows():
    async def scenario():
        bed = new_bed(("s0", "s1", "s2", "s3"), replicas=1)
        bed.servers.rates_per_s = {"s0-0": 0.5}
        route = make_route(("s0", "s1", "s2", "s3"))
        await dispatch(bed, route, make_request(bed.clock, "r-0"))
        return await dispatch(bed, route, make_request(bed.clock, "r-1"))

    assert run_virtually(scenario()).missing == 1


def test_a_request_waits_for_a_turn_that_comes_before_its_objective():
    async def scenario():
        bed = new_bed(("s0",), replicas=1)
        bed.servers.rates_per_s = {"s0-0": 10.0}
        route = make_route(("s0",), objective_ms=400.0)
        await dispatch(bed, route, make_request(bed.clock, "r-0"))
        results = []
        for number in range(3):
            request = make_request(bed.clock, f"w-{number}")
            results.append(asyncio.get_running_loop().create_task(dispatch(bed, route, request)))
        answers = await asyncio.gather(*results)
        return [answer.status for answer in answers], bed.servers.calls[1:]

    statuses, calls = run_virtually(scenario())
    assert statuses == [200, 200, 200]
    assert calls[2][0] - calls[0][0] >= 90


def test_a_request_that_waits_is_not_sent_to_a_server_that_leaves_meanwhile():
    async def scenario():
        bed = new_bed(("s0",), replicas=1)
        bed.servers.rates_per_s = {"s0-0": 2.0}
        route = make_route(("s0",), objective_ms=900.0)
        await dispatch(bed, route, make_request(bed.clock, "r-0"))
        task = asyncio.get_running_loop().create_task(
            dispatch(bed, route, make_request(bed.clock, "r-1"))
        )
        await bed.clock.sleep(1)
        bed.registry.remove("s0-0")
        error = await task
        return error, len(bed.servers.calls)

    error, calls = run_virtually(scenario())
    assert error.ran is Ran.NO
    assert calls == 1


def test_a_request_that_waits_is_sent_although_the_server_registers_again_meanwhile():
    async def scenario():
        bed = new_bed(("s0",), replicas=1)
        bed.servers.rates_per_s = {"s0-0": 2.0}
        route = make_route(("s0",), objective_ms=900.0)
        await dispatch(bed, route, make_request(bed.clock, "r-0"))
        task = asyncio.get_running_loop().create_task(
            dispatch(bed, route, make_request(bed.clock, "r-1"))
        )
        await bed.clock.sleep(1)
        bed.registry.put(make_server("s0-0", "s0", sequence=2))
        return await task

    assert run_virtually(scenario()).status == 200


def test_a_request_that_waits_does_not_count_as_running_on_the_server():
    async def scenario():
        bed = new_bed(("s0",), replicas=1)
        bed.servers.rates_per_s = {"s0-0": 2.0}
        route = make_route(("s0",), objective_ms=900.0)
        await dispatch(bed, route, make_request(bed.clock, "r-0"))
        request = make_request(bed.clock, "r-1", target="/waits")
        task = asyncio.get_running_loop().create_task(dispatch(bed, route, request))
        await bed.clock.sleep(1)
        is_running = request.fingerprint in bed.dispatcher.quarantine._running
        await task
        return is_running

    assert not run_virtually(scenario())


def test_budgets_for_repeats_are_not_spent_on_servers_that_take_nothing():
    async def scenario():
        bed = new_bed(("s0",), replicas=2)
        bed.servers.rates_per_s = {"s0-0": 0.5, "s0-1": 0.5}
        route = make_route(("s0",))
        for number in range(2):
            await dispatch(bed, route, make_request(bed.clock, f"r-{number}"))
        spent = bed.dispatcher.budget("s0").spent
        for number in range(20):
            await dispatch(bed, route, make_request(bed.clock, f"x-{number}"))
        return bed.dispatcher.budget("s0").spent - spent

    assert run_virtually(scenario()) == 0
