"""No server has run a request whose error says that it did not run."""

import itertools

import pytest

from auburnhollow.exceptions import QueryError, Ran
from auburnhollow_standins.fake_backends import RAN_BY_STEP, STEPS
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_document, make_search, virtual_fleet

FAILURES = sorted(set(STEPS) - {"answer", "partial", "slow"})
PAIRS = list(itertools.product(FAILURES, FAILURES))


async def run_with_steps(verb, steps):
    """Query one shard with a replica for each step; return the error and the calls that ran."""
    async with virtual_fleet(make_document(shards=1, replicas=len(steps)), nodes=1) as fleet:
        for server, step in zip(fleet.servers.values(), steps, strict=True):
            server.default_step = step
        node = fleet.nodes["n0"].node
        try:
            if verb == "search":
                await node.coordinator.search(make_search())
            else:
                await node.orders.run(fleet.make_order(fleet.new_key()))
        except QueryError as error:
            return error, [call for server in fleet.servers.values() for call in server.ran]
    raise AssertionError("got an answer although all servers fail")


@pytest.mark.parametrize("verb", ["search", "order"])
@pytest.mark.parametrize("step", FAILURES)
def test_after_one_failure_not_run_is_reported_only_if_true(verb, step):
    error, ran = run_virtually(run_with_steps(verb, [step]))
    if error.ran is Ran.NO:
        assert not ran
    if step in RAN_BY_STEP:
        assert error.ran is Ran.NO
    if verb == "order":
        assert len(ran) <= 1


@pytest.mark.parametrize("verb", ["search", "order"])
@pytest.mark.parametrize(("first", "second"), PAIRS)
def test_after_two_failures_not_run_is_reported_only_if_true(verb, first, second):
    error, ran = run_virtually(run_with_steps(verb, [first, second]))
    if error.ran is Ran.NO:
        assert not ran
    if first in RAN_BY_STEP and second in RAN_BY_STEP:
        assert error.ran is Ran.NO
    if verb == "order":
        assert len(ran) <= 1
