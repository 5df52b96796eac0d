"""Messages between nodes over real sockets."""

import asyncio
import gc

import pytest

from auburnhollow.exceptions import PeerError, PeerRefused, ProtocolError
from auburnhollow.membership.messages import Ack, Ping
from auburnhollow.metrics import Metrics
from auburnhollow.peers import PeerClient, PeerServer, pack
from auburnhollow.peers.codec import feed, new_unpacker

HOST = "127.0.0.1"
TIMEOUT_MS = 10_000.0


class ClientAndServer:
    """A server whose ping handler the test registers, and a client for it."""

    def __init__(self):
        self.metrics = Metrics()
        self.server = PeerServer(self.metrics)
        self.client = PeerClient(self.metrics)
        self.address = None

    async def __aenter__(self):
        await self.server.start(HOST, 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        return self

    async def __aexit__(self, *_error):
        await self.client.close()
        await self.server.close()

    def ask(self, number=0, timeout_ms=TIMEOUT_MS):
        ping = Ping(sender="me", digest=number, entries=[])
        return self.client.ask(self.address, ping, timeout_ms)


def test_out_of_order_answers_match_their_requests():
    async def run():
        async with ClientAndServer() as pair:

            async def answer(message):
                await asyncio.sleep(0.02 if message.digest % 2 else 0)
                return Ack(node="other", digest=message.digest)

            pair.server.on(Ping, answer)
            answers = await asyncio.gather(*(pair.ask(number) for number in range(50)))
            assert [answer.digest for answer in answers] == list(range(50))

    asyncio.run(run())


def test_large_answers_are_whole_or_refused_and_small_ones_go_on():
    async def run():
        async with ClientAndServer() as pair:

            async def answer(message):
                entries = ["x" * 500_000] if message.digest % 2 else []
                return Ping(sender="other", digest=message.digest, entries=entries)

            pair.server.on(Ping, answer)
            asks = [pair.ask(number) for number in range(40)]
            return await asyncio.gather(*asks, return_exceptions=True)

    answers = asyncio.run(run())
    assert [answer.digest for answer in answers[::2]] == list(range(0, 40, 2))
    for number, answer in enumerate(answers[1::2]):
        if isinstance(answer, PeerRefused):
            continue
        assert (answer.digest, len(answer.entries[0])) == (2 * number + 1, 500_000)


def test_a_message_without_a_handler_raises_a_peer_error():
    async def run():
        async with ClientAndServer() as pair:
            with pytest.raises(PeerError, match="no handler"):
                await pair.ask()

    asyncio.run(run())


def test_an_unresponsive_connection_is_replaced_for_the_next_request():
    async def run():
        async with ClientAndServer() as pair:
            unresponsive = True

            async def answer(message):
                if unresponsive:
                    await asyncio.sleep(60)
                return Ack(node="other", digest=message.digest)

            pair.server.on(Ping, answer)
            with pytest.raises(PeerError):
                await pair.ask(timeout_ms=50.0)
            unresponsive = False
            assert (await pair.ask(7)).digest == 7

    asyncio.run(run())


def test_an_unreachable_peer_raises_a_peer_error():
    async def run():
        client = PeerClient(Metrics())
        with pytest.raises(PeerError):
            await client.ask(f"{HOST}:9", Ping(sender="me", digest=0, entries=[]), TIMEOUT_MS)
        await client.close()

    asyncio.run(run())


def test_a_connect_error_after_the_caller_timed_out_is_retrieved(monkeypatch, caplog):
    async def run():
        async def refuse_after_delay(*_address):
            await asyncio.sleep(0.1)
            raise ConnectionRefusedError

        monkeypatch.setattr(asyncio, "open_connection", refuse_after_delay)
        metrics = Metrics()
        client = PeerClient(metrics)
        with pytest.raises(PeerError):
            await client.ask(f"{HOST}:9", Ping(sender="me", digest=0, entries=[]), 10.0)
        await asyncio.sleep(0.2)
        gc.collect()
        return metrics.counts

    counts = asyncio.run(run())
    gc.collect()
    assert counts["peers.unreachable"] == 1
    assert "never retrieved" not in caplog.text


INVALID_MESSAGES = [
    b"\xc1",
    b"\x01",
    b"\x93\xa3foo\x00\x90",
    b"\x92\xa4ping\x00",
    b"\x93\xa4ping\x00\x91\x00",
]


@pytest.mark.parametrize("data", INVALID_MESSAGES)
def test_an_invalid_message_is_rejected(data):
    with pytest.raises(ProtocolError):
        feed(new_unpacker(), data)


def test_messages_are_decoded_from_arbitrary_chunks():
    data = pack(Ping(sender="me", digest=1, entries=[["x"] * 50])) * 3
    unpacker = new_unpacker()
    messages = []
    for start in range(0, len(data), 7):
        messages += feed(unpacker, data[start : start + 7])
    assert [message.sender for message, _ in messages] == ["me"] * 3
