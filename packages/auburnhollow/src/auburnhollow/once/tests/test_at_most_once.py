"""A request that may not be repeated runs at most once."""

import asyncio

import pytest

from auburnhollow.exceptions import (
    BadRequest,
    DeadlinePassed,
    KeyExpired,
    KeyReused,
    OutcomeUnknown,
    Overloaded,
    QueryError,
    Ran,
    Unavailable,
)
from auburnhollow.once import claim_store, parse_key
from auburnhollow.quarantine import fingerprint_of
from auburnhollow_standins.histories import record_history
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, virtual_fleet

SEEDS = 200


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_histories_violate_no_guarantee(seed):
    assert run_virtually(record_history(seed)).violations() == []


def test_concurrent_orders_with_one_key_on_many_nodes_run_once_and_share_the_outcome():
    async def run():
        async with virtual_fleet(nodes=7) as fleet:
            await fleet.clock.sleep(2_000)
            order = fleet.make_order(fleet.new_key())
            asks = [entry.node.orders.run(order) for entry in fleet.nodes.values()]
            results = await asyncio.gather(*asks)
        assert len(fleet.ran_orders()) == 1
        assert {tuple(result.outcome.items())[0] for result in results} == {
            ("by", results[0].outcome["by"])
        }

    run_virtually(run())


def test_a_restart_of_the_whole_fleet_keeps_the_outcome():
    async def run():
        async with virtual_fleet(nodes=3) as fleet:
            order = fleet.make_order(fleet.new_key())
            first = await fleet.nodes["n0"].node.orders.run(order)
            await fleet.clock.sleep(2_000)
            for name in list(fleet.nodes):
                await fleet.kill(name)
            again = fleet.add("m0")
            await again.node.start()
            second = await again.node.orders.run(order)
        assert second.replayed
        assert second.outcome == first.outcome
        assert len(fleet.ran_orders()) == 1

    run_virtually(run())


def test_a_node_that_dies_while_sending_leaves_a_permanently_unknown_outcome():
    async def run():
        async with virtual_fleet(nodes=3) as fleet:
            await fleet.clock.sleep(2_000)
            for server in fleet.servers.values():
                server.default_step = "slow"
            order = fleet.make_order(fleet.new_key())
            asked = asyncio.create_task(fleet.nodes["n0"].node.orders.run(order))
            await fleet.clock.sleep(50)
            await fleet.kill("n0")
            asked.cancel()
            for _ in range(3):
                with pytest.raises(OutcomeUnknown) as caught:
                    await fleet.nodes["n1"].node.orders.run(order)
                assert caught.value.ran is Ran.UNKNOWN
                await fleet.clock.sleep(3_000)
        assert len(fleet.ran_orders()) <= 1

    run_virtually(run())


def test_a_restarted_node_does_not_release_the_claim_of_an_order_it_had_sent():
    async def run():
        async with virtual_fleet(nodes=3) as fleet:
            await fleet.clock.sleep(2_000)
            for server in fleet.servers.values():
                server.default_step = "cut-after"
                server.latency_ms = 50.0
            order = fleet.make_order(fleet.new_key())
            asked = asyncio.create_task(fleet.nodes["n0"].node.orders.run(order))
            while not fleet.ran_orders():
                await fleet.clock.sleep(1)
            await fleet.kill("n0")
            asked.cancel()
            for server in fleet.servers.values():
                server.default_step = "answer"
            await fleet.add("n0").node.start()
            await fleet.clock.sleep(5_000)
            for name in ("n0", "n1", "n2"):
                with pytest.raises(OutcomeUnknown):
                    await fleet.nodes[name].node.orders.run(order)
        assert len(fleet.ran_orders()) == 1

    run_virtually(run())


def test_no_other_node_sends_while_the_claiming_node_is_paused_past_every_timeout():
    async def run():
        async with virtual_fleet(nodes=3) as fleet:
            await fleet.clock.sleep(2_000)
            order = fleet.make_order(fleet.new_key())
            asked = asyncio.create_task(fleet.nodes["n0"].node.orders.run(order))
            while not any(key.startswith("once/") for key in fleet.shared_store.entries):
                await fleet.clock.sleep(0.5)
            fleet.nodes["n0"].pausable.pause()
            for _ in range(5):
                with pytest.raises(OutcomeUnknown):
                    await fleet.nodes["n1"].node.orders.run(order)
                await fleet.clock.sleep(4_000)
            fleet.nodes["n0"].pausable.resume()
            await asyncio.gather(asked, return_exceptions=True)
            await fleet.clock.sleep(8_000)
        assert len(fleet.ran_orders()) <= 1

    run_virtually(run())


def test_an_abandoned_attempt_releases_the_key_and_reports_not_run():
    async def run():
        async with virtual_fleet(nodes=3) as fleet:
            await fleet.clock.sleep(2_000)
            for server in fleet.servers.values():
                server.default_step = "unreachable"
            order = fleet.make_order(fleet.new_key())
            with pytest.raises(Unavailable) as caught:
                await fleet.nodes["n0"].node.orders.run(order)
            assert caught.value.ran is Ran.NO
            for server in fleet.servers.values():
                server.default_step = "answer"
            result = await fleet.nodes["n1"].node.orders.run(order)
        assert not result.replayed
        assert len(fleet.ran_orders()) == 1

    run_virtually(run())


@pytest.mark.parametrize("losses", [1, 2])
def test_a_claim_whose_answer_was_lost_is_read_back(losses):
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            fleet.shared_store.lose_answer_chance = 1.0
            order = fleet.make_order(fleet.new_key())
            result = await fleet.nodes["n0"].node.orders.run(order)
            for _ in range(losses):
                again = await fleet.nodes["n0"].node.orders.run(order)
                assert again.outcome == result.outcome
        assert len(fleet.ran_orders()) == 1

    run_virtually(run())


# What the caller knows of its earlier tries, and the ``ran`` value of a refusal before the claim.
EARLIER = [("none", Ran.NO), ("not-run", Ran.NO), ("unknown", Ran.UNKNOWN)]


def lose_configuration(fleet):
    configuration_holder = fleet.nodes["n0"].node.configuration_holder
    configuration_holder._configuration = None


def lose_service(fleet):
    fleet.nodes["n0"].node.configuration_holder.configuration.services.clear()


def lose_servers(fleet):
    fleet.nodes["n0"].node.configuration_holder.configuration._replicas["desk"] = {}


def fill_limiter(fleet):
    limiter = fleet.nodes["n0"].node.components.limiter
    while limiter.busy < limiter.limit:
        limiter.enter("urgent")


def quarantine_order(fleet):
    quarantine = fleet.nodes["n0"].node.components.quarantine
    for server in ("a", "b"):
        quarantine.record_death(server, "s", fingerprint_of("desk", {"any": 1}))


REFUSALS = [lose_configuration, lose_service, lose_servers, fill_limiter, quarantine_order]


@pytest.mark.parametrize("deadline_ms", [None, 1_000.0])
@pytest.mark.parametrize("refuse", REFUSALS)
@pytest.mark.parametrize(("earlier", "ran"), EARLIER)
def test_a_refusal_before_the_claim_reports_only_what_the_caller_knows(
    earlier, ran, refuse, deadline_ms
):
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            key = fleet.new_key()
            body = {"any": 1}
            await fleet.nodes["n0"].node.orders.run(fleet.make_order(key, order=body))
            refuse(fleet)
            again = fleet.make_order(key, order=body, earlier=earlier, deadline_ms=deadline_ms)
            with pytest.raises(QueryError) as caught:
                await fleet.nodes["n0"].node.orders.run(again)
            assert caught.value.ran is ran
        assert len(fleet.ran_orders()) == 1

    run_virtually(run())


@pytest.mark.parametrize(("earlier", "ran"), EARLIER)
def test_with_the_store_down_claims_are_refused_at_once(earlier, ran):
    async def run():
        async with virtual_fleet(nodes=2) as fleet:
            fleet.shared_store.is_down = True
            started_ms = fleet.clock.now_ms()
            with pytest.raises(Unavailable) as caught:
                order = fleet.make_order(fleet.new_key(), earlier=earlier)
                await fleet.nodes["n0"].node.orders.run(order)
            assert fleet.clock.now_ms() - started_ms < 100
            assert caught.value.ran is ran
            assert caught.value.retry_after_ms > 0
        assert fleet.ran_orders() == []

    run_virtually(run())


@pytest.mark.parametrize(("earlier", "ran"), EARLIER)
def test_a_full_record_refuses_with_what_the_caller_knows(earlier, ran, monkeypatch):
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            monkeypatch.setattr(claim_store, "MAX_RECORD_BYTES", 10)
            with pytest.raises(Overloaded) as caught:
                order = fleet.make_order(fleet.new_key(), earlier=earlier)
                await fleet.nodes["n0"].node.orders.run(order)
            assert caught.value.ran is ran
        assert fleet.ran_orders() == []

    run_virtually(run())


def test_one_key_with_another_body_is_refused_on_every_node():
    async def run():
        async with virtual_fleet(nodes=2) as fleet:
            key = fleet.new_key()
            await fleet.nodes["n0"].node.orders.run(fleet.make_order(key))
            for entry in fleet.nodes.values():
                with pytest.raises(KeyReused):
                    await entry.node.orders.run(fleet.make_order(key, order={"other": 1}))
        assert len(fleet.ran_orders()) == 1

    run_virtually(run())


def test_the_same_key_of_another_caller_and_the_same_body_under_another_key_run_too():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            orders = fleet.nodes["n0"].node.orders
            key = fleet.new_key()
            body = {"machine": 7}
            await orders.run(fleet.make_order(key, order=body))
            await orders.run(fleet.make_order(key, caller="other", order=body))
            await orders.run(fleet.make_order(fleet.new_key(), order=body))
        assert len(fleet.ran_orders()) == 3

    run_virtually(run())


@pytest.mark.parametrize("age_ms", [600_001, 86_400_000, -120_000])
def test_a_key_outside_the_window_is_refused_with_ran_unknown(age_ms):
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            with pytest.raises(KeyExpired) as caught:
                await fleet.nodes["n0"].node.orders.run(fleet.make_order(fleet.new_key(age_ms)))
            assert caught.value.ran is Ran.UNKNOWN
        assert fleet.ran_orders() == []

    run_virtually(run())


def test_a_node_whose_clock_is_behind_does_not_run_an_expired_key_again():
    async def run():
        async with virtual_fleet(nodes=1) as fleet:
            key = fleet.new_key()
            await fleet.nodes["n0"].node.orders.run(fleet.make_order(key))
            await fleet.clock.sleep(1_200_000)
            late = fleet.add("late", skew_ms=-1_100_000)
            await late.node.start()
            result = await late.node.orders.run(fleet.make_order(key))
        assert result.replayed
        assert len(fleet.ran_orders()) == 1

    run_virtually(run())


@pytest.mark.parametrize("text", ["", None, "abc", "123.abcdefgh", "1800000000000.short"])
def test_malformed_keys_are_refused(text):
    with pytest.raises(BadRequest):
        parse_key("caller", text)


def test_an_order_whose_caller_stopped_waiting_is_not_run_again():
    async def run():
        async with virtual_fleet(make_document(shards=1), nodes=2) as fleet:
            await fleet.clock.sleep(2_000)
            for server in fleet.servers.values():
                server.latency_ms = 400.0
            key = fleet.new_key()
            with pytest.raises(DeadlinePassed) as caught:
                asked = fleet.nodes["n0"].node.orders.run(fleet.make_order(key, deadline_ms=401.0))
                await asked
            assert caught.value.ran is Ran.UNKNOWN
            await fleet.clock.sleep(1_000)
            with pytest.raises(OutcomeUnknown):
                await fleet.nodes["n1"].node.orders.run(fleet.make_order(key))
        assert len(fleet.ran_orders()) <= 1

    run_virtually(run())


def test_many_claims_go_in_one_write():
    async def run():
        async with virtual_fleet(nodes=1, settings={"admission_limit": 4000}) as fleet:
            node = fleet.nodes["n0"].node
            before = fleet.shared_store.counts["writes"]
            keys = [fleet.new_key() for _ in range(1_500)]
            asks = [node.orders.run(fleet.make_order(key, deadline_ms=20_000.0)) for key in keys]
            await asyncio.gather(*asks)
            written = node.metrics.counts["once.written"]
            writes = fleet.shared_store.counts["writes"] - before
        assert len(fleet.ran_orders()) == 1_500
        assert written >= 1_500
        assert writes < 1_500 / 5

    run_virtually(run())
