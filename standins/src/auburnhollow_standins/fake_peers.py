"""Simulated connections between nodes, for tests in virtual time."""

import asyncio
import math
from contextlib import aclosing

from auburnhollow.exceptions import (
    AuburnhollowError,
    PeerError,
    PeerRefused,
    PeerUnreachable,
)
from auburnhollow.peers import Peers, pack
from auburnhollow.peers.codec import Failure, feed, new_unpacker


class Network:
    """A simulated network between nodes, with delay, message loss and partitions.

    ``handlers`` and ``streams`` map the address of a node to its handlers of messages and streams.

    :param delay_ms: mean one-way delay, in milliseconds.
    :param loss: probability that a message is lost.
    :param serializes: whether messages are encoded and decoded, as on real connections.
    """

    def __init__(self, random, delay_ms=1.0, loss=0.0, serializes=True):
        self.handlers = {}
        self.streams = {}
        self.pausables = {}
        self.random = random
        self.delay_ms = delay_ms
        self.loss = loss
        self.serializes = serializes
        self.cuts = set()
        self.bytes_sent = 0
        self.messages_sent = 0

    def cut(self, addresses, other_addresses):
        """Cut all links between two groups of addresses."""
        for one in addresses:
            for other in other_addresses:
                self.cuts.add(frozenset((one, other)))

    def heal(self):
        """Restore all links."""
        self.cuts.clear()

    def is_lost(self, sender, address):
        """Return whether a message that is sent now is lost."""
        if frozenset((sender, address)) in self.cuts:
            return True
        return self.random.random() < self.loss


class FakePeers(Peers):
    """One node's connections to its peers in a :class:`Network`."""

    __slots__ = ("_address", "_clock", "_network", "_tasks")

    def __init__(self, network, address, clock):
        self._network = network
        self._address = address
        self._clock = clock
        self._tasks = set()

    async def ask(self, address, message, timeout_ms):
        """Send a message and return the answer.

        :raises PeerError: if there is no answer within ``timeout_ms``, or the peer failed.
        """
        try:
            async with self._clock.timeout(timeout_ms):
                answer = await self._deliver(address, message, expects_answer=True)
        except TimeoutError:
            raise PeerError(f"{address}: no answer") from None
        if isinstance(answer, Failure):
            raise PeerError(f"{address}: {answer.text}")
        return answer

    async def stream(self, address, message, first_answer_timeout_ms):
        """Send a message and yield its answers; a partitioned peer never answers."""
        network = self._network
        handler = network.streams.get(address)
        if handler is None:
            raise PeerUnreachable(f"{address}: refused")
        limit_ms = self._clock.now_ms() + first_answer_timeout_ms
        answers = handler(self._transmit(message))
        async with aclosing(answers):
            while True:
                answer = await self._next_answer(address, answers, limit_ms)
                limit_ms = math.inf
                yield answer
                if answer.is_last:
                    return

    async def _next_answer(self, address, answers, limit_ms):
        network = self._network
        try:
            async with self._clock.timeout(limit_ms - self._clock.now_ms()):
                await self._clock.sleep(network.delay_ms)
                if network.is_lost(self._address, address):
                    await asyncio.Event().wait()
                answer = self._transmit(await anext(answers))
                await self._clock.sleep(network.delay_ms)
        except TimeoutError:
            raise PeerError(f"{address}: no answer") from None
        except AuburnhollowError as error:
            if isinstance(error, PeerError):
                raise
            raise PeerRefused(f"{address}: {error}") from error
        return answer

    def send(self, address, message):
        """Send a message that has no answer."""
        task = asyncio.get_running_loop().create_task(self._send(address, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, address, message):
        try:
            await self._deliver(address, message, expects_answer=False)
        except PeerError:
            return

    async def close(self):
        """Cancel the messages on their way."""
        for task in list(self._tasks):
            task.cancel()

    async def _deliver(self, address, message, expects_answer):
        network = self._network
        await self._wait_until_resumed(self._address)
        message = self._transmit(message)
        await self._clock.sleep(network.delay_ms * network.random.uniform(0.5, 1.5))
        handler = network.handlers.get(address)
        if handler is None:
            raise PeerError(f"{address}: refused")
        if network.is_lost(self._address, address):
            await self._lost(expects_answer)
        await self._wait_until_resumed(address)
        answer = await handler(message)
        if not expects_answer:
            return None
        await self._wait_until_resumed(address)
        answer = self._transmit(answer)
        await self._clock.sleep(network.delay_ms * network.random.uniform(0.5, 1.5))
        if network.is_lost(address, self._address):
            await self._lost(expects_answer)
        await self._wait_until_resumed(self._address)
        return answer

    async def _lost(self, expects_answer):
        if expects_answer:
            await asyncio.Event().wait()
        raise PeerError("lost")

    async def _wait_until_resumed(self, address):
        pausable = self._network.pausables.get(address)
        if pausable is not None and pausable.is_paused:
            await pausable.wait_until_resumed()

    def _transmit(self, message):
        network = self._network
        network.messages_sent += 1
        if not network.serializes:
            return message
        data = pack(message)
        network.bytes_sent += len(data)
        return feed(new_unpacker(), data)[0][0]
