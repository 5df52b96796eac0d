"""Budgets for repeats, that is, retries and hedges, relative to requests in a sliding window."""

from collections import deque

# Keeps the sum over all nodes below the limit although nodes count requests at different times.
SAFETY_MARGIN = 0.95
SLACK_MARGIN = 0.75
STARTUP_WINDOWS = 1.1
# If few nodes, the aggregators, call most servers, they share a part of the slack among themselves.
# In a partition each side may have its own aggregators, so twice their part plus the common part
# must not exceed the total.
AGGREGATORS_SHARE = 0.35
COMMON_SHARE = 0.3
# A lower count of nodes is not trusted: other nodes may not be known yet.
MIN_NODES = 7
STEPS = 20


class Slack:
    """Computes this node's share of the repeats allowed regardless of the request rate.

    The share is 0 until a window has passed since the start, because a previous process of this
    node may have used its share, and while no other node is known.

    :param count_nodes: function that returns the number of known nodes, including this one.
    :param total: repeats per window and service of all nodes together.
    :param window_ms: length of the window, in milliseconds.
    :param aggregators: object whose ``estimate_aggregators()`` returns how many nodes call most
        servers and whose ``is_aggregator()`` tells whether this node is one of them; ``None`` if
        all nodes call servers alike.

    >>> Slack(clock, count_nodes, total=54, window_ms=10_000).share()
    0.0
    """

    __slots__ = (
        "_aggregators",
        "_clock",
        "_count_nodes",
        "_max_aggregators",
        "_max_nodes",
        "_starts_ms",
        "_total",
    )

    def __init__(self, clock, count_nodes, total, window_ms, aggregators=None):
        self._clock = clock
        self._count_nodes = count_nodes
        self._aggregators = aggregators
        self._total = total
        self._max_nodes = 0
        self._max_aggregators = 0
        self._starts_ms = clock.now_ms() + window_ms * STARTUP_WINDOWS

    def share(self):
        """Return how many repeats per window this node may send beyond the ratio."""
        if self._clock.now_ms() < self._starts_ms:
            return 0.0
        known = self._count_nodes()
        if known < 2:
            return 0.0
        # Nodes that are no longer seen may still send: a partition must not raise the share.
        self._max_nodes = max(self._max_nodes, known)
        nodes = max(MIN_NODES, self._max_nodes)
        if self._aggregators is None:
            return self._total * SLACK_MARGIN / nodes
        self._max_aggregators = max(self._max_aggregators, self._aggregators.estimate_aggregators())
        if self._max_aggregators >= nodes:
            return self._total * SLACK_MARGIN / nodes
        share = self._total * COMMON_SHARE / nodes
        if self._aggregators.is_aggregator():
            share += self._total * AGGREGATORS_SHARE / self._max_aggregators
        return share


class WindowBudget:
    """Limits repeats to a ratio of the requests that this node has sent in a sliding window.

    Each node keeps to the ratio for its own requests, so the sum over all nodes keeps to it without
    coordination. A node that has just started has sent no requests and may send no repeats.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param ratio: repeats per request, 0 to 1.
    :param window_ms: length of the window, in milliseconds.
    :param slack: :class:`Slack`, or ``None`` to allow no repeats beyond the ratio.

    >>> budget = WindowBudget(clock, ratio=0.2, window_ms=10_000)
    >>> budget.count_request()
    >>> budget.try_spend()
    False
    """

    __slots__ = (
        "_clock",
        "_ratio",
        "_refused",
        "_repeats",
        "_requests",
        "_slack",
        "_spent",
        "_step_ms",
        "_steps",
    )

    def __init__(self, clock, ratio, window_ms, slack=None):
        self._clock = clock
        self._ratio = ratio * SAFETY_MARGIN
        self._step_ms = window_ms / STEPS
        self._steps = deque()
        self._requests = 0
        self._repeats = 0
        self._spent = 0
        self._refused = 0
        self._slack = slack

    @property
    def spent(self):
        """Number of repeats allowed since the start."""
        return self._spent

    @property
    def refused(self):
        """Number of repeats refused since the start."""
        return self._refused

    @property
    def left(self):
        """Number of repeats that may be sent now."""
        self._current_step()
        return max(0, int(self._allowed() - self._repeats))

    def count_request(self):
        """Count a request that is sent for the first time."""
        self._current_step()[1] += 1
        self._requests += 1

    def try_spend(self):
        """Return whether one repeat may be sent; if so, count it."""
        step = self._current_step()
        if self._repeats + 1 > self._allowed():
            self._refused += 1
            return False
        step[2] += 1
        self._repeats += 1
        self._spent += 1
        return True

    def _allowed(self):
        slack = 0.0 if self._slack is None else self._slack.share()
        return (self._requests - self._expiring_requests()) * self._ratio + slack

    def _expiring_requests(self):
        """Return the requests of the oldest step if it is only partly inside the window.

        These requests earn no repeats any more, but the repeats of the step still count, so that no
        window has repeats earned by requests outside it.
        """
        number, requests, _ = self._steps[0]
        return requests if number == self._steps[-1][0] - STEPS else 0

    def _current_step(self):
        """Drop the steps that have left the window and return the current one."""
        number = int(self._clock.now_ms() / self._step_ms)
        steps = self._steps
        if steps and steps[-1][0] == number:
            return steps[-1]
        while steps and steps[0][0] < number - STEPS:
            _, requests, repeats = steps.popleft()
            self._requests -= requests
            self._repeats -= repeats
        step = [number, 0, 0]
        steps.append(step)
        return step
