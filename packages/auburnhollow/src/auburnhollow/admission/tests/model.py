"""Model servers in virtual time, under load from model callers, behind three nodes."""

import heapq
import itertools
import random

from auburnhollow.admission import Admission, Ask, Queue, Returns, Room, Verdict
from auburnhollow.clock import ManualClock
from auburnhollow.servers import Server

NODES = 3
SLOTS = 4
QUEUE = 24
TICK_MS = 10.0
ONE_WAY_MS = 2.0
PATIENCE_MS = 1_000.0


class Kind:
    """A kind of request: its share of the load, urgency, work, objective and account."""

    def __init__(self, name, share, urgency, work_ms, objective_ms, account=None):
        self.name, self.share, self.urgency = name, share, urgency
        self.work_ms, self.objective_ms, self.account = work_ms, objective_ms, account


class ModelServer:
    """Runs ``SLOTS`` requests at a time, queues some more and refuses the rest."""

    def __init__(self, index, shard, slow=1.0):
        self.record = Server(
            id=f"i-{shard}-{index}", service=f"s-{shard}", address="", data_centre="a",
            slots=SLOTS, state="ready", warm_up_ms=0, started_ms=index, sequence=0,
        )  # fmt: skip
        self.slow = slow
        self.free_ms = [0.0] * SLOTS
        self.load = 0

    def wait_ms(self, now_ms):
        """Return how long a request that arrives now waits for a slot."""
        return max(0.0, self.free_ms[0] - now_ms)

    def run(self, now_ms, work_ms):
        """Return when a request that arrives now is done, or ``None`` if it is refused."""
        if self.load >= SLOTS + QUEUE:
            return None
        self.load += 1
        end_ms = max(now_ms, self.free_ms[0]) + work_ms * self.slow
        heapq.heapreplace(self.free_ms, end_ms)
        return end_ms


class TrueRoom(Room):
    """Knows each server's true queue, with what all nodes have started."""

    def __init__(self, clock, servers):
        super().__init__(clock)
        self.servers = servers

    def queue_ms(self, servers, work_ms=0.0):
        now_ms = self._clock.now_ms()
        found_ms = []
        for each in (self.servers[server.incarnation] for server in servers):
            extra_ms = 2.0 * work_ms * (each.slow - 1.0)
            found_ms.append(each.wait_ms(now_ms) and each.wait_ms(now_ms) + extra_ms)
        return min(found_ms)


class Node:
    """The decisions of one node."""

    def __init__(self, clock, seed, room, servers):
        self.room = room
        self.admission = Admission(clock, self.room, servers)
        self.queue = Queue(clock, self.admission)
        self.returns = Returns(clock, random.Random(seed))


class Model:
    """Plays one load; ``good`` and ``asked`` count callers by the name of their kind.

    :param mode: ``none``, ``ours`` or ``oracle``, which decides by the true queues.
    :param repeats: the share of callers who ignore the time to come back.
    """

    def __init__(self, mode, kinds, per_s, seed, shards=10, lost=0, slow_shard=1.0, repeats=0.0):
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.mode, self.kinds, self.repeats = mode, kinds, repeats
        self.per_s = per_s
        self.shards = []
        for shard in range(shards):
            count = 6 - lost
            slow = slow_shard if shard == 0 else 1.0
            self.shards.append([ModelServer(each, shard, slow) for each in range(count)])
        self.records = {f"s-{i}": [s.record for s in each] for i, each in enumerate(self.shards)}
        servers = {s.record.incarnation: s for shard in self.shards for s in shard}
        self.nodes = []
        for each in range(NODES):
            room = (
                TrueRoom(self.clock, servers)
                if mode == "oracle"
                else Room(self.clock, lambda: NODES)
            )
            self.nodes.append(Node(self.clock, seed + each, room, self.records.get))
        self.good, self.asked = {}, {}
        self.history, self.arrivals_ms = [], []
        self.events, self.order = [], itertools.count()
        self.waiting = {}

    def at(self, delay_ms, call):
        """Make a call after a time."""
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(self.events, (due_ms, next(self.order), call))

    def play(self, until_ms):
        """Play the load until a time; callers arrive at random."""
        self.at(0.0, lambda: self._arrive(until_ms))
        self.at(TICK_MS, lambda: self._tick(until_ms))
        while self.events:
            due_ms, _order, call = heapq.heappop(self.events)
            self.clock.advance(due_ms - self.clock.now_ms())
            call()
        return {name: self.good.get(name, 0) / asked for name, asked in self.asked.items()}

    def count_asked(self, from_ms, until_ms):
        """Return how many callers came in a time."""
        return sum(1 for each in self.arrivals_ms if from_ms <= each < until_ms)

    def _arrive(self, until_ms):
        now_ms = self.clock.now_ms()
        if now_ms > until_ms:
            return
        self.at(
            self.random.expovariate(self.per_s(now_ms) / 1000.0), lambda: self._arrive(until_ms)
        )
        (kind,) = self.random.choices(self.kinds, [kind.share for kind in self.kinds])
        self.arrivals_ms.append(now_ms)
        self.asked[kind.name] = self.asked.get(kind.name, 0) + 1
        self._attempt(kind, str(next(self.order)), now_ms, attempts=2)

    def _attempt(self, kind, request_id, first_ms, attempts):
        now_ms = self.clock.now_ms()
        ask = Ask(
            id=request_id, route=kind.name, account=kind.account, urgency=kind.urgency,
            services=tuple(self.records), least=len(self.records), work_ms=kind.work_ms,
            received_ms=now_ms, objective_ms=kind.objective_ms,
        )  # fmt: skip
        node = self.random.choice(self.nodes)
        state = (ask, kind, node, first_ms, attempts)
        if self.mode == "none":
            return self._start(state)
        ask.is_returning = node.returns.is_returning(ask.id)
        node.admission.arrived(ask)
        verdict = node.admission.decide(ask)
        if verdict is Verdict.REFUSE:
            return self._refuse(state)
        if verdict is Verdict.START and not node.queue.must_wait(ask):
            node.queue.charge(ask)
            node.admission.started(ask)
            return self._start(state)
        self.waiting[id(ask)] = state
        dropped = node.queue.add(ask)
        if dropped is not None:
            self._refuse(self.waiting.pop(id(dropped)))
        return None

    def _tick(self, until_ms):
        for node in self.nodes:
            for ask, verdict in node.queue.release():
                state = self.waiting.pop(id(ask))
                (self._start if verdict is Verdict.START else self._refuse)(state)
        if self.clock.now_ms() <= until_ms or self.waiting:
            self.at(TICK_MS, lambda: self._tick(until_ms))

    def _refuse(self, state):
        ask, kind, node, first_ms, attempts = state
        if attempts == 1:
            return
        retry_ms = node.returns.retry_ms(ask.id, node.admission.queue_ms(ask))
        if self.random.random() < self.repeats:
            retry_ms = 5.0
        if retry_ms > PATIENCE_MS:
            return
        self.at(retry_ms, lambda: self._attempt(kind, ask.id, first_ms, attempts - 1))

    def _start(self, state):
        ask, kind, node, first_ms, _attempts = state
        node.returns.count_start()
        missing = set(range(len(self.shards)))
        for index, shard in enumerate(self.shards):
            server = min(self.random.sample(shard, 2), key=lambda each: each.load)
            work_ms = kind.work_ms * self.random.uniform(0.5, 1.5)
            began_ms = self.clock.now_ms()
            end_ms = server.run(began_ms + ONE_WAY_MS, work_ms)
            if end_ms is None:
                node.room.hear_full(server.record)
                continue

            def end(server=server, index=index, began_ms=began_ms):
                load, server.load = server.load, server.load - 1
                now_ms = self.clock.now_ms()
                node.room.hear(server.record, kind.name, load, now_ms - began_ms)
                missing.discard(index)
                if not missing and now_ms + ONE_WAY_MS - ask.received_ms <= kind.objective_ms:
                    self.good[kind.name] = self.good.get(kind.name, 0) + 1
                    self.history.append(first_ms)

            self.at(end_ms - began_ms, end)
