"""Admission of requests and shares of connections."""

import asyncio
import random

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.configuration import Server
from auburnhollow.events import Recorder
from auburnhollow.exceptions import Overloaded, Ran
from auburnhollow.limits import INTERACTIVE, REPORT, URGENT, AdmissionLimiter, Shares, admitted
from auburnhollow.limits.shares import USABLE_FRACTION, share_of
from auburnhollow_standins.virtual import run_virtually


def new_limiter(limit=20):
    clock = ManualClock()
    return clock, AdmissionLimiter(clock, Recorder("t", clock), random.Random(1), limit)


def fill(limiter, request_class):
    """Enter until the class is shed; return how many requests were admitted."""
    entered = 0
    try:
        while True:
            limiter.enter(request_class)
            entered += 1
    except Overloaded as error:
        assert error.ran is Ran.NO
        assert error.retry_after_ms > 0
    return entered


def test_reports_are_shed_first_and_urgent_requests_last():
    _, limiter = new_limiter(20)
    assert fill(limiter, REPORT) == 12
    assert fill(limiter, INTERACTIVE) == 5
    assert fill(limiter, URGENT) == 3


def test_an_admitted_request_that_fails_is_released():
    _, limiter = new_limiter()
    with pytest.raises(KeyError), admitted(limiter, URGENT):
        raise KeyError
    assert limiter.busy == 0


def test_the_limit_decreases_under_overload_and_recovers():
    clock, limiter = new_limiter(100)
    for _ in range(30):
        fill(limiter, URGENT)
        limiter.record_overload()
        clock.advance(200)
    low = limiter.limit
    assert low < 60
    for _ in range(20):
        fill(limiter, URGENT)
        limiter.record_success()
        clock.advance(200)
    assert limiter.limit > low


def test_the_limit_is_unchanged_if_the_limiter_is_not_busy():
    clock, limiter = new_limiter(100)
    for record in (limiter.record_success, limiter.record_overload):
        for _ in range(30):
            limiter.enter(URGENT)
            limiter.leave()
            record()
            clock.advance(200)
    assert limiter.limit == 100


def test_retry_times_have_jitter():
    _, limiter = new_limiter(8)
    fill(limiter, URGENT)
    waits = set()
    for _ in range(50):
        with pytest.raises(Overloaded) as caught:
            limiter.enter(URGENT)
        waits.add(caught.value.retry_after_ms)
    assert len(waits) > 20


@pytest.mark.parametrize("nodes", [1, 2, 7, 40, 100, 250])
@pytest.mark.parametrize("connections", [2, 30, 40, 100])
def test_shares_add_up_to_the_usable_connections(nodes, connections):
    names = tuple(f"n{number}" for number in range(nodes))
    for server in ("a", "b"):
        total = sum(share_of(name, names, server, connections) for name in names)
        assert total <= connections
        assert total == max(1, int(connections * USABLE_FRACTION))


def test_adding_a_node_moves_few_shares():
    before = tuple(f"n{number}" for number in range(100))
    after = (*before, "n100")
    moved = 0
    for server in range(50):
        for name in before:
            old = share_of(name, before, f"s{server}", 40)
            moved += abs(old - share_of(name, after, f"s{server}", 40))
    assert moved <= 50


def test_urgent_requests_are_woken_first_when_a_call_ends():
    async def run():
        server = Server(id="s", address="10.0.0.1:80", data_centre="x", labels={})
        shares = Shares("n", lambda: ("n",))
        shares.enter(server)
        woken = []

        async def wait(name, request_class):
            await shares.wait_for_room([server], request_class)
            woken.append(name)

        tasks = [asyncio.create_task(wait(name, name)) for name in (REPORT, INTERACTIVE, URGENT)]
        await asyncio.sleep(0)
        for _ in range(3):
            shares.enter(server)
            shares.leave(server)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        await asyncio.gather(*tasks)
        assert woken == [URGENT, INTERACTIVE, REPORT]

    run_virtually(run())
