"""Questions with several answers, over real sockets."""

import asyncio
from contextlib import aclosing, asynccontextmanager

import pytest

from auburnhollow.exceptions import NotReady, PeerError, PeerRefused, PeerUnreachable
from auburnhollow.membership.messages import Ack, Ping
from auburnhollow.metrics import Metrics
from auburnhollow.peers import Message, PeerClient, PeerServer, register

HOST = "127.0.0.1"
PATIENCE_MS = 10_000.0


@register("test-part")
class Part(Message):
    """One answer of several."""

    __slots__ = ("number", "is_end")

    @property
    def is_last(self):
        """Whether it is the last one."""
        return self.is_end


class Pair:
    """A server, a link to it, and how the handler of its streams ended."""

    def __init__(self, handler):
        self.server = PeerServer(Metrics())
        self.link = PeerClient(Metrics())
        self.server.on_stream(Ping, handler)
        self.server.on(Part, self._echo)
        self.address = None

    async def __aenter__(self):
        await self.server.start(HOST, 0)
        port = self.server._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"
        return self

    async def __aexit__(self, *_error):
        await self.link.close()
        await self.server.close()

    async def _echo(self, message):
        return message

    def stream(self, first_answer_timeout_ms=PATIENCE_MS, number=0):
        ping = Ping(sender="me", digest=number, entries=[])
        return aclosing(self.link.stream(self.address, ping, first_answer_timeout_ms))

    async def numbers(self, **options):
        async with self.stream(**options) as answers:
            return [answer.number async for answer in answers]


async def three_parts(message):
    for number in range(3):
        yield Part(number=message.digest + number, is_end=number == 2)


def test_all_answers_come_in_order_and_questions_do_not_mix():
    async def run():
        async with Pair(three_parts) as pair:
            found = await asyncio.gather(*(pair.numbers(number=ten * 10) for ten in range(20)))
        assert found == [[ten * 10, ten * 10 + 1, ten * 10 + 2] for ten in range(20)]

    asyncio.run(run())


def test_the_handler_ends_when_the_asker_wants_no_more():
    async def run():
        ended = asyncio.Event()

        async def endless(_message):
            try:
                yield Part(number=0, is_end=False)
                await asyncio.sleep(60)
            finally:
                ended.set()

        async with Pair(endless) as pair:
            async with pair.stream() as answers:
                await anext(answers)
            async with asyncio.timeout(PATIENCE_MS / 1000):
                await ended.wait()

    asyncio.run(run())


def test_a_refusal_is_told_from_a_node_that_is_not_there():
    async def refuse(_message):
        raise NotReady("starting")
        yield

    async def run():
        async with Pair(refuse) as pair:
            with pytest.raises(PeerRefused, match="starting"):
                await pair.numbers()
            address, pair.address = pair.address, f"{HOST}:9"
            with pytest.raises(PeerUnreachable):
                await pair.numbers()
            pair.address = address

    asyncio.run(run())


def test_silence_before_the_first_answer_is_an_error_and_the_next_question_opens_anew():
    async def run():
        asked = []

        async def silent_at_first(message):
            asked.append(message.digest)
            if len(asked) == 1:
                await asyncio.sleep(60)
            yield Part(number=7, is_end=True)

        async with Pair(silent_at_first) as pair:
            with pytest.raises(PeerError, match="no answer"):
                await pair.numbers(first_answer_timeout_ms=50.0)
            assert await pair.numbers() == [7]

    asyncio.run(run())


def test_a_question_in_progress_outlives_the_silence_of_another():
    async def run():
        go_on = asyncio.Event()

        async def slow(message):
            if message.digest == 1:
                await asyncio.sleep(60)
            yield Part(number=0, is_end=False)
            await go_on.wait()
            yield Part(number=1, is_end=True)

        async with Pair(slow) as pair:
            async with pair.stream() as answers:
                found = [(await anext(answers)).number]
                with pytest.raises(PeerError):
                    await pair.numbers(first_answer_timeout_ms=50.0, number=1)
                go_on.set()
                found += [answer.number async for answer in answers]
            assert found == [0, 1]

    asyncio.run(run())


def test_a_stream_that_is_held_up_holds_up_no_other():
    """The load: many streams to one peer, whose link loses the packets of one."""

    async def run():
        async def answer(message):
            yield Part(number=message.digest, is_end=False)
            yield Part(number=message.digest, is_end=True)

        async with Pair(answer) as pair, losing_link(pair.address) as link:
            pair.address = link.address
            async with pair.stream(number=1) as answers:
                await anext(answers)
                link.hold_first()
                assert await pair.numbers(number=2) == [2, 2]
                assert await pair.numbers(number=3) == [3, 3]
            return link.count

    assert asyncio.run(run()) == 2


class LosingLink:
    """Passes bytes on; the first connection can be held up."""

    def __init__(self, address):
        self._host, _, self._port = address.rpartition(":")
        self._is_held = False
        self.address = None
        self.count = 0

    def hold_first(self):
        self._is_held = True

    async def serve(self, reader, writer):
        self.count += 1
        number = self.count
        to_reader, to_writer = await asyncio.open_connection(self._host, int(self._port))
        back = asyncio.create_task(self._copy(to_reader, writer, number))
        await self._copy(reader, to_writer, number)
        back.cancel()

    async def _copy(self, reader, writer, number):
        while data := await reader.read(65_536):
            if self._is_held and number == 1:
                await asyncio.Event().wait()
            writer.write(data)
        writer.close()


@asynccontextmanager
async def losing_link(address):
    link = LosingLink(address)
    server = await asyncio.start_server(link.serve, HOST, 0)
    link.address = f"{HOST}:{server.sockets[0].getsockname()[1]}"
    yield link
    server.close()


def test_a_peer_that_ends_is_an_error_after_the_first_answer_too():
    async def run():
        async def endless(_message):
            yield Part(number=0, is_end=False)
            await asyncio.sleep(60)

        async with Pair(endless) as pair, pair.stream() as answers:
            await anext(answers)
            await pair.server.close()
            with pytest.raises(PeerError):
                await anext(answers)

    asyncio.run(run())


def test_a_connection_that_the_peer_has_closed_is_not_used_again():
    async def run():
        async with Pair(three_parts) as pair:
            assert await pair.numbers() == [0, 1, 2]
            host, _, port = pair.address.rpartition(":")
            await pair.server.close()
            await asyncio.sleep(0.05)
            await pair.server.start(host, int(port))
            assert await pair.numbers(first_answer_timeout_ms=500.0) == [0, 1, 2]

    asyncio.run(run())


def test_single_answers_still_have_one():
    async def run():
        async with Pair(three_parts) as pair:
            answer = await pair.link.ask(pair.address, Part(number=5, is_end=True), PATIENCE_MS)
        assert answer.number == 5
        assert Ack(node="x", digest=0).is_last

    asyncio.run(run())
