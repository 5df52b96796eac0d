"""A node that is cut off from all servers, and helpers whose configuration is older or newer."""

import asyncio

import pytest

from auburnhollow.exceptions import QueryError
from auburnhollow.routes import FrontLimits, RouteTable, Service
from auburnhollow_standins.fake_servers import make_route
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import HANG, ONCE, SINGLE, running_relays

CUT = "node-0"
# Of the data centre of the node that is cut off; they are asked first.
HELPERS = ("node-3", "node-6")
LIMITS = FrontLimits(header_bytes=8_192, body_bytes=65_536, header_ms=5_000, idle_ms=30_000)


def change_routes(fleet, names):
    """Put version 2, in which /stock/ belongs to another service, in force at some nodes."""
    for name in names:
        table = RouteTable(
            2,
            [make_route((ONCE,), name=SINGLE, prefix="/stock/", objective_ms=300.0)],
            [Service(name=ONCE, connections=100)],
            LIMITS,
        )
        fleet.nodes[name].follower.apply_routes(table)


async def press(fleet, count, gap_ms=20.0):
    """Send requests to the node that is cut off; return their results."""
    tasks = []
    for number in range(count):
        tasks.append(asyncio.create_task(fleet.send(CUT, "/stock/", number)))
        await fleet.clock.sleep(gap_ms)
    return await asyncio.gather(*tasks)


def run_with_versions(changed, before=20, after=60):
    """Cut a node off, change the routes at some nodes and send requests to it.

    :returns: the services that ran the requests, in order, and the results.
    """

    async def scenario():
        async with running_relays() as fleet:
            await press(fleet, before)
            fleet.world.cut([CUT], HANG)
            await press(fleet, before, 100.0)
            change_routes(fleet, changed)
            del fleet.world.ran[:]
            results = await press(fleet, after)
            return [server.rpartition("-")[0] for server, _ in fleet.world.ran], results

    return run_virtually(scenario())


def share_served(results):
    return sum(not isinstance(result, QueryError) for result in results) / len(results)


@pytest.mark.parametrize("helpers", [(), HELPERS[:1], HELPERS], ids=["none", "one", "all"])
def test_a_delegated_request_is_never_handled_by_an_older_configuration(helpers):
    ran, results = run_with_versions([CUT, *helpers])
    assert set(ran) == {ONCE}
    assert share_served(results) >= 0.95


def test_requests_are_not_handled_by_an_older_configuration_after_a_newer_one():
    ran, results = run_with_versions(HELPERS[:1])
    assert ONCE in ran
    assert SINGLE not in ran[ran.index(ONCE) + 1 :]
    assert share_served(results) >= 0.95
