"""Requests that start, wait, are refused or are given up at the entry."""

import asyncio
import random

import pytest

from auburnhollow.admission import Ask, Entry, Queue, Returns, Room
from auburnhollow.admission.decision import Admission, Verdict
from auburnhollow.clock import Clock, ManualClock
from auburnhollow.exceptions import Overloaded, Ran
from auburnhollow.metrics import Metrics

from .model import SLOTS, ModelServer

SERVER = ModelServer(0, 0).record
WORK_MS = 20.0


def servers(_service, _homes):
    """Return the only server."""
    return [SERVER]


def make_ask(request_id="1", received_ms=0.0, **fields):
    """Return a request with an objective of ten times its work."""
    values = {
        "id": request_id,
        "route": "listing",
        "urgency": 0,
        "services": (SERVER.service,),
        "least": 1,
        "work_ms": WORK_MS,
        "received_ms": received_ms,
        "objective_ms": 10 * WORK_MS,
    }
    return Ask(**{**values, **fields})


def hear(room, waiting):
    """Report a load of full slots and ``waiting`` requests more."""
    work_ms = WORK_MS * (1 + waiting / SLOTS)
    room.hear(SERVER, "listing", SLOTS + waiting, work_ms)


def test_old_reports_stop_counting():
    clock = ManualClock()
    room = Room(clock)
    hear(room, 8)
    assert room.queue_ms([SERVER]) == pytest.approx(40.0)
    clock.advance(120.0)
    assert room.queue_ms([SERVER]) == pytest.approx(20.0)
    clock.advance(30.0)
    assert room.queue_ms([SERVER]) == 0.0
    clock.advance(900.0)
    assert not room.is_busy


def test_a_server_without_a_report_has_room():
    clock = ManualClock()
    room = Room(clock)
    hear(room, 80)
    other = ModelServer(1, 0).record
    assert room.queue_ms([SERVER, other]) == 0.0


def test_the_shard_without_room_keeps_the_request_from_all():
    clock = ManualClock()
    room = Room(clock)
    hear(room, 80)
    free = ModelServer(0, 1).record
    known = {SERVER.service: [SERVER], free.service: [free]}
    admission = Admission(clock, room, known.get)
    both = (SERVER.service, free.service)
    assert admission.decide(make_ask(services=both, least=2)) is Verdict.REFUSE
    assert admission.decide(make_ask(services=both, least=1)) is Verdict.START


def test_a_quiet_account_starts_before_the_rest_of_a_hot_one():
    clock = ManualClock()
    room = Room(clock)
    queue = Queue(clock, Admission(clock, room, servers))
    hear(room, 24)
    for each in range(5):
        queue.add(make_ask(f"hot-{each}", account="hot"))
    queue.add(make_ask("quiet", account="quiet"))
    room.hear(SERVER, "listing", 0, WORK_MS)
    started = [ask.id for ask, _verdict in queue.release()]
    assert started.index("quiet") == 1


def test_callers_come_back_one_after_the_other():
    clock = ManualClock()
    returns = Returns(clock, random.Random(1))
    for _start in range(10):
        returns.count_start()
    times_ms = [returns.retry_ms(str(each), 50.0) for each in range(20)]
    assert times_ms[-1] > times_ms[0] + 1_000.0
    assert not returns.is_returning("1")
    clock.advance(times_ms[2])
    assert returns.is_returning("2")


def test_a_request_without_a_chance_is_refused_as_not_run():
    async def scenario():
        clock = Clock()
        room = Room(clock)
        entry = Entry(clock, random.Random(1), room, servers, Metrics())
        hear(room, 80)
        with pytest.raises(Overloaded) as caught:
            await entry.let_in(make_ask(received_ms=clock.now_ms()))
        assert caught.value.ran is Ran.NO
        assert caught.value.status == 503
        assert caught.value.retry_after_ms > 0

    asyncio.run(scenario())


def test_a_request_starts_after_a_wait_and_a_caller_who_leaves_frees_the_queue():
    async def scenario():
        clock = Clock()
        room = Room(clock)
        entry = Entry(clock, random.Random(1), room, servers, Metrics())
        hear(room, 24)
        ask = make_ask("1", clock.now_ms(), objective_ms=2_000.0, work_ms=900.0)
        left = make_ask("2", clock.now_ms(), objective_ms=2_000.0, work_ms=900.0)
        hear(room, 64)
        first = asyncio.create_task(entry.let_in(ask))
        second = asyncio.create_task(entry.let_in(left))
        await asyncio.sleep(0)
        assert entry.waiting > 0
        second.cancel()
        await asyncio.sleep(0)
        room.hear(SERVER, "listing", 0, WORK_MS)
        await first
        assert entry.waiting == 0

    asyncio.run(scenario())
