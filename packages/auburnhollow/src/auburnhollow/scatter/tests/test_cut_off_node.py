"""A node that reaches no backend server, while callers and other nodes reach it."""

from collections import Counter

import pytest

from auburnhollow.exceptions import BackendDied, BackendUnreachable, QueryError, Ran
from auburnhollow_standins.fake_backends import FakeBackends, Pausable
from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import make_search, virtual_fleet

CUT_MS = 6_000.0
INTERVAL_MS = 100.0
# From one second after the cut, as at nodes that are not cut off.
NOTICE_MS = 1_000.0
MIN_SERVED = 0.95


class CutBackends(FakeBackends):
    """Backend servers that refuse all connections while ``is_cut``.

    With ``ends_calls``, connections end under a call instead, and new ones are refused.
    """

    is_cut = False
    ends_calls = False

    async def call(self, server, *arguments, **options):
        """Call a server, unless the links are cut."""
        if self.is_cut and self.ends_calls:
            raise BackendDied(f"{server.id}: reset, new connection refused")
        if self.is_cut:
            raise BackendUnreachable(f"{server.id}: refused")
        return await super().call(server, *arguments, **options)

    async def can_connect(self, server):
        """Return whether a server accepts a connection."""
        return not self.is_cut and await super().can_connect(server)


@pytest.mark.parametrize("kind", ["search", "order"])
def test_callers_of_a_node_that_reaches_no_server_are_served_by_others(kind):
    async def scenario():
        backends = []
        servers = {}

        def make_backends(clock):
            backends.append(CutBackends(servers, clock, Pausable()))
            return backends[-1]

        async with virtual_fleet(make_backends=make_backends) as fleet:
            servers.update(fleet.servers)
            node = fleet.nodes["n0"].node
            await fleet.clock.sleep(2_000)
            backends[0].is_cut = True
            await fleet.clock.sleep(NOTICE_MS)
            results = []
            for _ in range(int((CUT_MS - NOTICE_MS) / INTERVAL_MS)):
                results.append(await ask(fleet, node, kind))
                await fleet.clock.sleep(INTERVAL_MS)
            return results

    results = run_virtually(scenario())
    assert sum(results) >= MIN_SERVED * len(results)


def test_orders_at_nodes_whose_links_flap_run_at_most_once_and_not_run_is_true():
    async def scenario():
        backends = []
        servers = {}

        def make_backends(clock):
            backends.append(CutBackends(servers, clock, Pausable()))
            return backends[-1]

        async with virtual_fleet(make_backends=make_backends) as fleet:
            servers.update(fleet.servers)
            await fleet.clock.sleep(2_000)
            results = {}
            for number in range(60):
                for index, cut in enumerate(backends):
                    cut.is_cut = (number // 10 + index) % 3 == 0
                key = fleet.new_key()
                node = fleet.nodes[f"n{number % 3}"].node
                try:
                    await node.delegation.run(fleet.make_order(key))
                    results[key] = Ran.YES
                except QueryError as error:
                    results[key] = error.ran
                await fleet.clock.sleep(100)
            return results, Counter(order["key"] for order in fleet.ran_orders())

    results, runs = run_virtually(scenario())
    assert max(runs.values()) == 1
    assert [key for key, ran in results.items() if ran is Ran.NO and runs[key]] == []
    assert sum(ran is Ran.YES for ran in results.values()) >= 0.8 * len(results)


def test_connections_that_end_with_a_nodes_links_are_no_deaths():
    async def scenario():
        backends = []
        servers = {}

        def make_backends(clock):
            backends.append(CutBackends(servers, clock, Pausable()))
            return backends[-1]

        async with virtual_fleet(make_backends=make_backends) as fleet:
            servers.update(fleet.servers)
            node = fleet.nodes["n0"].node
            await fleet.clock.sleep(2_000)
            backends[0].ends_calls = True
            for number in range(4):
                backends[0].is_cut = number % 2 == 1
                await ask(fleet, node, "search")
                await fleet.clock.sleep(3_000)
            return len(node.components.quarantine._suspects)

    assert run_virtually(scenario()) == 0


async def ask(fleet, node, kind):
    """Return whether a node answers a search in full, or an order."""
    try:
        if kind == "order":
            await node.delegation.run(fleet.make_order(fleet.new_key()))
            return True
        answer = await node.delegation.search(make_search())
        return answer.coverage.is_complete
    except QueryError:
        return False


@pytest.mark.parametrize("kind", ["search", "order"])
@pytest.mark.parametrize("behind", [("n1",), ("n1", "n2")], ids=["one", "all"])
def test_no_helper_answers_by_an_older_configuration_than_the_senders(kind, behind):
    async def scenario():
        backends = []
        servers = {}

        def make_backends(clock):
            backends.append(CutBackends(servers, clock, Pausable()))
            return backends[-1]

        async with virtual_fleet(make_backends=make_backends) as fleet:
            servers.update(fleet.servers)
            await fleet.clock.sleep(2_000)
            backends[0].is_cut = True
            node = fleet.nodes["n0"].node
            while not await ask(fleet, node, kind):
                await fleet.clock.sleep(INTERVAL_MS)
            for name, virtual_node in fleet.nodes.items():
                holder = virtual_node.node.configuration_holder
                if name not in behind:
                    holder._stored.number += 1
            answered = Counter()
            for name in behind:
                count_answers(fleet.nodes[name].node, answered)
            results = [await ask(fleet, node, kind) for _ in range(20)]
            return results, answered.total()

    results, answered = run_virtually(scenario())
    assert answered == 0
    assert all(results) is (len(behind) == 1)


def count_answers(node, answered):
    """Count the searches and orders that a node starts."""
    coordinator, orders = node.delegation._coordinator, node.delegation._orders
    node.delegation._coordinator = CountingCalls(coordinator, answered)
    node.delegation._orders = CountingCalls(orders, answered)


class CountingCalls:
    """A coordinator or orders that also counts its calls."""

    def __init__(self, inner, answered):
        self._inner = inner
        self._answered = answered

    async def search(self, search):
        """Answer a search."""
        self._answered["search"] += 1
        return await self._inner.search(search)

    async def run(self, order):
        """Run an order."""
        self._answered["order"] += 1
        return await self._inner.run(order)
