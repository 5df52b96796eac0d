"""Splits the requests of a route among its branches."""


class Split:
    """Chooses branches in proportion to their weights, by smooth weighted round-robin.

    Over any sequence of requests, each branch deviates from its weight by less than one request.

    :param branches: tuple of :class:`~auburnhollow.routes.Branch`.
    :param random: a :class:`random.Random`; nodes start at different points of the cycle.

    >>> split = Split((Branch(service="a", weight=3), Branch(service="b", weight=1)), random)
    >>> split.next()
    'a'
    """

    __slots__ = ("_branches", "_credits", "_total")

    def __init__(self, branches, random):
        self._branches = branches
        self._total = sum(branch.weight for branch in branches)
        self._credits = [0.0] * len(branches)
        for _ in range(random.randrange(64) if len(branches) > 1 else 0):
            self.next()

    def next(self):
        """Return the service of the next request."""
        if len(self._branches) == 1:
            return self._branches[0].service
        best = 0
        for index, branch in enumerate(self._branches):
            self._credits[index] += branch.weight
            if self._credits[index] > self._credits[best]:
                best = index
        self._credits[best] -= self._total
        return self._branches[best].service
