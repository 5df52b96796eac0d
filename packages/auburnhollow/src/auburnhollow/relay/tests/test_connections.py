"""What calls show of their servers and connections, and how these are used."""

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
    CENTRES,
    CUT,
    HOME,
    RelayBed,
    a_request,
    a_route,
)
from auburnhollow_standins.virtual import run_virtually

from .test_fanout import SHARDS, bed_of


def test_a_server_that_fails_in_a_row_is_passed_over():
    async def play():
        bed = RelayBed({"search": (HOME, HOME, HOME)})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-1"] = CUT
        for number in range(40):
            await bed.dispatcher.forward(a_request(bed.clock, f"r-{number}"), a_route(), "search")
        return bed.servers.asked().count("search-1")

    assert run_virtually(play()) <= 6


def test_a_server_without_a_listener_is_tried_by_connections_not_by_requests():
    """The load: a server of one service is down for four seconds, under 20 requests a second."""

    async def play():
        bed = RelayBed({"search": CENTRES})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-0"] = BackendUnreachable("no listener")
        for number in range(80):
            request = a_request(bed.clock, f"r-{number}")
            await bed.dispatcher.forward(request, a_route(), "search")
            await bed.clock.sleep(30.0)
        asked = bed.servers.asked().count("search-0")
        bed.servers.behaviour.clear()
        (server, *_others) = bed.registry.usable("search")
        view = bed.dispatcher.choice.view(server)
        was_down = view.is_down
        await bed.clock.sleep(2_100.0)
        return asked, bed.servers.probed, was_down, view.is_down

    asked, probed, was_down, is_down = run_virtually(play())
    assert asked == 1
    assert 2 <= len(probed) <= 8
    assert (was_down, is_down) == (True, False)


def test_a_service_whose_servers_all_seem_down_is_still_asked():
    async def play():
        bed = RelayBed({"search": CENTRES})
        bed.allow_repeats("search")
        for number in range(3):
            bed.servers.behaviour[f"search-{number}"] = BackendUnreachable("no listener")
        for name in ("r-1", "r-2"):
            with pytest.raises(Unavailable):
                await bed.dispatcher.forward(a_request(bed.clock, name), a_route(), "search")
        bed.servers.behaviour.clear()
        return await bed.dispatcher.forward(a_request(bed.clock, "r-3"), a_route(), "search")

    assert run_virtually(play()).is_success


class Sockets:
    """A client whose answers lie in sockets until the event loop reads them.

    After a stall, timers that are due fire first, as in the event loop of a real node.
    """

    def __init__(self, servers):
        self._servers = servers
        self._arrived = asyncio.Event()

    async def send(self, server, request, remaining_ms, **options):
        answer = await self._servers.send(server, request, remaining_ms, **options)
        await self._arrived.wait()
        # Reading takes some turns of the loop: head, body, the end of the task.
        for _ in range(6):
            await asyncio.sleep(0)
        return answer

    async def stall(self, duration_ms):
        """Let the process stand still, and read the sockets only after what is due."""
        loop = asyncio.get_running_loop()
        loop.now_s += duration_ms / 1000
        for _ in range(3):
            await asyncio.sleep(0)
        self._arrived.set()


def test_answers_that_came_during_a_stall_of_the_node_are_not_hedged():
    """The load: a node without processor time for 150 ms, with answers in its sockets."""

    async def play():
        bed = bed_of()
        bed.allow_repeats(*SHARDS)
        sockets = Sockets(bed.servers)
        bed.dispatcher.client = sockets
        task = asyncio.create_task(bed.dispatcher.gather(a_request(bed.clock), a_route(SHARDS)))
        await bed.clock.sleep(22.0)
        await sockets.stall(150.0)
        merged = await task
        return bed, merged

    bed, merged = run_virtually(play())
    assert merged.missing == 0
    assert len(bed.servers.calls) == len(SHARDS)


def test_a_server_that_takes_no_more_connections_is_passed_over_and_not_tried():
    """The load: many nodes start at once, and one server has as many connections as it takes."""

    async def play():
        bed = RelayBed({"search": CENTRES})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-0"] = BackendFull("full")
        statuses = []
        for number in range(80):
            request = a_request(bed.clock, f"r-{number}")
            answer = await bed.dispatcher.forward(request, a_route(), "search")
            statuses.append(answer.status)
            await bed.clock.sleep(30.0)
        return bed.servers, statuses

    servers, statuses = run_virtually(play())
    assert set(statuses) == {200}
    assert servers.probed == []
    assert servers.asked().count("search-0") <= 5


@pytest.mark.parametrize(("pause_ms", "is_kept"), [(1_000.0, True), (5_000.0, False)])
def test_only_connections_to_servers_that_are_called_all_the_time_are_kept(pause_ms, is_kept):
    async def play():
        bed = RelayBed({"search": CENTRES[:1]})
        for number in range(4):
            request = a_request(bed.clock, f"r-{number}")
            await bed.dispatcher.forward(request, a_route(), "search")
            await bed.clock.sleep(pause_ms)
        return [keep_alive for _, keep_alive in bed.servers.kept]

    assert run_virtually(play()) == [False, is_kept, is_kept, is_kept]


@pytest.mark.parametrize(
    ("unconnected", "error"),
    [
        (["search-0", "search-1", "search-2"], Unavailable),
        (["search-0", "search-1"], DeadlinePassed),
        ([], DeadlinePassed),
    ],
)
def test_what_was_not_written_by_the_limit_has_not_run(unconnected, error):
    """The load: servers that answer nothing, and those to which no connection comes about."""

    async def play():
        bed = RelayBed({"search": CENTRES})
        bed.allow_repeats("search")
        bed.servers.unconnected.update(unconnected)
        for number in range(len(CENTRES)):
            bed.servers.behaviour[f"search-{number}"] = 5_000.0
        request = a_request(bed.clock, remaining_ms=300.0)
        with pytest.raises(error) as caught:
            await bed.dispatcher.forward(request, a_route(attempts=3), "search")
        return caught.value.ran, sorted(set(bed.servers.asked()))

    ran, asked = run_virtually(play())
    assert asked == ["search-0", "search-1", "search-2"]
    assert ran is (Ran.NO if error is Unavailable else Ran.UNKNOWN)
