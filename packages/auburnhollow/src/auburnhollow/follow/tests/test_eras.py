"""A store that comes back from an older copy, in fleets that share its watches."""

import asyncio
import random

import pytest

from auburnhollow.exceptions import PeerRefused, StoreUnavailable
from auburnhollow.follow import (
    ChangeServer,
    ConfigurationUpdate,
    EvacuationUpdate,
    Follower,
    ServerUpdate,
    SharedFeed,
    StateExchange,
)
from auburnhollow.follow.follower import WATCH_TIMEOUT_MS
from auburnhollow.follow.messages import (
    NO_REVISION,
    Changes,
    ChangesAsk,
    StateAnswer,
    StateAsk,
    pack_servers,
    pack_table,
    pack_update,
    unpack_servers,
)
from auburnhollow.follow.positions import (
    MAX_ERA,
    MAX_REVISION,
    era_named,
    era_of,
    for_asker,
    position_of,
    revision_of,
)
from auburnhollow.follow.sharing import MAX_DIRECT_NODES
from auburnhollow.follow.state_exchange import CACHE_MS
from auburnhollow.peers import Peers
from auburnhollow.servers import ServerRegistry
from auburnhollow.servers.registry import REREGISTRATION_MS
from auburnhollow_standins.fake_servers import make_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

from .test_sharing import FakeMembership, Fleet, InMemoryStore, StoreClient, make_table

APPLY_MS = 3_000.0
SIZES = ((7, 3), (30, 3), (100, 5))


def test_a_position_in_a_store_that_names_no_era_is_the_revision():
    assert position_of(0, 17) == 17


@pytest.mark.parametrize("era, revision", [(-1, 3), (1, -1), (1, MAX_REVISION + 1)])
def test_positions_out_of_range_are_rejected(era, revision):
    with pytest.raises(ValueError, match="era"):
        position_of(era, revision)


def test_positions_order_by_era_first():
    positions = [position_of(era, revision) for era in (0, 1, MAX_ERA) for revision in (0, 9)]
    assert positions == sorted(positions)
    assert [(era_of(each), revision_of(each)) for each in positions[2:4]] == [(1, 0), (1, 9)]
    assert position_of(MAX_ERA, MAX_REVISION) < 1 << 63


@pytest.mark.parametrize("asked", [None, 0, 17])
def test_builds_that_know_of_no_eras_are_answered_with_revisions(asked):
    assert for_asker(position_of(3, 20), asked) == 20


@pytest.mark.parametrize("asked", [NO_REVISION, position_of(1, 17)])
def test_builds_that_know_of_eras_are_answered_with_positions(asked):
    assert for_asker(position_of(3, 20), asked) == position_of(3, 20)
    assert for_asker(None, asked) is None


def play(count, data_centres, seed, restores=1, first_era=1):
    """Return the nodes that are behind at the end, and the eras that the nodes know.

    The store comes back while some nodes do not reach it; the next configuration is written to a
    revision that the nodes have seen. Nodes that reach the store must have it in time. At the end
    all nodes must know the servers in the store and no others.
    """

    async def run():
        rng = random.Random(seed)
        fleet = Fleet(count, seed, data_centres)
        fleet.store.era = first_era
        fleet.start()
        await fleet.clock.sleep(8_000 + rng.uniform(0, 3_000))
        version = 1
        for _ in range(restores):
            kept = len(fleet.store.updates)
            version += 1
            for change in range(rng.randint(2, 6)):
                fleet.store.updates.append(ServerUpdate(server=make_server(f"i-{change}")))
            fleet.store.updates.append(ConfigurationUpdate(table=make_table(version)))
            await fleet.clock.sleep(rng.uniform(1_500, 2_500))
            unaware = set(rng.sample(list(fleet.followers), count // 3))
            fleet.store.silent.update(unaware)
            await fleet.clock.sleep(rng.uniform(0, 1_500))
            fleet.store.restore(kept)
            version += 1
            fleet.store.updates.append(ConfigurationUpdate(table=make_table(version)))
            for change in range(rng.randint(0, 5)):
                fleet.store.updates.append(ServerUpdate(server=make_server(f"j-{change}")))
            await fleet.clock.sleep(APPLY_MS)
            behind = [name for name in fleet.behind(version) if name not in unaware]
            assert behind == []
            fleet.store.silent.clear()
            await fleet.clock.sleep(6_000)
        eras = {era_of(follower.newest_revision) for follower in fleet.followers.values()}
        behind = fleet.behind(version)
        assert servers_that_differ(fleet) == {}
        await fleet.stop()
        return behind, eras

    return run_virtually(run())


def servers_that_differ(fleet):
    """Return, by node, the servers that either the node or the store does not know."""
    stored = set()
    for update in fleet.store.updates:
        if isinstance(update, ServerUpdate):
            stored.add(update.server.id)
    service = make_server("any").service
    found = {}
    for name, follower in fleet.followers.items():
        known = {server.id for server in follower.registry.usable(service)}
        if known != stored:
            found[name] = known ^ stored
    return found


@pytest.mark.parametrize("count, data_centres", SIZES)
@pytest.mark.parametrize("seed", range(4))
def test_a_change_at_a_revision_given_out_again_is_in_force_in_time(count, data_centres, seed):
    behind, eras = play(count, data_centres, seed)
    assert behind == []
    assert eras == {2}


# Guards against askers in a store's era 0 that watchers take for builds that know of no eras.
@pytest.mark.parametrize("count, data_centres", SIZES)
@pytest.mark.parametrize("seed", range(4))
def test_a_change_is_in_force_in_time_in_a_store_that_counts_its_eras_from_zero(
    count, data_centres, seed
):
    behind, eras = play(count, data_centres, seed, first_era=era_named(0))
    assert behind == []
    assert eras == {era_named(1)}


@pytest.mark.parametrize("seed", range(3))
def test_a_store_may_come_back_more_than_once(seed):
    behind, eras = play(30, 3, seed, restores=3)
    assert behind == []
    assert eras == {4}


class OldChangeServer(ChangeServer):
    """A watcher of a build that knows of no eras: revisions alone count."""

    __slots__ = ()

    async def answer(self, message):
        """Answer in revisions, without looking at the era."""
        change_log = self._follower.change_log
        known = revision_of(change_log.revision)
        if message.revision >= known:
            await change_log.wait(self._clock, message.wait_ms)
        if not self._follower.is_reachable or not self._feed.is_direct:
            raise StoreUnavailable("this node does not reach the store itself")
        updates = change_log.after(position_of(era_of(change_log.revision), message.revision))
        return Changes(
            revision=revision_of(change_log.revision),
            updates=[pack_update(update) for update in updates or ()],
        )


@pytest.mark.parametrize("seed", range(3))
def test_changes_pass_watchers_of_a_build_that_knows_of_no_eras(seed):
    async def run():
        fleet = Fleet(30, seed, 3)
        fleet.store.era = 1
        for number, (name, server) in enumerate(fleet.peers.servers.items()):
            if number % 2:
                old = OldChangeServer(fleet.followers[name], fleet.feeds[name], fleet.clock)
                server.on(ChangesAsk, old.answer)
        fleet.start()
        await fleet.clock.sleep(9_000 + 300 * seed)
        fleet.store.updates.append(ConfigurationUpdate(table=make_table(9)))
        await fleet.clock.sleep(APPLY_MS)
        behind = fleet.behind(9)
        await fleet.stop()
        return behind

    assert run_virtually(run()) == []


class EarlierClient(StoreClient):
    """The store as builds of before ``era_named`` see it: each era is one lower."""

    async def read(self):
        return self._shift(await super().read())

    async def changes(self, revision, wait_ms):
        revision = position_of(era_of(revision) + 1, revision_of(revision))
        return self._shift(await super().changes(revision, wait_ms))

    def _shift(self, view):
        view.revision = position_of(era_of(view.revision) - 1, revision_of(view.revision))
        return view


@pytest.mark.parametrize("count, data_centres", SIZES)
@pytest.mark.parametrize("first_era", [1, 2])
@pytest.mark.parametrize("every", [2, 3])
def test_builds_that_count_eras_from_zero_and_from_one_follow_the_same_store(
    count, data_centres, first_era, every
):
    async def run():
        fleet = Fleet(count, 1, data_centres)
        fleet.store.era = first_era
        for number, (name, feed) in enumerate(fleet.feeds.items()):
            if number % every:
                feed._store = EarlierClient(fleet.store, name)
        fleet.start()
        await fleet.clock.sleep(9_000)
        for version in range(2, 6):
            if version == 5:
                fleet.store.restore(len(fleet.store.updates) - 1)
            fleet.store.updates.append(ServerUpdate(server=make_server(f"i-{version}")))
            fleet.store.updates.append(ConfigurationUpdate(table=make_table(version)))
            await fleet.clock.sleep(APPLY_MS)
            assert fleet.behind(version) == []
        await fleet.clock.sleep(2 * REREGISTRATION_MS)
        differing = servers_that_differ(fleet)
        await fleet.stop()
        return differing

    assert run_virtually(run()) == {}


def test_a_node_of_a_build_that_knows_of_no_eras_can_ask_a_watcher():
    async def run():
        fleet = Fleet(MAX_DIRECT_NODES + 1, 1, 1)
        fleet.store.era = 3
        fleet.start()
        await fleet.clock.sleep(8_000)
        watcher = fleet.peers.servers[fleet.watchers()[0]]
        state = await watcher.handle(StateAsk(version=0, revision=None))
        kept = state.revision
        fleet.store.updates.append(ConfigurationUpdate(table=make_table(9)))
        changes = await watcher.handle(ChangesAsk(revision=kept, wait_ms=2_000.0))
        await fleet.stop()
        return kept, changes.revision, len(changes.updates)

    kept, revision, changes = run_virtually(run())
    assert (kept, revision, changes) == (1, 2, 1)


class FixedPeer(Peers):
    """Answers each message by its type; ``None`` refuses it."""

    def __init__(self, answers):
        self.answers = answers

    async def ask(self, address, message, timeout_ms):
        answer = self.answers.get(type(message))
        if answer is None:
            raise PeerRefused("refused")
        return answer


def state_answer(position, *servers, version=1):
    return StateAnswer(
        revision=position,
        age_ms=0.0,
        table=pack_table(make_table(version)),
        servers=pack_servers([make_server(name) for name in servers]),
        evacuations=[],
    )


def make_follower(clock, peers, position, count=30):
    """Return a node of a large fleet whose store stands at ``position``, and is then silent."""
    store = InMemoryStore(clock)
    store.era = era_of(position)
    store.updates += [ServerUpdate(server=make_server("own"))] * (revision_of(position) - 1)
    names = [f"node-{number}" for number in range(count)]
    rng = random.Random(1)
    for name in names:
        feed = SharedFeed(store.client(name), peers, FakeMembership(names, name, 1), clock, rng)
        if feed._watchers() is not None:
            break
    return Follower(feed, ServerRegistry(clock), clock, rng), store, name


def test_a_node_does_not_take_the_state_of_a_watcher_of_an_older_era():
    async def run():
        clock = VirtualClock()
        peers = FixedPeer({StateAsk: None})
        follower, _, _ = make_follower(clock, peers, position_of(2, 3))
        await follower.step()
        peers.answers[StateAsk] = state_answer(position_of(1, 9), "lost")
        peers.answers[ChangesAsk] = Changes(revision=position_of(2, 3), updates=None)
        await follower.step()
        await follower.step()
        return [server.id for server in follower.registry.servers], follower.newest_revision

    assert run_virtually(run()) == (["own"], position_of(2, 3))


def test_a_node_does_not_take_the_changes_of_a_watcher_of_an_older_era():
    async def run():
        clock = VirtualClock()
        peers = FixedPeer({StateAsk: None})
        follower, store, _ = make_follower(clock, peers, position_of(2, 3))
        await follower.step()
        lost = pack_update(ServerUpdate(server=make_server("lost")))
        peers.answers[ChangesAsk] = Changes(revision=position_of(1, 9), updates=[lost])
        store.updates.append(ServerUpdate(server=make_server("kept")))
        await follower.step()
        return sorted(server.id for server in follower.registry.servers)

    assert run_virtually(run()) == ["kept", "own"]


def test_a_watcher_of_an_older_era_says_that_it_is_behind():
    async def run():
        fleet = Fleet(MAX_DIRECT_NODES + 1, 1, 1)
        fleet.store.era = 1
        fleet.start()
        await fleet.clock.sleep(8_000)
        watcher = fleet.peers.servers[fleet.watchers()[0]]
        answer = await watcher.handle(ChangesAsk(revision=position_of(2, 1), wait_ms=500.0))
        await fleet.stop()
        return answer

    assert "older era" in run_virtually(run()).text


def test_a_node_does_not_learn_of_servers_and_versions_of_an_older_era():
    async def run():
        clock = VirtualClock()
        peers = FixedPeer({StateAsk: None})
        follower, _, _ = make_follower(clock, peers, position_of(2, 3))
        await follower.step()
        await clock.sleep(10_000)
        peers.answers[StateAsk] = state_answer(position_of(1, 9), "lost", version=8)
        await StateExchange(follower, peers, lambda: ["other"], random.Random(1), clock).ask()
        peers.answers[StateAsk] = state_answer(position_of(2, 5), "new", version=5)
        before = [server.id for server in follower.registry.servers], follower.routes.version
        await StateExchange(follower, peers, lambda: ["other"], random.Random(1), clock).ask()
        return before, sorted(server.id for server in follower.registry.servers)

    assert run_virtually(run()) == ((["own"], 1), ["new", "own"])


# Guards against a return that a node has heard of from others before it reads the store itself.
def test_a_server_that_the_copy_lacks_is_kept_by_a_node_that_others_told_of_the_return():
    async def run():
        clock = VirtualClock()
        store = InMemoryStore(clock)
        store.era = 1
        store.updates += [ServerUpdate(server=make_server(name)) for name in ("old", "new")]
        peers = FixedPeer({StateAsk: state_answer(position_of(2, 2), "old", version=2)})
        registry = ServerRegistry(clock)
        follower = Follower(store.client("a"), registry, clock, random.Random(1))
        restored = []
        follower.on_restored = lambda: restored.append(clock.now_ms())
        task = asyncio.create_task(follower.run())
        await clock.sleep(4_000)
        exchange = StateExchange(follower, peers, lambda: ["other"], random.Random(1), clock)
        await exchange.catch_up("other", 2)
        store.restore(2)
        await clock.sleep(REREGISTRATION_MS / 2)
        kept = sorted(server.id for server in registry.usable(make_server("old").service))
        task.cancel()
        return kept, len(restored), follower.newest_revision

    assert run_virtually(run()) == (["new", "old"], 1, position_of(2, 2))


# Guards against servers that a node is about to drop, and that others then keep for good.
def test_a_node_does_not_pass_on_servers_whose_entry_is_missing():
    async def run():
        clock = VirtualClock()
        store = InMemoryStore(clock)
        store.era = 1
        store.updates += [ServerUpdate(server=make_server(name)) for name in ("kept", "gone")]
        registry = ServerRegistry(clock)
        follower = Follower(store.client("a"), registry, clock, random.Random(1))
        await follower.step()
        exchange = StateExchange(follower, None, list, random.Random(1), clock)
        before = await exchange.answer(StateAsk(version=0, revision=NO_REVISION))
        store.restore(2)
        await follower.step()
        await follower.step()
        await clock.sleep(CACHE_MS)
        after = await exchange.answer(StateAsk(version=0, revision=NO_REVISION))
        usable = sorted(server.id for server in registry.usable(make_server("kept").service))
        told = [
            [server.id for server in unpack_servers(answer.servers)] for answer in (before, after)
        ]
        return told, usable

    assert run_virtually(run()) == ([["kept", "gone"], ["kept"]], ["gone", "kept"])


def test_an_evacuation_that_the_copy_lacks_holds_until_it_can_be_written_again():
    async def run():
        clock = VirtualClock()
        store = InMemoryStore(clock)
        store.era = 1
        for name in ("again", "ended"):
            evacuated = EvacuationUpdate(data_centre=name, revision=position_of(1, 2))
            store.updates.append(evacuated)
        follower = Follower(store.client("a"), ServerRegistry(clock), clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await clock.sleep(1_000)
        store.restore(1)
        await clock.sleep(REREGISTRATION_MS / 2)
        held = set(follower.evacuations.active)
        store.updates.append(EvacuationUpdate(data_centre="again", revision=store.position + 1))
        await clock.sleep(REREGISTRATION_MS + WATCH_TIMEOUT_MS)
        task.cancel()
        return held, set(follower.evacuations.active)

    assert run_virtually(run()) == ({"again", "ended"}, {"again"})
