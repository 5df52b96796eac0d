"""Choice of the peers that new entries are pushed to."""

import asyncio
import random

from auburnhollow.clock import ManualClock
from auburnhollow.gossip import GossipEntry, Gossiper, GossipTable
from auburnhollow.gossip.gossiper import FANOUT, RANDOM_FANOUT
from auburnhollow.metrics import Metrics
from auburnhollow.peers import Peers

NEARBY = [f"near-{number}" for number in range(13)]
ALL = NEARBY + [f"far-{number}" for number in range(60)]


class RecordingPeers(Peers):
    """Records the addresses that messages are sent to."""

    def __init__(self):
        self.addresses = []

    def send(self, address, message):
        self.addresses.append(address)


def publish_entries(near, count):
    """Push entries one by one and return the addresses that they went to."""
    clock = ManualClock()
    peers = RecordingPeers()
    table = GossipTable(clock)
    rng = random.Random(1)
    gossiper = Gossiper(table, peers, "me", lambda: ALL, rng, clock, Metrics(), near=near)
    for number in range(count):
        gossiper._pending[("k", str(number))] = GossipEntry(
            kind="k", key=str(number), version=1, value=[], expires_ms=0
        )
        gossiper.push_pending()
    return peers.addresses


def test_most_pushes_go_to_nearby_nodes():
    addresses = publish_entries(lambda: NEARBY, 200)
    far = [address for address in addresses if address not in NEARBY]
    assert len(addresses) == 200 * FANOUT
    assert 0.7 * 200 * RANDOM_FANOUT <= len(far) <= 200 * RANDOM_FANOUT
    assert len(set(far)) > 40


def test_without_enough_nearby_nodes_pushes_go_to_any_node():
    for near in (None, lambda: NEARBY[:2]):
        addresses = publish_entries(near, 200)
        far = [address for address in addresses if address not in NEARBY]
        assert len(far) > 0.7 * len(addresses)


def test_a_push_before_the_task_wakes_up_does_not_end_the_task():
    """A node that leaves publishes its new state and pushes it before the task has run."""

    async def run():
        clock = ManualClock()
        table = GossipTable(clock)
        rng = random.Random(1)
        gossiper = Gossiper(table, RecordingPeers(), "me", lambda: ALL, rng, clock, Metrics())
        task = asyncio.create_task(gossiper.run())
        await asyncio.sleep(0)
        gossiper.publish(GossipEntry(kind="k", key="a", version=1, value=[], expires_ms=0))
        gossiper.push_pending()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        is_running = not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        assert is_running

    asyncio.run(run())
