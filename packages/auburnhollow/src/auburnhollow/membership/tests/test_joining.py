"""Joining the fleet, and the network traffic that it causes."""

import random
from contextlib import suppress

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.events import Recorder
from auburnhollow.exceptions import PeerError
from auburnhollow.gossip import Gossiper, GossipTable, Push, SyncAsk
from auburnhollow.gossip.messages import Fetch
from auburnhollow.membership import ALIVE, Member, Membership
from auburnhollow.membership.messages import NearbyAsk, Ping
from auburnhollow.metrics import Metrics
from auburnhollow.peers import Message, Peers, pack
from auburnhollow_standins.virtual import run_virtually


class FakeNetwork(Peers):
    """Delivers messages without delay.

    ``sent`` lists ``(from, to, type, bytes)`` of requests and answers.
    """

    def __init__(self):
        self.nodes = {}
        self.sent = []
        self.unreachable = set()

    def peers(self, address):
        return FakePeers(self, address)

    async def transmit(self, sender, address, message):
        if address in self.unreachable:
            raise PeerError(f"{address}: unreachable")
        self._record(sender, address, message)
        answer = await self.nodes[address].handle(message)
        if answer is not None:
            self._record(address, sender, answer)
        return answer

    def _record(self, sender, address, message):
        assert isinstance(message, Message)
        self.sent.append((sender, address, type(message), len(pack(message))))


class FakePeers(Peers):
    def __init__(self, network, address):
        self._network = network
        self._address = address
        self.queued = []

    async def ask(self, address, message, timeout_ms):
        return await self._network.transmit(self._address, address, message)

    def send(self, address, message):
        self.queued.append((address, message))

    async def deliver(self):
        queued, self.queued = self.queued, []
        for address, message in queued:
            with suppress(PeerError):
                await self._network.transmit(self._address, address, message)
        return len(queued)


class Node:
    """Membership and gossip of one node on a :class:`FakeNetwork`."""

    def __init__(self, network, name, data_centre):
        clock = ManualClock()
        rng = random.Random(name)
        me = Member(
            id=name,
            address=name,
            data_centre=data_centre,
            state=ALIVE,
            incarnation=1,
            revision=0,
            ready=True,
        )
        self.is_earlier_release = False
        self.peers = network.peers(name)
        self.table = GossipTable(clock)
        self.membership = Membership(
            me, self.table, self.peers, clock, rng, Recorder(name, clock), Metrics()
        )
        targets = self.membership.targets
        self.gossiper = Gossiper(self.table, self.peers, name, targets, rng, clock, Metrics())
        self.membership.join(self.gossiper)
        network.nodes[name] = self

    async def handle(self, message):
        handlers = {
            Ping: self.membership.on_ping,
            NearbyAsk: self.membership.on_nearby_ask,
            Push: self.gossiper.on_push,
            SyncAsk: self.gossiper.on_sync_ask,
            Fetch: self.gossiper.on_fetch,
        }
        if type(message) not in handlers or self.is_earlier_release and type(message) is NearbyAsk:
            raise PeerError("connection lost")
        return await handlers[type(message)](message)

    async def push_and_deliver(self):
        self.gossiper.push_pending()
        return await self.peers.deliver()


async def push_until_quiet(network):
    """Push pending entries between all nodes until none are left."""
    while sum([await node.push_and_deliver() for node in network.nodes.values()]):
        continue


async def make_fleet(network, count):
    """Return nodes in two data centres that have joined through ``west-0``."""
    nodes = [Node(network, "west-0", "west")]
    for number in range(1, count):
        data_centre = ("west", "east")[number % 2]
        nodes.append(Node(network, f"{data_centre}-{number}", data_centre))
        await nodes[-1].membership.contact("west-0")
        await push_until_quiet(network)
    return nodes


def bytes_of(network, sender, receiver):
    return sum(
        message_bytes
        for source, target, _, message_bytes in network.sent
        if (source, target) == (sender, receiver)
    )


def test_a_joining_node_syncs_with_a_node_in_its_own_data_centre():
    async def run():
        network = FakeNetwork()
        await make_fleet(network, 60)
        network.sent.clear()
        node = Node(network, "east-new", "east")
        await node.membership.contact("west-0")
        await node.peers.deliver()
        return network, node

    network, node = run_virtually(run())
    assert len(node.membership.present()) >= 55
    assert bytes_of(network, "west-0", "east-new") < 200
    helpers = {sender for sender, receiver, _, _ in network.sent if receiver == "east-new"}
    assert all(name.startswith("east") for name in helpers - {"west-0"})


def test_joining_transfers_each_entry_about_once():
    async def run():
        network = FakeNetwork()
        await make_fleet(network, 60)
        network.sent.clear()
        node = Node(network, "east-new", "east")
        await node.membership.contact("west-0")
        await node.peers.deliver()
        return network, node

    network, node = run_virtually(run())
    table_bytes = len(
        pack(Push(sender="east-0", entries=[entry.to_list() for entry in node.table.entries()]))
    )
    assert sum(message_bytes for _, _, _, message_bytes in network.sent) < 1.3 * table_bytes


@pytest.mark.parametrize("unreachable", [["east-1"], ["east-1", "east-3"]])
def test_a_join_falls_back_to_the_contact_if_nearby_nodes_are_unreachable(unreachable):
    async def run():
        network = FakeNetwork()
        nodes = await make_fleet(network, 4)
        network.unreachable.update(unreachable)
        node = Node(network, "east-new", "east")
        await node.membership.contact("west-0")
        await push_until_quiet(network)
        return nodes, node

    nodes, node = run_virtually(run())
    assert len(node.membership.present()) == 5
    assert "east-new" in nodes[0].membership.present()


def test_the_first_node_of_a_data_centre_syncs_with_its_contact():
    async def run():
        network = FakeNetwork()
        await make_fleet(network, 2)
        node = Node(network, "south-0", "south")
        await node.membership.contact("west-0")
        return node

    assert len(run_virtually(run()).membership.present()) == 3


def test_a_node_can_join_through_a_node_of_an_earlier_release():
    async def run():
        network = FakeNetwork()
        (earlier, *_others) = await make_fleet(network, 4)
        earlier.is_earlier_release = True
        node = Node(network, "east-new", "east")
        await node.membership.contact("west-0")
        return node

    assert len(run_virtually(run()).membership.present()) == 5
