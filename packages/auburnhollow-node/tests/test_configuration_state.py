"""What a node tells of its configuration as metrics and to the readiness check."""

import orjson
import pytest

from auburnhollow_node.relay.admin import build_admin
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import running_relays

STANDING = ("heard_version", "era", "revision", "in_force_ms", "through", "store_age_ms")
READY_PATH = "/ready"


def test_a_version_of_another_node_is_heard_of_and_its_own_is_not():
    async def scenario():
        async with running_relays(count=3) as fleet:
            fleet.nodes["node-1"].follower.on_version(9, 1)
            await fleet.clock.sleep(900.0)
            return {name: node.gauges() for name, node in fleet.nodes.items()}

    gauges = run_virtually(scenario())
    heard = {name: found["node.configuration_heard"] for name, found in gauges.items()}
    assert (heard["node-0"], heard["node-2"]) == (9, 9)
    assert heard["node-1"] != 9


def test_gauges_tell_position_and_age_of_the_version():
    async def scenario():
        async with running_relays(count=2) as fleet:
            return fleet.nodes["node-1"].gauges()

    gauges = run_virtually(scenario())
    assert gauges["node.configuration_version"] == 1
    assert gauges["node.followed_revision"] == 1
    assert gauges["node.followed_era"] is None
    assert gauges["node.configuration_age_ms"] > 3_000.0


def ask_ready(is_stopping):
    """Return status, headers and document of the readiness check."""

    async def scenario():
        async with running_relays(count=2) as fleet:
            node = fleet.nodes["node-1"]
            node.is_stopping = is_stopping
            sent = []

            async def send(message):
                sent.append(message)

            await build_admin(node, READY_PATH)({"path": READY_PATH}, None, send)
            return sent

    start, body = run_virtually(scenario())
    return start["status"], dict(start["headers"]), orjson.loads(body["body"])


@pytest.mark.parametrize(("is_stopping", "status"), [(False, 200), (True, 503)])
def test_the_readiness_check_tells_version_and_position(is_stopping, status):
    found, headers, document = ask_ready(is_stopping)
    assert found == status
    assert headers[b"content-type"] == b"application/json"
    assert document["ready"] is not is_stopping
    assert set(document) == {"ready", "version", *STANDING}
    assert (document["version"], document["revision"], document["through"]) == (1, 1, "store")
