"""Servers that all watches have missed beside a configuration."""

import pytest

from auburnhollow.follow import ServerUpdate
from auburnhollow_standins.fake_servers import DATA_CENTRES, make_server
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_relays import ONCE, running_relays

from .test_missed_changes import make_update

KNOWN_MS = 10_000.0


@pytest.mark.parametrize("count", [2, 7, 16])
def test_a_server_that_no_watch_delivers_beside_a_configuration_is_known_everywhere(count):
    async def scenario():
        async with running_relays(count=count) as fleet:
            fleet.content.deaf.update(fleet.nodes)
            await fleet.clock.sleep(6_000.0)
            server = make_server("missed", ONCE, DATA_CENTRES[0])
            fleet.content.later.append(make_update(9))
            fleet.content.later.append(ServerUpdate(server=server))
            await fleet.clock.sleep(KNOWN_MS)
            return [
                name
                for name, node in fleet.nodes.items()
                if "missed" not in {server.id for server in node.registry.servers}
            ]

    assert run_virtually(scenario()) == []
