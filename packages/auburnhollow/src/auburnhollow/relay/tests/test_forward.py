"""Passing a request to a node that is near the shards."""

import asyncio
import random

import pytest

from auburnhollow.exceptions import (
    BackendRejected,
    DeadlinePassed,
    PeerError,
    PeerUnreachable,
    Ran,
    Unavailable,
)
from auburnhollow.membership import ALIVE, Member
from auburnhollow.metrics import Metrics
from auburnhollow.peers import PeerLink, PeerServer
from auburnhollow.peers.codec import Message, register
from auburnhollow.relay import Merged
from auburnhollow.relay.forward import LEFT_ALONE_MS, Forwarder, ForwardServer, GatherAsk
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.fake_servers import a_request, a_route, a_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

REGIONS = {"cluj": "north", "dej": "north", "iasi": "east"}
SHARDS = ("s0", "s1", "s2", "s3")
MERGED = Merged(body=b"x" * 16, signatures=["a", "b"], missing=2)


class Wires:
    """Carries asks to one server, or fails them."""

    def __init__(self, clock):
        self.clock = clock
        self.server = None
        self.error = None
        self.asked = []

    async def ask_until_left(self, address, message, timeout_ms):
        self.asked.append(address)
        await self.clock.sleep(4)
        if self.error is not None:
            raise self.error
        return await self.server.answer(message)


class Members:
    def __init__(self, centres):
        self.members = {}
        for name, centre in centres.items():
            self.members[name] = Member(
                id=name,
                address=name,
                data_centre=centre,
                state=ALIVE,
                incarnation=1,
                revision=0,
                ready=True,
            )

    def answering(self):
        return tuple(self.members)


class Bed:
    """A forwarder in ``dej``, shards in ``servers_in``, other nodes in ``cluj`` and ``iasi``."""

    def __init__(self, servers_in, answer=MERGED):
        self.clock = VirtualClock()
        self.registry = ServerRegistry(self.clock)
        for shard in SHARDS:
            for centre in servers_in:
                self.registry.put(a_server(f"{shard}-{centre}", shard, centre))
        self.wires = Wires(self.clock)
        self.handled = []
        self.is_open = True
        self.answer = answer
        self.wires.server = ForwardServer(self._handle, lambda: self.is_open, self.clock)
        members = Members({"near": "cluj", "far": "iasi", "me": "dej"})
        self.forwarder = Forwarder(
            self.wires, members, self.registry, "dej", REGIONS, self.clock, random.Random(1)
        )

    async def _handle(self, request):
        self.handled.append(request)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer

    async def gather(self, **fields):
        request = a_request(self.clock, **fields)
        return await self.forwarder.gather(request, a_route(SHARDS))


@pytest.mark.parametrize(
    ("servers_in", "asked"),
    [
        (("cluj", "iasi"), ["near"]),
        (("cluj", "dej"), []),
        (("iasi",), []),
        ((), []),
    ],
)
def test_a_near_node_of_the_region_is_asked_when_no_shards_are_here(servers_in, asked):
    async def play():
        bed = Bed(servers_in)
        return bed, await bed.gather()

    bed, merged = run_virtually(play())
    assert bed.wires.asked == asked
    assert merged == (MERGED if asked else None)


def test_the_near_node_knows_how_long_the_caller_has_waited():
    async def play():
        bed = Bed(("cluj",))
        request = a_request(bed.clock, remaining_ms=1_000.0, body=b"b", method="POST")
        await bed.clock.sleep(50)
        await bed.forwarder.gather(request, a_route(SHARDS))
        return request, bed.handled[0]

    sent, arrived = run_virtually(play())
    assert arrived.received_ms == pytest.approx(sent.received_ms, abs=1.0)
    assert arrived.limit_ms == pytest.approx(sent.limit_ms, abs=1.0)
    for name in ("id", "caller", "method", "host", "target", "headers", "body"):
        assert getattr(arrived, name) == getattr(sent, name)


@pytest.mark.parametrize("error", [PeerUnreachable("down"), Unavailable("none", ran=Ran.NO)])
def test_what_no_server_was_asked_is_asked_here(error):
    async def play():
        bed = Bed(("cluj",))
        if isinstance(error, PeerError):
            bed.wires.error = error
        else:
            bed.answer = error
        return await bed.gather()

    assert run_virtually(play()) is None


@pytest.mark.parametrize(
    "error", [PeerError("lost"), DeadlinePassed("late"), BackendRejected("failed")]
)
def test_what_servers_may_have_been_asked_is_not_asked_again(error):
    async def play():
        bed = Bed(("cluj",))
        if isinstance(error, PeerError):
            bed.wires.error = error
        else:
            bed.answer = error
        with pytest.raises(BackendRejected) as caught:
            await bed.gather()
        return caught.value

    assert run_virtually(play()).ran is Ran.UNKNOWN


def test_a_node_that_did_not_answer_is_left_alone_for_a_while():
    async def play():
        bed = Bed(("cluj",))
        bed.wires.error = PeerUnreachable("down")
        await bed.gather()
        bed.wires.error = None
        first = await bed.gather()
        await bed.clock.sleep(LEFT_ALONE_MS)
        return first, await bed.gather()

    assert run_virtually(play()) == (None, MERGED)


def test_a_node_that_takes_no_requests_says_so_and_is_spared():
    async def play():
        bed = Bed(("cluj",))
        bed.is_open = False
        return await bed.gather(), bed.handled

    assert run_virtually(play()) == (None, [])


@register("slow-ask")
class SlowAsk(Message):
    """Asks for an answer that takes long."""

    __slots__ = ("name",)


def test_a_cancelled_ask_ends_its_work_and_no_other():
    async def play():
        ended = []

        async def slow(message):
            try:
                await asyncio.sleep(0.2)
            except asyncio.CancelledError:
                ended.append(message.name)
                raise
            return GatherAsk(**dict.fromkeys(GatherAsk.__slots__, message.name))

        server = PeerServer(Metrics())
        server.on(SlowAsk, slow)
        await server.start("127.0.0.1", 0)
        host, port = server._server.sockets[0].getsockname()
        link = PeerLink(Metrics())
        asks = []
        for name in ("kept", "left"):
            ask = link.ask_until_left(f"{host}:{port}", SlowAsk(name=name), 2_000)
            asks.append(asyncio.create_task(ask))
        await asyncio.sleep(0.05)
        asks[1].cancel()
        kept = await asks[0]
        await link.close()
        await server.close()
        return ended, kept.id

    assert asyncio.run(play()) == (["left"], "kept")


def test_a_silent_peer_is_given_up_and_an_absent_one_is_told_nothing():
    async def play():
        async def silent(_reader, _writer):
            await asyncio.sleep(10)

        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        link = PeerLink(Metrics())
        with pytest.raises(PeerError) as caught:
            await link.ask_until_left(f"{host}:{port}", SlowAsk(name="x"), 100)
        server.close()
        with pytest.raises(PeerUnreachable):
            await link.ask_until_left(f"{host}:{port}", SlowAsk(name="x"), 100)
        await link.close()
        return caught.value

    assert not isinstance(asyncio.run(play()), PeerUnreachable)
