"""Subqueries: shards that are queried through an aggregator in their data centre."""

import asyncio
import random

from auburnhollow.exceptions import BackendDied, Quarantined, QueryError
from auburnhollow.membership import ALIVE, Member
from auburnhollow.relay.aggregators import MIN_AGGREGATORS, Aggregators
from auburnhollow.relay.subquery_server import SubqueryServer
from auburnhollow_standins.fake_peers import FakePeers, Network
from auburnhollow_standins.fake_servers import RelayBed, make_request, make_route
from auburnhollow_standins.virtual import VirtualClock, run_virtually

HOME = "cluj"
OTHER = "iasi"
FAR = ("s0", "s1", "s2", "s3")
NEAR = ("n0", "n1")
SHARDS = NEAR + FAR
REPLICAS = {
    **dict.fromkeys(NEAR, (HOME, OTHER)),
    **dict.fromkeys(FAR, (OTHER, OTHER)),
}


def make_member(name, data_centre):
    return Member(
        id=name,
        address=name,
        data_centre=data_centre,
        state=ALIVE,
        incarnation=1,
        revision=0,
        ready=True,
    )


class FakeMembership:
    """A membership in which all members are alive."""

    def __init__(self, me, *members):
        self.me = me
        self.members = {member.id: member for member in (me, *members)}
        self._answering = tuple(self.members)

    def answering(self):
        return self._answering

    def remove(self, name):
        self._answering = tuple(each for each in self._answering if each != name)


class Fleet:
    """A node in ``HOME`` and aggregators in ``OTHER`` that accept its subqueries."""

    def __init__(self, others=1, retry_ratio=1.0):
        self.clock = VirtualClock()
        self.network = Network(random.Random(1), delay_ms=4.0)
        names = [f"other-{number}" for number in range(others)]
        me = make_member("me", HOME)
        self.membership = FakeMembership(me, *(make_member(name, OTHER) for name in names))
        peers = FakePeers(self.network, "me", self.clock)
        self.aggregators = Aggregators(peers, self.membership, self.clock)
        self.me = RelayBed(REPLICAS, retry_ratio=retry_ratio, aggregators=self.aggregators)
        self.others = {}
        self.aggregator_nodes = {}
        for name in names:
            bed = RelayBed(REPLICAS, retry_ratio=retry_ratio, home=OTHER)
            self.others[name] = bed
            self.aggregator_nodes[name] = SubqueryServer(bed.dispatcher, lambda: True)
            self.network.streams[name] = self.aggregator_nodes[name].answer
            self.network.handlers[name] = self.aggregator_nodes[name].allow_repeats

    @property
    def other(self):
        """The test bed of the first node in ``OTHER``."""
        return self.others["other-0"]

    def set_behaviour(self, server, behaviour):
        """Set the behaviour of a server towards all nodes."""
        for bed in (self.me, *self.others.values()):
            bed.servers.behaviour[server] = behaviour

    def allow_repeats(self):
        """Fill the budgets of all nodes."""
        for bed in (self.me, *self.others.values()):
            bed.allow_repeats(*SHARDS)

    def allow_repeats_at_others(self):
        """Fill the budgets of the other nodes, but not of this node."""
        for bed in self.others.values():
            bed.allow_repeats(*SHARDS)

    async def gather(self, name="r-1", **fields):
        """Send a request for all shards and return the merged answer."""
        route = make_route(SHARDS, **fields)
        return await self.me.dispatcher.gather(make_request(self.clock, name), route)

    def runs(self):
        """Return on how many servers each shard ran the request."""
        found = dict.fromkeys(SHARDS, 0)
        for bed in (self.me, *self.others.values()):
            for server in bed.servers.asked():
                found[server.partition("-")[0]] += 1
        return found


def run_scenario(scenario, **options):
    """Run ``scenario`` with a :class:`Fleet` in virtual time."""

    async def run():
        return await scenario(Fleet(**options))

    return run_virtually(run())


def test_shards_of_another_data_centre_are_returned_in_one_answer():
    async def scenario(fleet):
        return fleet, await fleet.gather(most_records=6)

    fleet, merged = run_scenario(scenario)
    assert merged.missing == 0
    assert sorted(fleet.me.servers.asked()) == ["n0-0", "n1-0"]
    there = sorted(fleet.other.servers.asked())
    assert [server.partition("-")[0] for server in there] == list(FAR)
    records = [merged.body[at : at + 4].decode() for at in range(0, len(merged.body), 16)]
    assert records == [*reversed(there), "n1-0", "n0-0"]
    assert sorted(merged.signatures) == ["signed-n0-0", "signed-n1-0"] + [
        f"signed-{server}" for server in there
    ]


def test_a_subquery_carries_the_remaining_time():
    async def scenario(fleet):
        limits = []
        send = fleet.other.servers.send

        async def note(server, request, remaining_ms, **options):
            limits.append((request.id, request.target, remaining_ms))
            return await send(server, request, remaining_ms, **options)

        fleet.other.dispatcher.gate.use_client(type("Client", (), {"send": staticmethod(note)})())
        await fleet.gather()
        return limits

    for name, target, remaining_ms in run_scenario(scenario):
        assert (name, target) == ("r-1", "/a?b=c")
        assert 900.0 < remaining_ms <= 996.0


def test_a_late_shard_is_hedged_by_the_aggregator():
    async def scenario(fleet):
        fleet.allow_repeats()
        fleet.set_behaviour("s2-0", 900.0)
        return fleet, await fleet.gather(), fleet.clock.now_ms()

    fleet, merged, took_ms = run_scenario(scenario)
    assert merged.missing == 0
    assert "s2-1" in fleet.other.servers.asked()
    assert len(fleet.me.servers.calls) == len(NEAR)
    assert took_ms < 200.0


def test_shards_that_answered_by_the_objective_form_a_partial_answer():
    async def scenario(fleet):
        fleet.set_behaviour("s2-0", 900.0)
        fleet.set_behaviour("s2-1", 900.0)
        return await fleet.gather(), fleet.clock.now_ms()

    merged, took_ms = run_scenario(scenario)
    assert merged.missing == 1
    assert len(merged.signatures) == len(SHARDS) - 1
    assert 150.0 <= took_ms <= 200.0


def test_a_late_shard_is_still_accepted_if_it_is_needed():
    async def scenario(fleet):
        for shard in ("s1", "s2"):
            fleet.set_behaviour(f"{shard}-0", 400.0)
            fleet.set_behaviour(f"{shard}-1", 400.0)
        return await fleet.gather(most_records=6)

    merged = run_scenario(scenario)
    assert merged.missing == 0
    assert len(merged.body) == 16 * len(SHARDS)


def test_an_unreachable_aggregator_costs_no_repeat():
    async def scenario(fleet):
        fleet.network.streams.clear()
        merged = await fleet.gather()
        return fleet, merged, fleet.clock.now_ms()

    fleet, merged, took_ms = run_scenario(scenario, retry_ratio=0.0)
    assert merged.missing == 0
    assert took_ms < 60.0
    assert set(fleet.runs().values()) == {1}


def test_a_refusing_aggregator_costs_no_repeat():
    async def scenario(fleet):
        fleet.aggregator_nodes["other-0"]._is_open = lambda: False
        return fleet, await fleet.gather()

    fleet, merged = run_scenario(scenario, retry_ratio=0.0)
    assert merged.missing == 0
    assert set(fleet.runs().values()) == {1}


def test_an_unresponsive_aggregator_is_detected_in_time_and_avoided():
    async def scenario(fleet):
        fleet.allow_repeats()
        fleet.network.cut(["me"], ["other-0"])
        merged = await fleet.gather()
        took_ms = fleet.clock.now_ms()
        await fleet.gather("r-2")
        return fleet, merged, took_ms, fleet.clock.now_ms() - took_ms

    fleet, merged, took_ms, next_ms = run_scenario(scenario)
    assert merged.missing == 0
    assert took_ms < 185.0
    assert next_ms < 60.0


def test_another_aggregator_is_used_while_one_is_avoided():
    async def scenario(fleet):
        fleet.allow_repeats()
        first = fleet.aggregators.choose_aggregator(OTHER).id
        fleet.network.cut(["me"], [first])
        await fleet.gather()
        taken = fleet.aggregators.choose_aggregator(OTHER).id
        await fleet.gather("r-2")
        return first, taken, fleet.others[taken].servers.calls

    first, taken, calls = run_scenario(scenario, others=3)
    assert first != taken
    assert len([request for _, _, request in calls if request == "r-2"]) == len(FAR)


def test_a_lost_subquery_is_sent_to_another_aggregator():
    """A subquery is not answered, and the requesting node has no budget for repeats itself."""

    async def scenario(fleet):
        fleet.allow_repeats_at_others()
        first = fleet.aggregators.choose_aggregator(OTHER).id
        fleet.network.cut(["me"], [first])
        merged = await fleet.gather(most_records=6)
        return fleet, merged, fleet.clock.now_ms()

    fleet, merged, took_ms = run_scenario(scenario, others=3)
    assert merged.missing == 0
    assert len(merged.body) == 16 * len(SHARDS)
    assert took_ms < 150.0
    assert max(fleet.runs().values()) <= 2
    assert [name for name in fleet.me.servers.asked() if name.startswith("s")] == []


def test_a_lost_subquery_counts_as_a_repeat_at_the_next_aggregator():
    async def scenario(fleet):
        first = fleet.aggregators.choose_aggregator(OTHER).id
        fleet.network.cut(["me"], [first])
        try:
            await fleet.gather()
        except QueryError:
            return fleet
        return fleet

    fleet = run_scenario(scenario, others=3, retry_ratio=0.0)
    assert max(fleet.runs()[shard] for shard in FAR) <= 1


def test_a_subquery_that_was_not_sent_is_no_repeat_at_the_next_aggregator():
    async def scenario(fleet):
        first = fleet.aggregators.choose_aggregator(OTHER).id
        del fleet.network.streams[first]
        return fleet, await fleet.gather()

    fleet, merged = run_scenario(scenario, others=3, retry_ratio=0.0)
    assert merged.missing == 0
    assert set(fleet.runs().values()) == {1}
    assert len(fleet.me.servers.calls) == len(NEAR)


def test_the_aggregators_calls_are_cancelled_when_the_caller_disconnects():
    async def scenario(fleet):
        for shard in FAR:
            fleet.set_behaviour(f"{shard}-0", 600.0)
            fleet.set_behaviour(f"{shard}-1", 600.0)
        task = asyncio.create_task(fleet.gather(objective_ms=900.0))
        await fleet.clock.sleep(60)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await fleet.clock.sleep(10)
        return fleet

    fleet = run_scenario(scenario)
    assert fleet.aggregator_nodes["other-0"].in_progress == 0
    assert sorted(fleet.other.servers.cancelled) == sorted(fleet.other.servers.asked())
    assert len(fleet.other.servers.cancelled) == len(FAR)


def test_a_request_that_crashes_servers_is_not_retried_by_the_requesting_node():
    async def scenario(fleet):
        fleet.allow_repeats()
        for shard in SHARDS:
            for number in range(2):
                fleet.set_behaviour(f"{shard}-{number}", BackendDied("died"))
        errors = []
        for name in ("r-1", "r-2", "r-3"):
            try:
                await fleet.gather(name)
            except QueryError as error:
                errors.append(type(error))
        return fleet, errors

    fleet, errors = run_scenario(scenario)
    assert errors[1:] == [Quarantined, Quarantined]
    assert set(fleet.runs().values()) == {1}


def test_few_nodes_are_aggregators_at_a_low_request_rate():
    async def scenario(fleet):
        return {fleet.aggregators.choose_aggregator(OTHER).id for _ in range(50)}

    assert len(run_scenario(scenario, others=12)) == 1


def test_all_nodes_choose_the_same_aggregators_and_more_at_higher_rates():
    async def scenario(fleet):
        names = [f"other-{number}" for number in range(12)]
        members = [make_member(name, OTHER) for name in names]

        def taken(requests_per_s):
            found = set()
            for number in range(40):
                me = make_member(f"asker-{number}", HOME)
                membership = FakeMembership(me, *members)
                aggregators = Aggregators(None, membership, fleet.clock)
                for _ in range(round(requests_per_s * 10)):
                    aggregators.count_request()
                found.add(aggregators.choose_aggregator(OTHER).id)
            return found

        return taken(0.3), taken(3.0), taken(12.0)

    few, some, all_of_them = run_scenario(scenario)
    assert len(few) == MIN_AGGREGATORS
    assert MIN_AGGREGATORS < len(some) <= 5
    assert len(all_of_them) >= 11


def test_an_aggregator_calls_servers_directly():
    async def scenario(fleet):
        members = [make_member(f"n-{number}", HOME) for number in range(6)]
        asked = set()
        for me in members:
            others = [member for member in members if member is not me]
            aggregators = Aggregators(None, FakeMembership(me, *others), fleet.clock)
            node = aggregators.choose_aggregator(HOME)
            asked.add(None if node is None else node.id)
        return asked

    asked = run_scenario(scenario)
    assert None in asked
    assert len(asked) == 1 + MIN_AGGREGATORS
