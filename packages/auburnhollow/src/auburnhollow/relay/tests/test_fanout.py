"""Fan-out of a request to one server of each service: retries, hedges, deadlines, errors."""

import asyncio
import random

import pytest

from auburnhollow.exceptions import (
    BackendDied,
    BackendRejected,
    BackendReplaced,
    BackendUnreachable,
    DeadlinePassed,
    Quarantined,
    QueryError,
    Ran,
    Unavailable,
)
from auburnhollow.relay import Merged
from auburnhollow_standins.fake_servers import (
    CUT,
    DATA_CENTRES,
    REFUSED,
    RelayBed,
    make_request,
    make_route,
)
from auburnhollow_standins.virtual import run_virtually

SHARDS = ("s0", "s1", "s2", "s3")


def new_bed(shards=SHARDS, **options):
    return RelayBed(dict.fromkeys(shards, DATA_CENTRES), **options)


def test_all_shards_are_called_once_and_merged():
    async def scenario():
        bed = new_bed()
        merged = await bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS))
        return bed, merged

    bed, merged = run_virtually(scenario())
    assert sorted(bed.servers.asked()) == ["s0-0", "s1-0", "s2-0", "s3-0"]
    assert merged.missing == 0
    assert merged.body == b"s3-0............s2-0............s1-0............"
    assert merged.signatures == [f"signed-{shard}-0" for shard in SHARDS]


def test_a_late_call_is_hedged_on_another_server():
    async def scenario():
        bed = new_bed()
        bed.allow_repeats(*SHARDS)
        bed.servers.behaviour["s1-0"] = 900.0
        started_ms = bed.clock.now_ms()
        merged = await bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS))
        return bed, merged, bed.clock.now_ms() - started_ms

    bed, merged, took_ms = run_virtually(scenario())
    assert merged.missing == 0
    assert [name for name in bed.servers.asked() if name.startswith("s1")][0] == "s1-0"
    assert len(bed.servers.calls) == 5
    assert took_ms < 200.0


def test_a_server_with_a_late_call_gets_no_new_calls_until_it_answers():
    async def scenario():
        bed = new_bed()
        bed.allow_repeats(*SHARDS)
        route = make_route(SHARDS)
        for number in range(30):
            await bed.dispatcher.gather(make_request(bed.clock, f"w-{number}"), route)
        bed.servers.behaviour["s1-0"] = 300.0
        await bed.dispatcher.gather(make_request(bed.clock, "late"), route)
        del bed.servers.calls[:]
        await bed.dispatcher.gather(make_request(bed.clock, "next"), route)
        during = [name for name in bed.servers.asked() if name.startswith("s1")]
        bed.servers.behaviour.clear()
        await bed.clock.sleep(400)
        del bed.servers.calls[:]
        await bed.dispatcher.gather(make_request(bed.clock, "after"), route)
        return during, [name for name in bed.servers.asked() if name.startswith("s1")]

    during, after = run_virtually(scenario())
    assert "s1-0" not in during
    assert after == ["s1-0"]


def test_repeats_keep_to_the_budget():
    async def scenario():
        bed = new_bed(retry_ratio=0.1)
        route = make_route(SHARDS)
        bed.servers.behaviour["s1-0"] = 900.0
        bed.servers.behaviour["s1-1"] = 900.0
        bed.servers.behaviour["s1-2"] = 900.0
        calls = []
        for number in range(40):
            request = make_request(bed.clock, f"r-{number}")
            calls.append(asyncio.create_task(bed.dispatcher.gather(request, route)))
            await bed.clock.sleep(5)
        await asyncio.gather(*calls)
        return [name for name in bed.servers.asked() if name.startswith("s1")]

    assert len(run_virtually(scenario())) <= 40 * 1.1


def test_shards_that_answered_by_the_objective_form_a_partial_answer():
    async def scenario():
        bed = new_bed()
        for number in range(3):
            bed.servers.behaviour[f"s1-{number}"] = 900.0
        started_ms = bed.clock.now_ms()
        merged = await bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS))
        return merged, bed.clock.now_ms() - started_ms

    merged, took_ms = run_virtually(scenario())
    assert merged.missing == 1
    assert len(merged.signatures) == 3
    assert 150.0 <= took_ms <= 200.0


def time_of_a_partial_answer(connect_ms, **settings):
    """Return how long a caller waits whose first shard does not answer by the objective."""

    async def scenario():
        bed = new_bed(**settings)
        for number in range(3):
            bed.servers.behaviour[f"s1-{number}"] = 900.0
        started_ms = bed.clock.now_ms()
        request = make_request(bed.clock, connect_ms=connect_ms)
        await bed.dispatcher.gather(request, make_route(SHARDS, objective_ms=200.0))
        return bed.clock.now_ms() - started_ms

    return run_virtually(scenario())


def test_a_caller_that_had_to_connect_is_answered_sooner_by_the_time_it_took():
    took_ms = time_of_a_partial_answer(connect_ms=6.0, short_objectives=True)
    assert 178.0 <= took_ms <= 200.0 - 15.0 - 6.0 + 1.0


def test_without_short_objectives_answers_leave_as_before():
    took_ms = time_of_a_partial_answer(connect_ms=6.0)
    assert 200.0 - 15.0 - 1.0 <= took_ms <= 200.0 - 15.0 + 1.0


def test_late_answers_are_awaited_below_the_least_share():
    async def scenario():
        bed = new_bed()
        for shard in ("s1", "s2"):
            for number in range(3):
                bed.servers.behaviour[f"{shard}-{number}"] = 400.0
        return await bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS))

    assert run_virtually(scenario()).missing == 0


def test_the_deadline_error_is_raised_at_the_callers_deadline():
    async def scenario():
        bed = new_bed()
        for shard in ("s1", "s2"):
            for number in range(3):
                bed.servers.behaviour[f"{shard}-{number}"] = 5_000.0
        with pytest.raises(DeadlinePassed) as caught:
            await bed.dispatcher.gather(
                make_request(bed.clock, remaining_ms=700.0), make_route(SHARDS)
            )
        await bed.clock.sleep(1)
        return bed, caught.value, bed.clock.now_ms()

    bed, error, now_ms = run_virtually(scenario())
    assert error.ran is Ran.UNKNOWN
    assert now_ms < 710.0
    assert {"s1-0", "s2-0"} <= set(bed.servers.cancelled)


def test_too_few_shards_with_servers_are_rejected_before_anything_is_sent():
    async def scenario():
        bed = RelayBed({"s0": DATA_CENTRES, "s1": DATA_CENTRES, "s2": (), "s3": ()})
        with pytest.raises(Unavailable) as caught:
            await bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS))
        return bed, caught.value

    bed, error = run_virtually(scenario())
    assert bed.servers.calls == []
    assert error.ran is Ran.NO
    assert error.retry_after_ms > 0


def test_a_shard_without_servers_is_missing_and_not_awaited():
    async def scenario():
        bed = RelayBed({"s0": DATA_CENTRES, "s1": DATA_CENTRES, "s2": DATA_CENTRES, "s3": ()})
        started_ms = bed.clock.now_ms()
        merged = await bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS))
        return merged, bed.clock.now_ms() - started_ms

    merged, took_ms = run_virtually(scenario())
    assert merged.missing == 1
    assert took_ms < 60.0


def test_a_request_that_is_not_repeatable_is_sent_once_when_its_answer_is_lost():
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        for number in range(3):
            bed.servers.behaviour[f"search-{number}"] = CUT
        route = make_route(repeatable=False)
        with pytest.raises(BackendRejected) as caught:
            await bed.dispatcher.forward(make_request(bed.clock), route, "search")
        return bed, caught.value

    bed, error = run_virtually(scenario())
    assert len(bed.servers.calls) == 1
    assert error.ran is Ran.UNKNOWN


def test_a_request_that_is_not_repeatable_is_not_hedged():
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-0"] = 900.0
        route = make_route(repeatable=False)
        await bed.dispatcher.forward(make_request(bed.clock), route, "search")
        return bed

    assert len(run_virtually(scenario()).servers.calls) == 1


@pytest.mark.parametrize(
    "error", [REFUSED, BackendUnreachable("no connection"), BackendReplaced("moved")]
)
def test_a_request_that_has_not_run_is_sent_to_another_server(error):
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-0"] = error
        route = make_route(repeatable=False)
        answer = await bed.dispatcher.forward(make_request(bed.clock), route, "search")
        return bed, answer

    bed, answer = run_virtually(scenario())
    assert bed.servers.asked()[0] == "search-0"
    assert answer.signature != "signed-search-0"


def test_an_error_tells_that_no_server_has_run_the_request():
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        for number in range(3):
            bed.servers.behaviour[f"search-{number}"] = REFUSED
        with pytest.raises(Unavailable) as caught:
            await bed.dispatcher.forward(make_request(bed.clock), make_route(), "search")
        return caught.value

    error = run_virtually(scenario())
    assert error.ran is Ran.NO
    assert error.retry_after_ms > 0


def test_a_server_whose_address_was_taken_over_is_not_called_again():
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        bed.servers.behaviour["search-0"] = BackendReplaced("moved")
        await bed.dispatcher.forward(make_request(bed.clock), make_route(), "search")
        return [server.id for server in bed.registry.usable("search")]

    assert run_virtually(scenario()) == ["search-1", "search-2"]


def test_a_servers_error_response_is_returned_when_attempts_are_used_up():
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.allow_repeats("search")
        for number in range(3):
            bed.servers.behaviour[f"search-{number}"] = 500
        answer = await bed.dispatcher.forward(make_request(bed.clock), make_route(), "search")
        return bed, answer

    bed, answer = run_virtually(scenario())
    assert answer.status == 500
    assert len(bed.servers.calls) == 2


def test_a_client_error_response_is_an_answer():
    async def scenario():
        bed = RelayBed({"search": DATA_CENTRES})
        bed.servers.behaviour["search-0"] = 404
        return bed, await bed.dispatcher.forward(make_request(bed.clock), make_route(), "search")

    bed, answer = run_virtually(scenario())
    assert answer.status == 404
    assert len(bed.servers.calls) == 1


def test_calls_are_cancelled_when_the_caller_disconnects():
    async def scenario():
        bed = new_bed(work_ms=300.0)
        task = asyncio.create_task(
            bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS, objective_ms=900.0))
        )
        await bed.clock.sleep(50)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await bed.clock.sleep(1)
        return bed

    bed = run_virtually(scenario())
    assert len(bed.servers.cancelled) == len(bed.servers.calls)


def test_attempts_bound_the_servers_of_each_shard():
    async def scenario():
        bed = new_bed()
        bed.allow_repeats(*SHARDS)
        for number in range(3):
            bed.servers.behaviour[f"s1-{number}"] = CUT
        route = make_route(SHARDS, attempts=2)
        merged = await bed.dispatcher.gather(make_request(bed.clock), route)
        return bed, merged

    bed, merged = run_virtually(scenario())
    assert merged.missing == 1
    assert len([name for name in bed.servers.asked() if name.startswith("s1")]) == 2


def test_failed_shards_below_the_least_share_end_the_request_at_once():
    async def scenario():
        bed = new_bed()
        bed.allow_repeats(*SHARDS)
        for shard in ("s1", "s2"):
            for number in range(3):
                bed.servers.behaviour[f"{shard}-{number}"] = CUT
        with pytest.raises(BackendRejected):
            await bed.dispatcher.gather(make_request(bed.clock), make_route(SHARDS))
        return bed.clock.now_ms()

    assert run_virtually(scenario()) < 100.0


def test_a_request_that_crashes_servers_is_not_retried_and_is_quarantined():
    async def scenario():
        bed = new_bed()
        bed.allow_repeats(*SHARDS)
        for shard in SHARDS:
            for number in range(3):
                bed.servers.behaviour[f"{shard}-{number}"] = BackendDied("died")
        errors = []
        for name in ("r-1", "r-2"):
            try:
                await bed.dispatcher.gather(make_request(bed.clock, name), make_route(SHARDS))
            except QueryError as error:
                errors.append(type(error))
        other = make_request(bed.clock, "r-3", target="/other")
        bed.servers.behaviour.clear()
        merged = await bed.dispatcher.gather(other, make_route(SHARDS))
        return bed, errors, merged

    bed, errors, merged = run_virtually(scenario())
    asked = [call for call in bed.servers.calls if call[2] != "r-3"]
    assert len(asked) <= len(SHARDS) + 1
    assert errors == [BackendRejected, Quarantined]
    assert merged.missing == 0


def test_a_request_in_progress_when_servers_of_several_shards_crash_is_not_refused():
    async def scenario():
        bed = new_bed(("s0", "s1", "s2", "s3", "s4", "s5"))
        shards = ("s0", "s1", "s2", "s3", "s4", "s5")
        bed.allow_repeats(*shards)
        bed.servers.behaviour["s1-0"] = BackendDied("died")
        bed.servers.behaviour["s2-0"] = BackendDied("died")
        route = make_route(shards, least_share=0.6)
        first = await bed.dispatcher.gather(make_request(bed.clock, "r-1"), route)
        bed.servers.behaviour.clear()
        second = await bed.dispatcher.gather(make_request(bed.clock, "r-2"), route)
        return first, second

    first, second = run_virtually(scenario())
    assert len(first.signatures) >= 4
    assert second.missing == 0


def test_answers_are_complete_while_one_server_of_each_shard_accepts_calls():
    """Two of three servers of each shard refuse 60 % of their calls for about ten seconds."""

    async def scenario():
        bed = new_bed(retry_ratio=0.2)
        rng = random.Random(2)
        route = make_route(SHARDS, objective_ms=300.0)
        calls = []
        for number in range(600):
            for shard in SHARDS:
                for replica in (0, 1):
                    name = f"{shard}-{replica}"
                    bed.servers.behaviour[name] = REFUSED if rng.random() < 0.6 else 20.0
            request = make_request(bed.clock, f"r-{number}")
            calls.append(asyncio.create_task(bed.dispatcher.gather(request, route)))
            await bed.clock.sleep(15)
        return await asyncio.gather(*calls, return_exceptions=True)

    answers = run_virtually(scenario())
    late = answers[100:]
    whole = [one for one in late if isinstance(one, Merged) and one.missing == 0]
    assert len(whole) >= 0.9 * len(late)


# Guards against 503 at a node that has just started, though another server is free.
@pytest.mark.parametrize("repeatable", [True, False])
def test_a_request_that_reached_no_server_is_sent_to_another_without_a_budget(repeatable):
    async def scenario():
        bed = new_bed(("s0",))
        bed.servers.behaviour["s0-0"] = BackendUnreachable("refused")
        bed.servers.unconnected.add("s0-0")
        route = make_route(("s0",), repeatable=repeatable)
        answer = await bed.dispatcher.forward(make_request(bed.clock), route, "s0")
        return answer.status, bed.servers.asked(), bed.dispatcher.budget("s0").spent

    assert run_virtually(scenario()) == (200, ["s0-0", "s0-1"], 0)
