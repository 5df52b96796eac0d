"""How soon all nodes have what no watch has delivered, where chance decides which node compares."""

import pytest

from auburnhollow.follow import ServerUpdate
from auburnhollow_standins.fake_servers import DATA_CENTRES, make_server
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import ONCE, running_relays

from .test_missed_changes import SEEN_BY_NOBODY_MS, make_update

SETTLED_MS = 6_000.0
KNOWN_MS = 20_000.0
SERVER = ServerUpdate(server=make_server("missed", ONCE, DATA_CENTRES[0]))


def nodes_after_a_change(count, seed, updates, wait_ms):
    """Return the nodes, ``wait_ms`` after updates that no watch delivers."""

    async def scenario():
        async with running_relays(count=count, seed=seed) as fleet:
            fleet.content.deaf.update(fleet.nodes)
            # Another moment of the comparisons for each seed.
            await fleet.clock.sleep(SETTLED_MS + 137.0 * seed)
            fleet.content.later.extend(updates)
            await fleet.clock.sleep(wait_ms)
            return list(fleet.nodes.values())

    return run_virtually(scenario())


@pytest.mark.parametrize("seed", [27])
def test_no_chance_keeps_a_small_fleet_from_comparing_in_time(seed):
    nodes = nodes_after_a_change(12, seed, [make_update(9)], SEEN_BY_NOBODY_MS)
    assert {node.routes.version for node in nodes} == {9}


@pytest.mark.parametrize("seed", [4])
def test_nodes_behind_a_watcher_read_again_after_it_has(seed):
    for node in nodes_after_a_change(16, seed, [make_update(9), SERVER], KNOWN_MS):
        assert "missed" in {server.id for server in node.registry.servers}
