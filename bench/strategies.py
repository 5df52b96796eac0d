"""Baseline strategies for choosing a replica, for comparison with the product's."""

import random


class _BaselineChoice:
    """Base class with the interface of :class:`~auburnhollow.routing.ReplicaChoice`.

    :param product: the :class:`~auburnhollow.routing.ReplicaChoice` that it replaces.
    """

    def __init__(self, product):
        self._product = product

    def eligible_servers(self, configuration, servers, tried=()):
        """Return the servers that may get new calls."""
        return self._product.eligible_servers(configuration, servers, tried)

    def observe(self, server, latency_ms, load=None, incarnation=None):
        """Do nothing: baselines do not learn from calls."""

    def observe_cancelled(self, configuration, server, latency_ms):
        """Do nothing: baselines do not learn from calls."""

    def observe_overload(self, configuration, service, server):
        """Do nothing: baselines do not learn from calls."""

    def typical_ms(self, configuration, server):
        """Return an arbitrary value, as baselines do not hedge."""
        return 1.0

    def forget(self, known):
        """Do nothing: there is no state to remove."""


class RandomChoice(_BaselineChoice):
    """Chooses a random replica among those that may get new calls."""

    def __init__(self, product, seed):
        super().__init__(product)
        self._random = random.Random(seed)

    def choose(self, configuration, service, servers, tried=()):
        """Return a random server."""
        found = self.eligible_servers(configuration, servers, tried)
        return self._random.choice(found) if found else None


class OracleChoice(_BaselineChoice):
    """Chooses the replica that is expected to answer first, from the true state of all servers.

    :param models: :class:`~bench.model.ServerModel` by id.
    :param one_way_delay_ms: function of a server that returns the one-way delay.
    """

    def __init__(self, product, models, clock, one_way_delay_ms):
        super().__init__(product)
        self._models = models
        self._clock = clock
        self._one_way_delay_ms = one_way_delay_ms

    def choose(self, configuration, service, servers, tried=()):
        """Return the server with the smallest expected latency."""
        now_ms = self._clock.now_ms()
        found = self.eligible_servers(configuration, servers, tried)
        return min(found, key=lambda server: self._cost(server, now_ms), default=None)

    def _cost(self, server, now_ms):
        return self._models[server.id].expected_ms(now_ms) + 2 * self._one_way_delay_ms(server)


def install_strategy(strategy, node, models, one_way_delay_ms, seed):
    """Make ``node`` choose replicas by ``strategy``: product, random or oracle."""
    if strategy == "random":
        node.components.replicas = RandomChoice(node.components.replicas, seed)
    if strategy == "oracle":
        node.components.replicas = OracleChoice(
            node.components.replicas, models, node.clock, one_way_delay_ms
        )
