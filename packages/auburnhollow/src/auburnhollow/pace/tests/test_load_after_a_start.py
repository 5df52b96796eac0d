"""Plays the load that a cold server of three gets from 7, 58 and 195 nodes.

Two measured errors: *flooded*, the late answers of the new server, and *idle*, the time until it
gets nine tenths of what it gets once it has settled. Beside the pace: none, and a fixed slow start.
"""

import heapq
import random

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.metrics import Metrics
from auburnhollow.pace import Pace
from auburnhollow.relay.choice import ServerChoice
from auburnhollow.relay.subrequests import Call
from auburnhollow_standins.fake_servers import HOME, REGIONS, make_server

SLOTS = 4
WORK_MS = 28.0
COLD_FACTOR = 3.0
COLD_MS = 3_000.0
# Four fifths of what the two settled servers can do.
RATE_PER_MS = 0.8 * 2 * SLOTS / WORK_MS
WARM_MS = 2_000.0
LENGTH_MS = 10_000.0
WINDOW_MS = 1_000.0
LATE_RATIO = 4.0
GOSSIP_MS = 600.0
NEW = 0


class ModelServer:
    """Runs as many requests as it has slots, one after the other in each."""

    def __init__(self, cold_until_ms):
        self._free_ms = [0.0] * SLOTS
        self._ends_ms = []
        self._cold_until_ms = cold_until_ms

    def run(self, now_ms, rng):
        """Return when a request that arrives now ends, and how many it finds there."""
        self._ends_ms = [end_ms for end_ms in self._ends_ms if end_ms > now_ms]
        load = len(self._ends_ms)
        begin_ms = max(now_ms, heapq.heappop(self._free_ms))
        factor = COLD_FACTOR if begin_ms < self._cold_until_ms else 1.0
        end_ms = begin_ms + WORK_MS * factor * rng.lognormvariate(0, 0.35)
        heapq.heappush(self._free_ms, end_ms)
        self._ends_ms.append(end_ms)
        return end_ms, load


class SlowStart:
    """The share of a new server grows with time alone, whatever it answers."""

    def __init__(self, clock, rng):
        self._clock = clock
        self._rng = rng
        self._began_ms = None

    def __len__(self):
        return int(self._began_ms is not None)

    def begin(self, _server, _reason):
        self._began_ms = self._clock.now_ms()

    def thin(self, servers):
        share = (self._clock.now_ms() - self._began_ms) / (2 * COLD_MS)
        if len(servers) > 1 and self._rng.random() > share:
            return [server for server in servers if server.id != "0"]
        return servers

    def answered(self, *_answer):
        return


def make_pace(kind, clock, rng, choice, servers):
    if kind == "none":
        return None
    if kind == "slow start":
        return SlowStart(clock, rng)
    return Pace(
        clock, rng, Metrics(), lambda server: choice.pressure(server, servers), lambda _: True
    )


def play(kind, nodes, seed):
    """Return the share of late answers of the new server, and how long it was idle, in ms."""
    rng = random.Random(seed)
    clock = ManualClock()
    servers = [make_server(str(number), slots=SLOTS) for number in range(3)]
    models = [ModelServer(WARM_MS + COLD_MS)] + [ModelServer(0.0) for _ in range(2)]
    choices = []
    events = []
    for _ in range(nodes):
        choice = ServerChoice(HOME, REGIONS, clock, rng)
        choice.pace = make_pace(kind, clock, rng, choice, servers)
        choices.append(choice)
        if isinstance(choice.pace, Pace):
            choice.pace.on_change = lambda *change: heapq.heappush(
                events, (clock.now_ms() + GOSSIP_MS, rng.random(), "gossip", change)
            )
    at_ms, is_started = 0.0, False
    sent = {}
    late = answers = 0
    while at_ms < LENGTH_MS:
        while events and events[0][0] <= at_ms:
            due_ms, _, what, detail = heapq.heappop(events)
            clock.advance(due_ms - clock.now_ms())
            if what == "gossip":
                for choice in choices:
                    choice.pace.hear_from_peer(*detail)
                continue
            choice, call, load = detail
            ratio = (due_ms - call.began_ms) / WORK_MS
            choice.view(call.server).answered(call, ratio, load, due_ms)
            if choice.pace is not None:
                choice.pace.answered(call.server, call.began_ms, ratio, load)
        clock.advance(at_ms - clock.now_ms())
        if not is_started and at_ms >= WARM_MS:
            is_started = True
            for choice in choices:
                if choice.pace is not None:
                    choice.pace.begin(servers[NEW], "started")
        choice = choices[rng.randrange(nodes)]
        server = choice.choose(servers if is_started else servers[1:], WORK_MS)
        call = Call(None, server, 1.0, at_ms, at_ms)
        choice.view(server).began(call, at_ms)
        end_ms, load = models[int(server.id)].run(at_ms, rng)
        heapq.heappush(events, (end_ms, rng.random(), "answer", (choice, call, load)))
        if server.id == "0":
            window = int((at_ms - WARM_MS) / WINDOW_MS)
            sent[window] = sent.get(window, 0) + 1
            if at_ms < WARM_MS + COLD_MS:
                answers += 1
                late += end_ms - at_ms > LATE_RATIO * WORK_MS
        at_ms += rng.expovariate(RATE_PER_MS)
    settled = (sent[6] + sent[5] + sent.get(7, sent[6])) / 3
    idle = next(number for number in range(8) if sent.get(number, 0) >= 0.9 * settled)
    return late, answers, (idle + 1) * WINDOW_MS


def mean_play(kind, nodes):
    late = answers = idle_ms = 0.0
    seeds = range(5)
    for seed in seeds:
        each_late, each_answers, each_idle_ms = play(kind, nodes, seed)
        late += each_late / len(seeds)
        answers += each_answers / len(seeds)
        idle_ms += each_idle_ms / len(seeds)
    return late, answers, idle_ms


@pytest.mark.parametrize("nodes", [7, 58, 195])
def test_a_cold_server_is_neither_flooded_nor_left_idle(nodes):
    none_late, _none_answers, _ = mean_play("none", nodes)
    late, answers, idle_ms = mean_play("pace", nodes)
    assert late <= none_late / 4
    assert answers > 0
    assert idle_ms <= 2 * COLD_MS
