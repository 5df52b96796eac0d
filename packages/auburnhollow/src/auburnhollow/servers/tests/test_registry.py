"""Which servers may get new work, as the register says and through its outages."""

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.servers import ServerRegistry, ServerState
from auburnhollow.servers.registry import RETURN_MS
from auburnhollow_standins.fake_servers import a_server


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def registry(clock):
    registry = ServerRegistry(clock)
    registry.replace([a_server("a"), a_server("b")])
    return registry


def usable(registry, service="search"):
    return sorted(server.id for server in registry.usable(service))


def test_a_draining_server_gets_no_new_work(registry):
    registry.put(a_server("a", state=ServerState.DRAINING, sequence=2))
    assert usable(registry) == ["b"]


def test_an_older_statement_brings_no_draining_server_back(registry):
    registry.put(a_server("a", state=ServerState.DRAINING, sequence=5))
    registry.put(a_server("a", sequence=4))
    assert usable(registry) == ["b"]


def test_a_statement_from_before_a_restart_is_ignored(registry):
    registry.put(a_server("a", started_ms=9, sequence=1))
    registry.put(a_server("a", state=ServerState.DRAINING, started_ms=1, sequence=80))
    assert usable(registry) == ["a", "b"]


def test_a_restart_counts_anew(registry):
    registry.put(a_server("a", state=ServerState.DRAINING, sequence=80))
    registry.put(a_server("a", started_ms=9, sequence=1))
    assert usable(registry) == ["a", "b"]


def test_an_entry_that_is_removed_ends_the_server(registry):
    registry.remove("a")
    assert usable(registry) == ["b"]
    registry.remove("unknown")


def test_a_server_may_move_to_another_service(registry):
    registry.put(a_server("a", service="portal", sequence=2))
    assert usable(registry) == ["b"]
    assert usable(registry, "portal") == ["a"]


def test_a_read_without_outage_ends_what_is_not_listed(registry):
    registry.replace([a_server("b")])
    assert usable(registry) == ["b"]


@pytest.mark.parametrize("way", ["event", "read"])
def test_entries_that_lapse_in_an_outage_are_kept_until_they_can_be_back(registry, clock, way):
    registry.outage_began()
    clock.advance(60_000.0)
    assert usable(registry) == ["a", "b"]
    registry.outage_ended()
    if way == "event":
        registry.remove("a")
    else:
        registry.replace([a_server("b")])
    clock.advance(RETURN_MS - 1)
    assert usable(registry) == ["a", "b"]
    clock.advance(2)
    assert usable(registry) == ["b"]


def test_an_entry_that_is_back_after_an_outage_stays(registry, clock):
    registry.outage_began()
    registry.outage_ended()
    registry.replace([a_server("b")])
    clock.advance(1_000.0)
    registry.put(a_server("a", sequence=7))
    clock.advance(RETURN_MS)
    assert usable(registry) == ["a", "b"]


def test_a_second_outage_prolongs_the_wait(registry, clock):
    registry.outage_began()
    registry.outage_ended()
    registry.replace([a_server("b")])
    clock.advance(1_000.0)
    registry.outage_began()
    clock.advance(RETURN_MS)
    assert usable(registry) == ["a", "b"]
    registry.outage_ended()
    clock.advance(RETURN_MS + 1)
    assert usable(registry) == ["b"]


def test_a_server_that_is_not_at_its_address_ends(registry):
    (server,) = [one for one in registry.usable("search") if one.id == "a"]
    registry.misdirected(server)
    assert usable(registry) == ["b"]
    registry.misdirected(server)
    assert usable(registry) == ["b"]
