"""What nodes tell each other of the store, and how it travels."""

import random

import pytest

from auburnhollow.exceptions import ProtocolError
from auburnhollow.follow import (
    ConfigurationUpdate,
    Follower,
    ServerRemoval,
    ServerUpdate,
    StateExchange,
    UnreadableEntry,
)
from auburnhollow.follow.messages import (
    KnownAsk,
    pack_table,
    pack_update,
    unpack_servers,
    unpack_table,
    unpack_update,
)
from auburnhollow.peers import Peers, pack
from auburnhollow.peers.codec import MOST_DECOMPRESSED, compress
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.fake_servers import a_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

from .test_sharing import Store, a_table

UPDATES = [
    ServerUpdate(server=a_server("i-1")),
    ServerRemoval(id="i-1"),
    UnreadableEntry(key="k", reason="r"),
]


@pytest.mark.parametrize("update", UPDATES)
def test_statements_travel(update):
    assert unpack_update(pack_update(update)) == update


def test_a_configuration_travels():
    table = a_table(7)
    packed = pack_update(ConfigurationUpdate(table=table))
    arrived = unpack_update(packed).table
    assert pack_table(arrived) == pack_table(table)
    assert arrived.routes == unpack_table(pack_table(table)).routes
    assert arrived.routes == table.routes


@pytest.mark.parametrize("packed", [[], ["server"], ["server", [1]], ["configuration", 5], 7])
def test_what_is_no_statement_is_refused(packed):
    with pytest.raises(ProtocolError):
        unpack_update(packed)


@pytest.mark.parametrize("data", [b"", b"x", 7, compress([1, 2]), compress(5), compress([[1]])])
def test_what_is_no_configuration_and_no_servers_is_refused(data):
    with pytest.raises(ProtocolError):
        unpack_table(data)
    with pytest.raises(ProtocolError):
        unpack_servers(data)


def test_what_unpacks_to_more_than_a_message_may_hold_is_refused():
    with pytest.raises(ProtocolError):
        unpack_servers(compress([b"0" * (MOST_DECOMPRESSED + 1)]))


class Fixed(Peers):
    """Asks one other node, and notes the size of its answers."""

    def __init__(self):
        self.other = None
        self.sizes = []

    async def ask(self, address, message, timeout_ms):
        answer = await self.other.answer(message)
        self.sizes.append(len(pack(answer)))
        return answer


def test_nodes_that_have_heard_the_same_tell_each_other_no_servers_in_an_outage():
    """The load: an outage of the store with 1,000 servers, in which nodes ask each other."""

    async def play():
        clock = VirtualClock()
        store = Store(clock)
        for number in range(1_000):
            store.updates.append(ServerUpdate(server=a_server(f"i-{number:06x}")))
        nodes = []
        for name in ("one", "two", "late"):
            rng = random.Random(name)
            peers = Fixed()
            follower = Follower(store.client(name), ServerRegistry(clock), clock, rng)
            node = StateExchange(follower, peers, lambda: ["other"], rng)
            nodes.append((node, peers, follower))
        (one, _, first), (two, peers, second), (late, late_peers, third) = nodes
        await first.step()
        await second.step()
        peers.other = late_peers.other = one
        for _ in range(3):
            await clock.sleep(500.0)
            await two.ask()
            await late.ask()
        return peers.sizes, late_peers.sizes, len(third.registry), second.routes.version

    told, told_late, known, version = run_virtually(play())
    assert (known, version) == (1_000, 1)
    assert max(told) < 100
    assert 2_000 < told_late[0] < 50_000
    assert max(told_late[1:]) < 100


def test_a_node_that_has_missed_servers_hears_of_them_in_an_outage():
    async def play():
        clock = VirtualClock()
        store = Store(clock)
        peers = Fixed()
        behind = Follower(store.client("a"), ServerRegistry(clock), clock, random.Random(1))
        ahead = Follower(store.client("b"), ServerRegistry(clock), clock, random.Random(2))
        asker = StateExchange(behind, peers, lambda: ["other"], random.Random(3))
        peers.other = StateExchange(ahead, Fixed(), lambda: (), random.Random(4))
        await behind.step()
        await clock.sleep(100.0)
        store.updates.append(ServerUpdate(server=a_server("i-1")))
        await ahead.step()
        await asker.ask()
        return len(behind.registry)

    assert run_virtually(play()) == 1


def test_the_revision_that_is_told_is_that_of_the_servers_that_are_told():
    """The load: many nodes ask within a moment while servers come."""

    async def play():
        clock = VirtualClock()
        store = Store(clock)
        follower = Follower(store.client("a"), ServerRegistry(clock), clock, random.Random(1))
        node = StateExchange(follower, Fixed(), lambda: (), random.Random(2), clock)
        await follower.step()
        found = []
        for number in range(5):
            store.updates.append(ServerUpdate(server=a_server(f"i-{number}")))
            await follower.step()
            for revision in (None, follower.changes.revision - 1):
                known = await node.answer(KnownAsk(version=0, revision=revision))
                found.append((revision, known.revision, len(unpack_servers(known.servers))))
        return found

    for asked, revision, servers in run_virtually(play()):
        assert servers == revision - 1
        assert asked is None or revision > asked
