"""What the log line of a request tells of the configuration that refused it."""

import logging
import os

import pytest

from auburnhollow.accounts import Account
from auburnhollow.exceptions import NoRoute, NotReady, TooLarge, Unauthorized
from auburnhollow.follow import ConfigurationUpdate, Feed
from auburnhollow.follow.in_force import InForce
from auburnhollow.metrics import Metrics
from auburnhollow.routes import FrontLimits, RouteTable, Service
from auburnhollow_node.relay.logs import BoundedHandler
from auburnhollow_node.relay.node import RelayNode
from auburnhollow_node.relay.request_log import RequestLog
from auburnhollow_standins.fake_servers import make_request, make_route
from auburnhollow_standins.virtual import VirtualClock, run_virtually
from auburnhollow_standins.virtual_relays import ONCE, running_relays

LIMITS = FrontLimits(header_bytes=8_192, body_bytes=65_536, header_ms=5_000, idle_ms=30_000)
STANDING = ("heard_version", "era", "revision", "in_force_ms", "through", "store_age_ms")
# The users' excerpts hold this much of each line.
EXCERPT_LENGTH = 200


def keyed_update(version):
    route = make_route((ONCE,), name="stock", prefix="/stock/", objective_ms=300.0)
    accounts = [Account(name="desk", key_digests=("0" * 64,))]
    table = RouteTable(version, [route], [Service(name=ONCE, connections=100)], LIMITS, accounts)
    return ConfigurationUpdate(table=table)


def log_refusal(caplog, error, **fields):
    """Return the log fields of a request that fails with a class of error."""

    async def scenario():
        async with running_relays(count=2) as fleet:
            node = fleet.nodes["node-1"]
            if error is Unauthorized:
                fleet.content.later.append(keyed_update(2))
                await fleet.clock.sleep(1_000.0)
            node.follower.in_force.hear(7, 0)
            with pytest.raises(error) as caught:
                await node.handle(make_request(fleet.clock, **fields))
            return caught.value

    error = run_virtually(scenario())
    (record,) = [entry for entry in caplog.records if entry.message == "request failed"]
    return record.inputs, error


@pytest.mark.parametrize(
    ("error", "target", "version"), [(NoRoute, "/nowhere/", 1), (Unauthorized, "/stock/", 2)]
)
def test_a_refusal_by_the_configuration_tells_what_the_node_knows_of_it(
    caplog, error, target, version
):
    line, raised = log_refusal(caplog, error, target=target)
    assert (line["version"], line["heard_version"]) == (version, 7)
    assert (line["era"], line["revision"]) == (None, version)
    assert line["through"] == "store"
    assert line["in_force_ms"] > 0
    assert line["store_age_ms"] >= 0
    assert not any(name in raised.detail for name in STANDING)


def test_a_refusal_without_a_configuration_tells_which_version_others_have(caplog):
    async def scenario():
        async with running_relays(count=2) as fleet:
            node = RelayNode(fleet.nodes["node-1"].settings, Feed(), None, fleet.clock)
            node.follower.in_force.hear(7, 0)
            with pytest.raises(NotReady):
                await node.handle(make_request(fleet.clock))

    run_virtually(scenario())
    (record,) = [entry for entry in caplog.records if entry.message == "request failed"]
    known = {name: record.inputs[name] for name in ("version", *STANDING)}
    assert {name: value for name, value in known.items() if value is not None} == {
        "heard_version": 7
    }


def test_another_failure_does_not_make_its_line_longer(caplog):
    line, _ = log_refusal(caplog, TooLarge, target="/stock/", body=b"x" * 70_000)
    assert not set(STANDING) & set(line)
    assert line["version"] == 1


def test_versions_are_within_the_users_excerpt_of_a_line():
    async def scenario():
        clock = VirtualClock()
        in_force = InForce(clock)
        in_force.begin(12_345, None)
        in_force.hear(12_346, 1)
        request_log = RequestLog(clock, Metrics(), lambda: in_force.to_map(100.0))
        request = make_request(clock, name="eac8dd28122246f3")
        request_log.failed(request, None, NoRoute("no route for " + "x" * 50), 12_345)

    reader, writer = os.pipe()
    handler = BoundedHandler("front-centre-a-11", 100, writer)
    log = logging.getLogger("node")
    log.addHandler(handler)
    try:
        run_virtually(scenario())
        line = os.read(reader, 1 << 16)
    finally:
        log.removeHandler(handler)
        os.close(reader)
        os.close(writer)
    excerpt = line[:EXCERPT_LENGTH]
    for text in (b'"code":"no-route"', b'"version":12345', b'"heard_version":12346'):
        assert text in excerpt


def test_nothing_is_gathered_for_a_request_that_is_answered():
    async def scenario():
        async with running_relays(count=2) as fleet:
            node = fleet.nodes["node-1"]
            gathered = []
            node._request_log._standing = lambda: gathered.append(1) or {}
            answer = await node.handle(make_request(fleet.clock, target="/stock/1"))
            return answer.status, gathered

    assert run_virtually(scenario()) == (200, [])
