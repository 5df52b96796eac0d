"""Ejection, readmission and connection reuse, as learned from calls."""

import asyncio

import pytest

from auburnhollow.exceptions import (
    BackendFull,
    BackendUnreachable,
    DeadlinePassed,
    Ran,
    Unavailable,
)
from auburnhollow_standins.fake_servers import (
    CUT,
    DATA_CENTRES,
    HOME,
    RelayBed,
    make_request,
    make_route,
)
from auburnhollow_standins.virtual import run_virtually

from .test_fanout import SHARDS, new_bed


def test_a_server_that_fails_in_a_row_is_passed_over():
    async def scenario():
        bed = RelayBed({"search": (HOME, HOME, HOME)})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-1"] = CUT
        for number in range(40):
            await bed.dispatcher.forward(
                make_request(bed.clock, f"r-{number}"), make_route(), "search"
            )
        return bed.servers.asked().count("search-1")

    assert run_virtually(scenario()) <= 6


def test_a_server_without_a_listener_is_probed_by_connections_not_by_requests():
    """A server of one service is down for four seconds, under 20 requests a second."""

    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-0"] = BackendUnreachable("no listener")
        for number in range(80):
            request = make_request(bed.clock, f"r-{number}")
            await bed.dispatcher.forward(request, make_route(), "search")
            await bed.clock.sleep(30.0)
        asked = bed.servers.asked().count("search-0")
        bed.servers.behaviour.clear()
        (server, *_others) = bed.registry.usable("search")
        view = bed.dispatcher.choice.view(server)
        was_down = view.is_down
        await bed.clock.sleep(2_100.0)
        return asked, bed.servers.probed, was_down, view.is_down

    asked, probed, was_down, is_down = run_virtually(scenario())
    assert asked == 1
    assert 2 <= len(probed) <= 8
    assert (was_down, is_down) == (True, False)


def test_a_service_with_all_servers_down_is_still_called():
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        for number in range(3):
            bed.servers.behaviour[f"search-{number}"] = BackendUnreachable("no listener")
        for name in ("r-1", "r-2"):
            with pytest.raises(Unavailable):
                await bed.dispatcher.forward(make_request(bed.clock, name), make_route(), "search")
        bed.servers.behaviour.clear()
        return await bed.dispatcher.forward(make_request(bed.clock, "r-3"), make_route(), "search")

    assert run_virtually(scenario()).is_success


class DelayedReads:
    """A client whose answers stay in the sockets until the event loop reads them.

    After a stall, expired timers fire before the reads, as in the event loop of a real node.
    """

    def __init__(self, servers):
        self._servers = servers
        self._arrived = asyncio.Event()

    async def send(self, server, request, remaining_ms, **options):
        answer = await self._servers.send(server, request, remaining_ms, **options)
        await self._arrived.wait()
        # Reading takes some iterations of the loop: headers, body, end of the task.
        for _ in range(6):
            await asyncio.sleep(0)
        return answer

    async def stall(self, duration_ms):
        """Stall the process, then read the sockets only after expired timers have fired."""
        loop = asyncio.get_running_loop()
        loop.now_s += duration_ms / 1000
        for _ in range(3):
            await asyncio.sleep(0)
        self._arrived.set()


def test_answers_received_during_a_stall_of_the_node_are_not_hedged():
    """The node gets no CPU time for 150 ms while answers wait in its sockets.

    Timers for hedges expire meanwhile and fire before the answers are read.
    """

    async def scenario():
        bed = new_bed()
        bed.allow_repeats(*SHARDS)
        delayed_reads = DelayedReads(bed.servers)
        bed.dispatcher.gate.use_client(delayed_reads)
        task = asyncio.create_task(
            bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS))
        )
        await bed.clock.sleep(22.0)
        await delayed_reads.stall(150.0)
        merged = await task
        return bed, merged

    bed, merged = run_virtually(scenario())
    assert merged.missing == 0
    assert len(bed.servers.calls) == len(SHARDS)


def test_a_server_that_takes_no_more_connections_is_passed_over_and_not_probed():
    """Many nodes start at once, and one server is at its connection limit."""

    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-0"] = BackendFull("full")
        statuses = []
        for number in range(80):
            request = make_request(bed.clock, f"r-{number}")
            answer = await bed.dispatcher.forward(request, make_route(), "search")
            statuses.append(answer.status)
            await bed.clock.sleep(30.0)
        return bed.servers, statuses

    servers, statuses = run_virtually(scenario())
    assert set(statuses) == {200}
    assert servers.probed == []
    assert servers.asked().count("search-0") <= 5


@pytest.mark.parametrize(("pause_ms", "is_kept"), [(1_000.0, True), (5_000.0, False)])
def test_only_connections_to_frequently_called_servers_are_kept_alive(pause_ms, is_kept):
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES[:1]})
        for number in range(4):
            request = make_request(bed.clock, f"r-{number}")
            await bed.dispatcher.forward(request, make_route(), "search")
            await bed.clock.sleep(pause_ms)
        return [keep_alive for _, keep_alive in bed.servers.kept]

    assert run_virtually(scenario()) == [False, is_kept, is_kept, is_kept]


@pytest.mark.parametrize(
    ("unconnected", "error"),
    [
        (["search-0", "search-1", "search-2"], Unavailable),
        (["search-0", "search-1"], DeadlinePassed),
        ([], DeadlinePassed),
    ],
)
def test_a_request_not_written_by_the_deadline_has_not_run(unconnected, error):
    """Some servers never answer, and some accept no connection."""

    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        bed.servers.unconnected.update(unconnected)
        for number in range(len(DATA_CENTRES)):
            bed.servers.behaviour[f"search-{number}"] = 5_000.0
        request = make_request(bed.clock, remaining_ms=300.0)
        with pytest.raises(error) as caught:
            await bed.dispatcher.forward(request, make_route(attempts=3), "search")
        return caught.value.ran, sorted(set(bed.servers.asked()))

    ran, asked = run_virtually(scenario())
    assert asked == ["search-0", "search-1", "search-2"]
    assert ran is (Ran.NO if error is Unavailable else Ran.UNKNOWN)
