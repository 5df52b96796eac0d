"""Messages between nodes over real sockets."""

import asyncio
import gc

import pytest

from auburnhollow.exceptions import PeerError, ProtocolError
from auburnhollow.membership.messages import Ack, Ping
from auburnhollow.metrics import Metrics
from auburnhollow.peers import PeerClient, PeerServer, pack
from auburnhollow.peers.codec import feed, new_unpacker

HOST = "127.0.0.1"
PATIENCE_MS = 10_000.0


class Pair:
    """A server whose answer to a ping the test sets, and a link to it."""

    def __init__(self):
        self.metrics = Metrics()
        self.server = PeerServer(self.metrics)
        self.link = PeerClient(self.metrics)
        self.address = None

    async def __aenter__(self):
        await self.server.start(HOST, 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        return self

    async def __aexit__(self, *_error):
        await self.link.close()
        await self.server.close()

    def ask(self, number=0, timeout_ms=PATIENCE_MS):
        ping = Ping(sender="me", digest=number, entries=[])
        return self.link.ask(self.address, ping, timeout_ms)


def test_answers_that_cross_reach_their_own_questions():
    async def run():
        async with Pair() as pair:

            async def answer(message):
                await asyncio.sleep(0.02 if message.digest % 2 else 0)
                return Ack(node="other", digest=message.digest)

            pair.server.on(Ping, answer)
            answers = await asyncio.gather(*(pair.ask(number) for number in range(50)))
            assert [answer.digest for answer in answers] == list(range(50))

    asyncio.run(run())


def test_a_message_that_nobody_takes_is_an_error_at_the_asker():
    async def run():
        async with Pair() as pair:
            with pytest.raises(PeerError, match="not taken"):
                await pair.ask()

    asyncio.run(run())


def test_after_a_silent_connection_the_next_question_opens_a_new_one():
    async def run():
        async with Pair() as pair:
            silent = True

            async def answer(message):
                if silent:
                    await asyncio.sleep(60)
                return Ack(node="other", digest=message.digest)

            pair.server.on(Ping, answer)
            with pytest.raises(PeerError):
                await pair.ask(timeout_ms=50.0)
            silent = False
            assert (await pair.ask(7)).digest == 7

    asyncio.run(run())


def test_a_peer_that_is_not_there_is_an_error():
    async def run():
        link = PeerClient(Metrics())
        with pytest.raises(PeerError):
            await link.ask(f"{HOST}:9", Ping(sender="me", digest=0, entries=[]), PATIENCE_MS)
        await link.close()

    asyncio.run(run())


def test_a_connection_that_fails_after_its_asker_has_left_is_no_stray_error(monkeypatch, caplog):
    async def run():
        async def fail_late(*_address):
            await asyncio.sleep(0.1)
            raise ConnectionRefusedError

        monkeypatch.setattr(asyncio, "open_connection", fail_late)
        metrics = Metrics()
        link = PeerClient(metrics)
        with pytest.raises(PeerError):
            await link.ask(f"{HOST}:9", Ping(sender="me", digest=0, entries=[]), 10.0)
        await asyncio.sleep(0.2)
        gc.collect()
        return metrics.counts

    counts = asyncio.run(run())
    gc.collect()
    assert counts["peers.unreachable"] == 1
    assert "never retrieved" not in caplog.text


NOT_MESSAGES = [
    b"\xc1",
    b"\x01",
    b"\x93\xa3foo\x00\x90",
    b"\x92\xa4ping\x00",
    b"\x93\xa4ping\x00\x91\x00",
]


@pytest.mark.parametrize("data", NOT_MESSAGES)
def test_what_is_no_message_is_refused(data):
    with pytest.raises(ProtocolError):
        feed(new_unpacker(), data)


def test_messages_arrive_whole_however_the_bytes_are_cut():
    data = pack(Ping(sender="me", digest=1, entries=[["x"] * 50])) * 3
    unpacker = new_unpacker()
    got = []
    for start in range(0, len(data), 7):
        got += feed(unpacker, data[start : start + 7])
    assert [message.sender for message, _ in got] == ["me"] * 3
