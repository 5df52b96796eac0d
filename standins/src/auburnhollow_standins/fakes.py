"""Fakes at the interfaces, for tests in virtual time: store, peers, backend servers."""

import asyncio
from collections import deque

from auburnhollow.backends import BackendClient, OrderAnswer, OrderCall, ShardAnswer
from auburnhollow.exceptions import (
    BackendCut,
    BackendDied,
    BackendFault,
    BackendLacksVersion,
    BackendMismatch,
    BackendRefused,
    BackendSilent,
    BackendTimeout,
    BackendUnreachable,
    PeerError,
    Ran,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from auburnhollow.peers import Peers, pack
from auburnhollow.peers.codec import Failure, feed, new_unpacker
from auburnhollow.platform import InstanceList, KeyValue, Store


class Pausable:
    """Something that can stand still: calls wait until it goes on."""

    __slots__ = ("_going",)

    def __init__(self):
        self._going = asyncio.Event()
        self._going.set()

    @property
    def is_paused(self):
        """Whether it stands still."""
        return not self._going.is_set()

    def pause(self):
        """Stand still."""
        self._going.clear()

    def resume(self):
        """Go on."""
        self._going.set()

    async def ready(self):
        """Wait until it goes on."""
        await self._going.wait()


class SharedStore:
    """The contents of a key-value service and its faults.

    ``lose_answer_chance`` is the chance that a write that took effect is not answered;
    ``lose_call_chance`` that it did not take effect and is not answered either.
    """

    def __init__(self, random, delay_ms=2.0):
        self.entries = {}
        self.is_down = False
        self.delay_ms = delay_ms
        self.lose_answer_chance = 0.0
        self.lose_call_chance = 0.0
        self.counts = {"reads": 0, "writes": 0, "watches": 0}
        self.random = random
        self.revision = 0
        self.watchers = {}

    def put(self, key, value):
        """Write a key and tell its watchers."""
        entry = KeyValue(key=key, value=value, revision=self.revision)
        self.entries[key] = entry
        for queue in self.watchers.get(key, ()):
            queue.put_nowait(entry)

    def end_watches(self):
        """End all watches, as an outage does."""
        for queues in self.watchers.values():
            for queue in queues:
                queue.put_nowait(None)


class FakeStore(Store):
    """One node's view of a :class:`SharedStore`."""

    __slots__ = ("_clock", "_pausable", "_shared", "is_cut")

    def __init__(self, shared, clock, pausable=None):
        self._shared = shared
        self._clock = clock
        self._pausable = pausable or Pausable()
        self.is_cut = False

    async def get(self, key):
        """Return a :class:`KeyValue`."""
        await self._enter("reads")
        found = self._shared.entries.get(key)
        entry = found or KeyValue(key=key, value=None, revision=0)
        await self._pausable.ready()
        return entry

    async def scan(self, prefix, limit=100):
        """Return up to ``limit`` entries below ``prefix``, highest key first."""
        await self._enter("reads")
        keys = sorted(key for key in self._shared.entries if key.startswith(prefix))
        return [self._shared.entries[key] for key in reversed(keys)][:limit]

    async def swap(self, key, revision, value, also=(), lease_ms=None):
        """Write if the key is still at ``revision``."""
        shared = self._shared
        await self._enter("writes")
        if shared.random.random() < shared.lose_call_chance:
            raise StoreOutcomeUnknown(f"{key}: call lost")
        known = shared.entries.get(key)
        succeeded = revision == (0 if known is None else known.revision)
        if succeeded:
            shared.revision += 1
            for other_key, other_value in [(key, value), *also]:
                shared.put(other_key, other_value)
        written = shared.revision
        if shared.random.random() < shared.lose_answer_chance:
            raise StoreOutcomeUnknown(f"{key}: answer lost")
        await self._pausable.ready()
        return written if succeeded else None

    async def watch(self, key, revision):
        """Iterate over changes of ``key`` after ``revision``."""
        await self._enter("watches")
        queue = asyncio.Queue()
        self._shared.watchers.setdefault(key, []).append(queue)
        try:
            known = self._shared.entries.get(key)
            if known is not None and known.revision > revision:
                yield known
            while True:
                entry = await queue.get()
                if entry is None or self.is_cut:
                    raise StoreUnavailable(f"watch of {key} ended")
                await self._pausable.ready()
                yield entry
        finally:
            self._shared.watchers[key].remove(queue)

    async def _enter(self, kind):
        await self._pausable.ready()
        self._shared.counts[kind] += 1
        await self._clock.sleep(self._shared.delay_ms)
        if self._shared.is_down or self.is_cut:
            raise StoreUnavailable("store is down")


class Network:
    """Links between fake peers: delay, loss, cuts.

    :param copies: send messages through msgpack, as the real link does.
    """

    def __init__(self, random, delay_ms=1.0, loss=0.0, copies=True):
        self.handlers = {}
        self.pausables = {}
        self.random = random
        self.delay_ms = delay_ms
        self.loss = loss
        self.copies = copies
        self.cuts = set()
        self.bytes_sent = 0
        self.messages = 0

    def cut(self, some, others):
        """Cut all links between two groups of addresses."""
        for one in some:
            for other in others:
                self.cuts.add(frozenset((one, other)))

    def heal(self):
        """Restore all links."""
        self.cuts.clear()

    def is_lost(self, sender, address):
        """Return whether a message is lost now."""
        if frozenset((sender, address)) in self.cuts:
            return True
        return self.random.random() < self.loss


class FakePeers(Peers):
    """One node's links in a :class:`Network`."""

    __slots__ = ("_address", "_clock", "_network", "_tasks")

    def __init__(self, network, address, clock):
        self._network = network
        self._address = address
        self._clock = clock
        self._tasks = set()

    async def ask(self, address, message, timeout_ms):
        """Send a message and return the answer."""
        try:
            async with self._clock.timeout(timeout_ms):
                answer = await self._deliver(address, message, asks=True)
        except TimeoutError:
            raise PeerError(f"{address}: no answer") from None
        if isinstance(answer, Failure):
            raise PeerError(f"{address}: {answer.text}")
        return answer

    def tell(self, address, message):
        """Send a message without an answer."""
        task = asyncio.get_running_loop().create_task(self._tell(address, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _tell(self, address, message):
        try:
            await self._deliver(address, message, asks=False)
        except PeerError:
            return

    async def _deliver(self, address, message, asks):
        network = self._network
        await self._ready(self._address)
        message = self._sent(message)
        await self._clock.sleep(network.delay_ms * network.random.uniform(0.5, 1.5))
        handler = network.handlers.get(address)
        if handler is None:
            raise PeerError(f"{address}: refused")
        if network.is_lost(self._address, address):
            await self._lost(asks)
        await self._ready(address)
        answer = await handler(message)
        if not asks:
            return None
        await self._ready(address)
        answer = self._sent(answer)
        await self._clock.sleep(network.delay_ms * network.random.uniform(0.5, 1.5))
        if network.is_lost(address, self._address):
            await self._lost(asks)
        await self._ready(self._address)
        return answer

    async def _lost(self, asks):
        if asks:
            await asyncio.Event().wait()
        raise PeerError("lost")

    async def _ready(self, address):
        pausable = self._network.pausables.get(address)
        if pausable is not None and pausable.is_paused:
            await pausable.ready()

    def _sent(self, message):
        network = self._network
        network.messages += 1
        if not network.copies:
            return message
        data = pack(message)
        network.bytes_sent += len(data)
        return feed(new_unpacker(), data)[0][0]


class FakeInstances(InstanceList):
    """An instance list that shows what the test sets."""

    __slots__ = ("entries",)

    def __init__(self, entries):
        self.entries = entries

    async def read(self):
        """Return the list of :class:`Instance`."""
        return list(self.entries)


class FakeServer:
    """A backend server that does what its script says, then answers.

    ``ran`` holds the calls that it ran, ``whole`` those of them that it answered in full.
    ``script`` is a queue of names of :data:`STEPS`; ``always`` is the step when it is empty.
    """

    __slots__ = (
        "always",
        "crash_mark",
        "id",
        "incarnation",
        "is_dead",
        "latency_ms",
        "orders",
        "ran",
        "rows",
        "script",
        "versions",
        "whole",
    )

    def __init__(self, server_id, rows=(), versions=(1,), latency_ms=2.0):
        self.id = server_id
        self.rows = list(rows)
        self.versions = list(versions)
        self.latency_ms = latency_ms
        self.script = deque()
        self.always = "answer"
        self.incarnation = 1
        self.is_dead = False
        self.crash_mark = None
        self.ran = []
        self.whole = []
        self.orders = []

    def run(self, call):
        """Note that the call runs."""
        self.ran.append(call)
        if isinstance(call, OrderCall):
            self.orders.append(call.order)

    def answer(self, call, partial=False):
        """Return the whole answer to a call."""
        self.run(call)
        if isinstance(call, OrderCall):
            return OrderAnswer(
                request_id=call.request_id,
                outcome={"by": self.id, "order": call.order},
                incarnation=self.incarnation,
            )
        if not partial:
            self.whole.append(call)
        return ShardAnswer(
            request_id=call.request_id,
            shard=call.shard,
            version=call.version,
            rows=[{**row, "version": call.version} for row in self.rows],
            partial=partial,
            load=0,
            incarnation=self.incarnation,
        )


async def _answer(server, call, clock):
    await clock.sleep(server.latency_ms)
    return server.answer(call)


async def _partial(server, call, clock):
    await clock.sleep(server.latency_ms)
    return server.answer(call, partial=True)


async def _slow(server, call, clock):
    await clock.sleep(server.latency_ms * 50)
    return server.answer(call)


async def _refused(server, _call, clock, reason):
    await clock.sleep(server.latency_ms)
    raise BackendRefused(server.id, reason, incarnation=server.incarnation)


async def _draining(server, call, clock):
    await _refused(server, call, clock, "draining")


async def _overload(server, call, clock):
    await _refused(server, call, clock, "overload")


async def _cold(server, call, clock):
    await _refused(server, call, clock, "cold")


async def _unreachable(server, _call, _clock):
    raise BackendUnreachable(server.id)


async def _lacks_version(server, _call, clock):
    await clock.sleep(server.latency_ms)
    raise BackendLacksVersion(server.id, server.versions)


async def _cut_before(server, _call, clock):
    await clock.sleep(server.latency_ms)
    raise BackendCut(server.id)


async def _cut_after(server, call, clock):
    await clock.sleep(server.latency_ms)
    server.run(call)
    raise BackendCut(server.id)


async def _hang(server, call, clock):
    server.run(call)
    await clock.sleep(call.deadline_ms)
    raise BackendTimeout(server.id)


async def _silent(server, _call, clock):
    await clock.sleep(500.0)
    raise BackendSilent(server.id)


async def _mismatch(server, call, clock):
    await clock.sleep(server.latency_ms)
    server.run(call)
    raise BackendMismatch(server.id)


async def _fault(server, call, clock):
    await clock.sleep(server.latency_ms)
    server.run(call)
    raise BackendFault(server.id)


async def _die(server, call, clock):
    server.run(call)
    server.is_dead = True
    await clock.sleep(server.latency_ms)
    raise BackendDied(server.id)


STEPS = {
    "answer": _answer,
    "partial": _partial,
    "slow": _slow,
    "draining": _draining,
    "overload": _overload,
    "cold": _cold,
    "unreachable": _unreachable,
    "lacks-version": _lacks_version,
    "cut-before": _cut_before,
    "cut-after": _cut_after,
    "hang": _hang,
    "silent": _silent,
    "mismatch": _mismatch,
    "fault": _fault,
    "die": _die,
}

RAN_BY_STEP = {
    "draining": Ran.NO,
    "overload": Ran.NO,
    "cold": Ran.NO,
    "unreachable": Ran.NO,
    "lacks-version": Ran.NO,
}


class FakeBackends(BackendClient):
    """One node's calls to the fake servers.

    :param servers: :class:`FakeServer` by id, shared by all nodes.
    """

    __slots__ = ("_clock", "_pausable", "_servers")

    def __init__(self, servers, clock, pausable=None):
        self._servers = servers
        self._clock = clock
        self._pausable = pausable or Pausable()

    async def call(self, server, call, silent_ms):
        """Do the server's next step."""
        await self._pausable.ready()
        fake = self._servers[server.id]
        if fake.is_dead:
            raise BackendUnreachable(server.id)
        name = fake.script.popleft() if fake.script else fake.always
        payload = call.order if isinstance(call, OrderCall) else call.query
        if fake.crash_mark is not None and payload.get("text") == fake.crash_mark:
            name = "die"
        if not isinstance(call, OrderCall) and call.version not in fake.versions:
            name = "lacks-version"
        try:
            async with self._clock.timeout(call.deadline_ms):
                answer = await STEPS[name](fake, call, self._clock)
        except TimeoutError:
            raise BackendTimeout(server.id) from None
        await self._pausable.ready()
        return answer
