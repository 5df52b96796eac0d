"""When a node takes itself for cut off from all servers, and when it does not."""

import asyncio
import random

import pytest

from auburnhollow.gossip import GossipEntry
from auburnhollow.membership import ALIVE, Member
from auburnhollow.reach import Reach, ReachGossip
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.fake_servers import DATA_CENTRES, make_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

CONNECT_TIMEOUT_MS = 400.0


class Bed:
    """A :class:`Reach` over servers of three data centres; ``down`` accept no connection."""

    def __init__(self, servers=12, hangs=True):
        self.clock = VirtualClock()
        self.registry = ServerRegistry(self.clock)
        for number in range(servers):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.registry.put(make_server(f"s-{number}", data_centre=data_centre))
        self.down = set()
        self.attempts = []
        self.changes = []
        self._hangs = hangs
        self.reach = Reach(self.clock, random.Random(1), self._can_connect, self.registry)
        self.reach.on_change = self._on_change

    @property
    def servers(self):
        return self.registry.servers

    def cut(self):
        self.down = {server.id for server in self.servers}

    def _on_change(self, is_cut_off):
        self.changes.append((self.clock.now_ms(), is_cut_off))

    async def _can_connect(self, server):
        self.attempts.append(self.clock.now_ms())
        is_down = server.id in self.down
        await self.clock.sleep(CONNECT_TIMEOUT_MS if is_down and self._hangs else 4.0)
        return not is_down


def run(scenario, **options):
    """Run ``scenario`` with a :class:`Bed`; return the bed."""

    async def play():
        bed = Bed(**options)
        bed.reach.record_answer()
        await scenario(bed)
        bed.reach.close()
        return bed

    return run_virtually(play())


@pytest.mark.parametrize("hangs", [True, False])
def test_a_node_that_reaches_no_server_is_cut_off_within_half_a_second(hangs):
    async def scenario(bed):
        await bed.clock.sleep(200)
        bed.cut()
        for server in bed.servers[:3]:
            bed.reach.record_refusal(server)
        await bed.clock.sleep(500)

    bed = run(scenario, hangs=hangs)
    assert [is_cut_off for _, is_cut_off in bed.changes] == [True]


def test_a_node_is_no_longer_cut_off_soon_after_a_server_accepts_a_connection():
    async def scenario(bed):
        bed.cut()
        for server in bed.servers[:3]:
            bed.reach.record_refusal(server)
        await bed.clock.sleep(10_000)
        bed.down.clear()
        await bed.clock.sleep(1_000)

    bed = run(scenario)
    assert [is_cut_off for _, is_cut_off in bed.changes] == [True, False]


def test_a_node_that_is_cut_off_connects_at_a_bounded_rate():
    async def scenario(bed):
        bed.cut()
        for _ in range(1_000):
            for server in bed.servers:
                bed.reach.record_refusal(server)
            await bed.clock.sleep(10)

    assert len(run(scenario, hangs=False).attempts) <= 100


@pytest.mark.parametrize("number, answers", [(1, False), (2, True)])
def test_trouble_with_few_servers_starts_no_check(number, answers):
    async def scenario(bed):
        bed.cut()
        for _ in range(20):
            for server in bed.servers[:number]:
                bed.reach.record_refusal(server)
                bed.reach.record_silence(server)
            await bed.clock.sleep(50)
            if answers:
                bed.reach.record_answer()

    assert run(scenario).attempts == []


def test_a_node_without_answers_checks_its_links_when_it_hears_of_a_cut():
    async def scenario(bed):
        bed.cut()
        bed.reach.hear_of_cut()
        await bed.clock.sleep(1_000)
        assert bed.attempts == []
        bed.reach.hear_of_cut()
        await bed.clock.sleep(1_000)

    assert [is_cut_off for _, is_cut_off in run(scenario).changes] == [True]


def test_late_calls_beside_answers_start_no_check():
    async def scenario(bed):
        for _ in range(50):
            for server in bed.servers:
                bed.reach.record_silence(server)
            bed.reach.record_answer()
            await bed.clock.sleep(50)

    assert run(scenario).attempts == []


@pytest.mark.parametrize("hangs", [True, False])
def test_a_data_centre_out_of_reach_or_dead_servers_do_not_cut_a_node_off(hangs):
    async def scenario(bed):
        bed.down = {server.id for server in bed.servers if server.data_centre != DATA_CENTRES[0]}
        for _ in range(20):
            for server in bed.servers:
                if server.id in bed.down:
                    bed.reach.record_refusal(server)
                    bed.reach.record_silence(server)
            await bed.clock.sleep(200)

    assert run(scenario, hangs=hangs).changes == []


def test_a_node_that_was_stalled_reads_its_connections_before_it_decides():
    async def scenario(bed):
        await bed.clock.sleep(200)
        for server in bed.servers:
            bed.reach.record_silence(server)
        await bed.clock.sleep(1)
        # The loop's time jumps past all timeouts, as after a stall.
        asyncio.get_running_loop().now_s += 2.0
        await bed.clock.sleep(1_000)

    assert run(scenario).changes == []


def test_a_node_without_servers_is_not_cut_off():
    async def scenario(bed):
        bed.reach.record_silence(make_server("gone"))
        await bed.clock.sleep(1_000)

    assert run(scenario, servers=0).changes == []


def test_a_link_that_flaps_is_followed():
    async def scenario(bed):
        for _ in range(5):
            bed.cut()
            for server in bed.servers[:3]:
                bed.reach.record_refusal(server)
            await bed.clock.sleep(1_000)
            bed.down.clear()
            await bed.clock.sleep(1_000)

    bed = run(scenario, hangs=False)
    assert [is_cut_off for _, is_cut_off in bed.changes] == [True, False] * 5


class FakeGossip:
    """A table and a gossiper of one node; ``published`` lists its own entries."""

    def __init__(self):
        self.published = []
        self.hear = None

    def on(self, _kind, listener):
        self.hear = listener

    def publish(self, entry):
        self.published.append(entry)


class Alone:
    """A membership without other nodes."""

    members = {}

    def __init__(self):
        self.me = Member(
            id="here",
            address="here:1",
            data_centre=DATA_CENTRES[0],
            state=ALIVE,
            incarnation=1,
            revision=0,
            ready=True,
        )

    def answering(self):
        return ()


def test_builds_that_compare_versions_are_told_from_those_before():
    async def scenario(bed):
        gossip = FakeGossip()
        reach_gossip = ReachGossip(bed.reach, gossip, gossip, Alone(), bed.clock)
        reach_gossip.publish()
        (own,) = gossip.published
        assert own.value[0] is False
        for name, value in (("new", own.value), ("old", own.value[:1])):
            gossip.hear(GossipEntry(kind=own.kind, key=name, version=1, value=value, expires_ms=9))
        assert reach_gossip.compares_versions("new")
        assert not reach_gossip.compares_versions("old")
        assert not reach_gossip.compares_versions("unknown")

    run(scenario)
