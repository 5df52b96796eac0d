"""Exchange of store state between nodes, and the encoding of that state."""

import random

import pytest

from auburnhollow.exceptions import ProtocolError
from auburnhollow.follow import (
    ConfigurationUpdate,
    EvidenceUpdate,
    Follower,
    ServerRemoval,
    ServerUpdate,
    StateExchange,
    UnreadableEntry,
)
from auburnhollow.follow.messages import (
    StateAsk,
    pack_table,
    pack_update,
    unpack_servers,
    unpack_table,
    unpack_update,
)
from auburnhollow.peers import Peers, pack
from auburnhollow.peers.codec import MAX_DECOMPRESSED_BYTES, compress
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.fake_servers import make_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

from .test_sharing import InMemoryStore, make_table

UPDATES = [
    ServerUpdate(server=make_server("i-1")),
    ServerRemoval(id="i-1"),
    UnreadableEntry(key="k", reason="r"),
    EvidenceUpdate(fingerprint="f1", entries=[["f1", "i-1", 7, "s0", ["0a"], False, 0.0]]),
]


@pytest.mark.parametrize("update", UPDATES)
def test_an_update_is_unchanged_by_packing_and_unpacking(update):
    assert unpack_update(pack_update(update)) == update


def test_a_configuration_is_unchanged_by_packing_and_unpacking():
    table = make_table(7)
    packed = pack_update(ConfigurationUpdate(table=table))
    arrived = unpack_update(packed).table
    assert pack_table(arrived) == pack_table(table)
    assert arrived.routes == unpack_table(pack_table(table)).routes
    assert arrived.routes == table.routes


@pytest.mark.parametrize("packed", [[], ["server"], ["server", [1]], ["configuration", 5], 7])
def test_an_invalid_packed_update_is_rejected(packed):
    with pytest.raises(ProtocolError):
        unpack_update(packed)


@pytest.mark.parametrize("data", [b"", b"x", 7, compress([1, 2]), compress(5), compress([[1]])])
def test_an_invalid_packed_table_or_list_of_servers_is_rejected(data):
    with pytest.raises(ProtocolError):
        unpack_table(data)
    with pytest.raises(ProtocolError):
        unpack_servers(data)


def test_oversized_decompressed_data_is_rejected():
    with pytest.raises(ProtocolError):
        unpack_servers(compress([b"0" * (MAX_DECOMPRESSED_BYTES + 1)]))


class SinglePeer(Peers):
    """Sends requests to one other node and records the sizes of its answers."""

    def __init__(self):
        self.other = None
        self.sizes = []

    async def ask(self, address, message, timeout_ms):
        answer = await self.other.answer(message)
        self.sizes.append(len(pack(answer)))
        return answer


def test_up_to_date_nodes_exchange_no_servers():
    """During an outage with 1,000 servers, nodes request state from each other repeatedly.

    Only a node that lacks the servers may receive them.
    """

    async def run():
        clock = VirtualClock()
        store = InMemoryStore(clock)
        for number in range(1_000):
            store.updates.append(ServerUpdate(server=make_server(f"i-{number:06x}")))
        nodes = []
        for name in ("one", "two", "late"):
            rng = random.Random(name)
            peers = SinglePeer()
            follower = Follower(store.client(name), ServerRegistry(clock), clock, rng)
            node = StateExchange(follower, peers, lambda: ["other"], rng)
            nodes.append((node, peers, follower))
        (
            (one, _, first_follower),
            (two, peers, second_follower),
            (late, late_peers, late_follower),
        ) = nodes
        await first_follower.step()
        await second_follower.step()
        peers.other = late_peers.other = one
        for _ in range(3):
            await clock.sleep(500.0)
            await two.ask()
            await late.ask()
        return (
            peers.sizes,
            late_peers.sizes,
            len(late_follower.registry),
            second_follower.routes.version,
        )

    sizes, late_sizes, known, version = run_virtually(run())
    assert (known, version) == (1_000, 1)
    assert max(sizes) < 100
    assert 2_000 < late_sizes[0] < 50_000
    assert max(late_sizes[1:]) < 100


def test_a_stale_node_receives_the_missing_servers():
    async def run():
        clock = VirtualClock()
        store = InMemoryStore(clock)
        peers = SinglePeer()
        behind = Follower(store.client("a"), ServerRegistry(clock), clock, random.Random(1))
        ahead = Follower(store.client("b"), ServerRegistry(clock), clock, random.Random(2))
        asker = StateExchange(behind, peers, lambda: ["other"], random.Random(3))
        peers.other = StateExchange(ahead, SinglePeer(), lambda: (), random.Random(4))
        await behind.step()
        await clock.sleep(100.0)
        store.updates.append(ServerUpdate(server=make_server("i-1")))
        await ahead.step()
        await asker.ask()
        return len(behind.registry)

    assert run_virtually(run()) == 1


def test_the_revision_of_an_answer_matches_its_servers():
    """Requests within the cache time, while servers are added, get a consistent answer.

    The cached servers must not be sent with a newer revision than theirs.
    """

    async def run():
        clock = VirtualClock()
        store = InMemoryStore(clock)
        follower = Follower(store.client("a"), ServerRegistry(clock), clock, random.Random(1))
        node = StateExchange(follower, SinglePeer(), lambda: (), random.Random(2), clock)
        await follower.step()
        found = []
        for number in range(5):
            store.updates.append(ServerUpdate(server=make_server(f"i-{number}")))
            await follower.step()
            for revision in (None, follower.change_log.revision - 1):
                answer = await node.answer(StateAsk(version=0, revision=revision))
                found.append((revision, answer.revision, len(unpack_servers(answer.servers))))
        return found

    for asked, revision, servers in run_virtually(run()):
        assert servers == revision - 1
        assert asked is None or revision > asked
