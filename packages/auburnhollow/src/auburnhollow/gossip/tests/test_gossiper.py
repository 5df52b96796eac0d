"""Where news goes."""

import random

from auburnhollow.clock import ManualClock
from auburnhollow.gossip import GossipEntry, Gossiper, GossipTable
from auburnhollow.gossip.gossiper import FANOUT, FAR
from auburnhollow.metrics import Metrics
from auburnhollow.peers import Peers

NEAR = [f"near-{number}" for number in range(13)]
ALL = NEAR + [f"far-{number}" for number in range(60)]


class Told(Peers):
    """Notes who is told something."""

    def __init__(self):
        self.addresses = []

    def tell(self, address, message):
        self.addresses.append(address)


def tell_news(near, count):
    """Publish facts one by one and return the addresses of the pushes."""
    clock = ManualClock()
    told = Told()
    table = GossipTable(clock)
    rng = random.Random(1)
    gossiper = Gossiper(table, told, "me", lambda: ALL, rng, clock, Metrics(), near=near)
    for number in range(count):
        gossiper._pending[("k", str(number))] = GossipEntry(
            kind="k", key=str(number), version=1, value=[], expires_ms=0
        )
        gossiper.push_pending()
    return told.addresses


def test_most_news_goes_to_near_peers_and_some_to_any():
    addresses = tell_news(lambda: NEAR, 200)
    far = [address for address in addresses if address not in NEAR]
    assert len(addresses) == 200 * FANOUT
    assert 0.7 * 200 * FAR <= len(far) <= 200 * FAR
    assert len(set(far)) > 40


def test_without_enough_near_peers_news_goes_to_any():
    for near in (None, lambda: NEAR[:2]):
        addresses = tell_news(near, 200)
        far = [address for address in addresses if address not in NEAR]
        assert len(far) > 0.7 * len(addresses)
