"""The rate of cold servers, by all nodes together."""

import random

import pytest

from auburnhollow.gate import ColdServers
from auburnhollow.routes import Service
from auburnhollow_standins.fake_servers import make_server
from auburnhollow_standins.virtual import VirtualClock, run_virtually

RATE_PER_S = 10.0
EXCESS = 1.5
SLACK = 5
SERVICES = {
    "search": Service(name="search", connections=9, warm_up_ms=8_000.0, cold_rate_per_s=RATE_PER_S),
    "free": Service(name="free", connections=9, warm_up_ms=8_000.0),
}


def new_cold(clock, seed=1, share=1.0):
    cold = ColdServers(clock, random.Random(seed), lambda _incarnation: share)
    cold.set_services(SERVICES)
    return cold


@pytest.mark.parametrize("count", [1, 7, 60, 200])
def test_all_nodes_together_keep_to_the_rate_in_every_second(count):
    async def scenario():
        clock = VirtualClock()
        nodes = [new_cold(clock, seed, 0.95 / count) for seed in range(count)]
        server = make_server("a", warm_up_ms=8_000)
        for node in nodes:
            node.hear(server)
        sent_ms = []
        until_ms = clock.now_ms() + 7_900.0
        while clock.now_ms() < until_ms:
            for node in nodes:
                if node.wait_ms(server.incarnation) <= 0:
                    node.take(server.incarnation)
                    sent_ms.append(clock.now_ms())
            await clock.sleep(10.0)
        return sent_ms

    sent_ms = run_virtually(scenario())
    most = max(sum(1 for at in sent_ms if first <= at < first + 1_000.0) for first in sent_ms)
    assert most <= RATE_PER_S * EXCESS + SLACK
    assert len(sent_ms) > 7.9 * RATE_PER_S * 0.5


def test_a_server_is_cold_until_its_time_has_passed_and_again_when_it_says_so():
    async def scenario():
        clock = VirtualClock()
        cold = new_cold(clock)
        server = make_server("a", warm_up_ms=1_000)
        cold.hear(server)
        first = cold.turns(server.incarnation)
        await clock.sleep(1_100.0)
        found = [first is not None, cold.turns(server.incarnation)]
        # The same entry, read again, is as old as before.
        cold.hear(server)
        found.append(cold.turns(server.incarnation))
        cold.hear(make_server("a", warm_up_ms=2_000, sequence=2))
        again = cold.turns(server.incarnation)
        cold.hear(make_server("a", warm_up_ms=0, sequence=3))
        found += [again is not first, cold.turns(server.incarnation)]
        return found

    assert run_virtually(scenario()) == [True, None, None, True, None]


def test_a_service_without_a_rate_has_no_turns():
    async def scenario():
        cold = new_cold(VirtualClock())
        server = make_server("a", "free", warm_up_ms=1_000)
        cold.hear(server)
        return cold.turns(server.incarnation), cold.wait_ms(server.incarnation), len(cold)

    assert run_virtually(scenario()) == (None, 0.0, 0)
