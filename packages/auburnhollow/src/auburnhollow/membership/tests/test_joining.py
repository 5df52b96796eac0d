"""What it costs a fleet that a node joins."""

import random
from contextlib import suppress

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.events import Recorder
from auburnhollow.exceptions import PeerError
from auburnhollow.gossip import Gossiper, GossipTable, Push, SyncAsk
from auburnhollow.gossip.messages import Fetch
from auburnhollow.membership import ALIVE, Member, Membership
from auburnhollow.membership.messages import NearAsk, Ping
from auburnhollow.metrics import Metrics
from auburnhollow.peers import Message, Peers, pack
from auburnhollow_standins.virtual import run_virtually


class Wire(Peers):
    """Carries messages at once; ``sent`` lists ``(from, to, type, bytes)`` of both directions."""

    def __init__(self):
        self.nodes = {}
        self.sent = []
        self.gone = set()

    def port(self, address):
        return Port(self, address)

    async def carry(self, sender, address, message):
        if address in self.gone:
            raise PeerError(f"{address}: gone")
        self._note(sender, address, message)
        answer = await self.nodes[address].handle(message)
        if answer is not None:
            self._note(address, sender, answer)
        return answer

    def _note(self, sender, address, message):
        assert isinstance(message, Message)
        self.sent.append((sender, address, type(message), len(pack(message))))


class Port(Peers):
    def __init__(self, wire, address):
        self._wire = wire
        self._address = address
        self.told = []

    async def ask(self, address, message, timeout_ms):
        return await self._wire.carry(self._address, address, message)

    def tell(self, address, message):
        self.told.append((address, message))

    async def deliver(self):
        told, self.told = self.told, []
        for address, message in told:
            with suppress(PeerError):
                await self._wire.carry(self._address, address, message)
        return len(told)


class Node:
    """Membership and gossip of one node on a :class:`Wire`."""

    def __init__(self, wire, name, data_centre):
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
        self.is_old = False
        self.port = wire.port(name)
        self.table = GossipTable(clock)
        self.membership = Membership(
            me, self.table, self.port, clock, rng, Recorder(name, clock), Metrics()
        )
        targets = self.membership.targets
        self.gossiper = Gossiper(self.table, self.port, name, targets, rng, clock, Metrics())
        self.membership.join(self.gossiper)
        wire.nodes[name] = self

    async def handle(self, message):
        handlers = {
            Ping: self.membership.on_ping,
            NearAsk: self.membership.on_near_ask,
            Push: self.gossiper.on_push,
            SyncAsk: self.gossiper.on_sync_ask,
            Fetch: self.gossiper.on_fetch,
        }
        if type(message) not in handlers or self.is_old and type(message) is NearAsk:
            raise PeerError("connection lost")
        return await handlers[type(message)](message)

    async def spread(self):
        self.gossiper.push_pending()
        return await self.port.deliver()


async def spread_all(wire):
    """Let all nodes pass on news until there is none."""
    while sum([await node.spread() for node in wire.nodes.values()]):
        continue


async def a_fleet(wire, count):
    """Return nodes of two data centres that have joined through ``west-0``."""
    nodes = [Node(wire, "west-0", "west")]
    for number in range(1, count):
        centre = ("west", "east")[number % 2]
        nodes.append(Node(wire, f"{centre}-{number}", centre))
        await nodes[-1].membership.contact("west-0")
        await spread_all(wire)
    return nodes


def bytes_of(wire, sender, receiver):
    return sum(size for one, other, _, size in wire.sent if (one, other) == (sender, receiver))


def test_a_node_learns_of_the_fleet_from_one_of_its_data_centre():
    async def play():
        wire = Wire()
        await a_fleet(wire, 60)
        wire.sent.clear()
        node = Node(wire, "east-new", "east")
        await node.membership.contact("west-0")
        await node.port.deliver()
        return wire, node

    wire, node = run_virtually(play())
    assert len(node.membership.present()) >= 55
    assert bytes_of(wire, "west-0", "east-new") < 200
    helpers = {sender for sender, receiver, _, _ in wire.sent if receiver == "east-new"}
    assert all(name.startswith("east") for name in helpers - {"west-0"})


def test_what_a_node_learns_as_it_joins_is_passed_over_the_wire_once():
    async def play():
        wire = Wire()
        await a_fleet(wire, 60)
        wire.sent.clear()
        node = Node(wire, "east-new", "east")
        await node.membership.contact("west-0")
        await node.port.deliver()
        return wire, node

    wire, node = run_virtually(play())
    size = len(
        pack(Push(sender="east-0", entries=[entry.to_list() for entry in node.table.entries()]))
    )
    assert sum(each for _, _, _, each in wire.sent) < 1.3 * size


@pytest.mark.parametrize("gone", [["east-1"], ["east-1", "east-3"]])
def test_a_node_joins_through_the_named_one_when_those_near_are_gone(gone):
    async def play():
        wire = Wire()
        nodes = await a_fleet(wire, 4)
        wire.gone.update(gone)
        node = Node(wire, "east-new", "east")
        await node.membership.contact("west-0")
        await spread_all(wire)
        return nodes, node

    nodes, node = run_virtually(play())
    assert len(node.membership.present()) == 5
    assert "east-new" in nodes[0].membership.present()


def test_the_first_node_of_a_data_centre_learns_from_the_named_one():
    async def play():
        wire = Wire()
        await a_fleet(wire, 2)
        node = Node(wire, "south-0", "south")
        await node.membership.contact("west-0")
        return node

    assert len(run_virtually(play()).membership.present()) == 3


def test_a_node_joins_through_one_of_an_older_release():
    async def play():
        wire = Wire()
        (old, *_others) = await a_fleet(wire, 4)
        old.is_old = True
        node = Node(wire, "east-new", "east")
        await node.membership.contact("west-0")
        return node

    assert len(run_virtually(play()).membership.present()) == 5
