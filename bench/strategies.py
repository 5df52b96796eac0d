"""Ways to choose a replica that the product is measured against."""

import random


class _Choice:
    """The part of :class:`~auburnhollow.routing.ReplicaChoice` that requests use."""

    def __init__(self, product):
        self._product = product

    def eligible_servers(self, configuration, servers, tried=()):
        """Return the servers that may get work."""
        return self._product.eligible_servers(configuration, servers, tried)

    def observe(self, server, latency_ms, load=None, incarnation=None):
        """Learn nothing."""

    def observe_cancelled(self, configuration, server, latency_ms):
        """Learn nothing."""

    def observe_overload(self, configuration, service, server):
        """Learn nothing."""

    def typical_ms(self, configuration, server):
        """Return any figure: baselines do not hedge."""
        return 1.0

    def forget(self, known):
        """Keep nothing."""


class RandomChoice(_Choice):
    """Any replica that may get work."""

    def __init__(self, product, seed):
        super().__init__(product)
        self._random = random.Random(seed)

    def choose(self, configuration, service, servers, tried=()):
        """Return a random server."""
        found = self.eligible_servers(configuration, servers, tried)
        return self._random.choice(found) if found else None


class OracleChoice(_Choice):
    """The replica that will answer first, by knowledge of every server's state.

    :param models: :class:`~bench.model.ServerModel` by id.
    :param away_ms: function of a server that returns the one-way delay.
    """

    def __init__(self, product, models, clock, away_ms):
        super().__init__(product)
        self._models = models
        self._clock = clock
        self._away_ms = away_ms

    def choose(self, configuration, service, servers, tried=()):
        """Return the server with the smallest expected time."""
        now_ms = self._clock.now_ms()
        found = self.eligible_servers(configuration, servers, tried)
        return min(found, key=lambda server: self._cost(server, now_ms), default=None)

    def _cost(self, server, now_ms):
        return self._models[server.id].expected_ms(now_ms) + 2 * self._away_ms(server)


def install(strategy, node, models, away_ms, seed):
    """Let ``node`` choose replicas by ``strategy``: product, random or oracle."""
    if strategy == "random":
        node.tier.replicas = RandomChoice(node.tier.replicas, seed)
    if strategy == "oracle":
        node.tier.replicas = OracleChoice(node.tier.replicas, models, node.clock, away_ms)
