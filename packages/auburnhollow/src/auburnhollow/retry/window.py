"""A bound on repeats as a share of the requests of the last seconds."""

from collections import deque

# Keeps the sum over all nodes under the bound when requests are counted a moment apart.
MARGIN = 0.95
SLACK_MARGIN = 0.75
WINDOWS_TO_WAIT = 1.1
# Where few nodes call most servers, they have a part of the slack to themselves. The two sides of a
# partition may each have such nodes: twice that part and the part of all must keep to the whole.
ASKERS_PART = 0.35
EACH_PART = 0.3
# Fewer nodes than this are not believed: the others may not be known yet.
LEAST_NODES = 7
STEPS = 20


class Slack:
    """Share out the repeats that all nodes together may send whatever the requests.

    The share is nothing until the window before the start has passed, since the node that ran here
    before may have used its part, and while no other node is known.

    :param count_nodes: function that returns how many nodes are known, this one included.
    :param total: repeats in a window, for each service, of all nodes together.
    :param askers: tells by ``estimate_aggregators()`` how many nodes call most servers, and by
        ``is_aggregator()`` whether this one does; they share a part among themselves. ``None`` when
        all do.

    >>> Slack(clock, count_nodes, total=54, window_ms=10_000).share()
    0.0
    """

    __slots__ = (
        "_askers",
        "_clock",
        "_count_nodes",
        "_from_ms",
        "_most_askers",
        "_nodes",
        "_total",
    )

    def __init__(self, clock, count_nodes, total, window_ms, askers=None):
        self._clock = clock
        self._count_nodes = count_nodes
        self._askers = askers
        self._total = total
        self._nodes = 0
        self._most_askers = 0
        self._from_ms = clock.now_ms() + window_ms * WINDOWS_TO_WAIT

    def share(self):
        """Return how many repeats of a window are this node's, beyond those of the ratio."""
        if self._clock.now_ms() < self._from_ms:
            return 0.0
        known = self._count_nodes()
        if known < 2:
            return 0.0
        # Nodes that are not seen any more may still send: a partition must not raise the share.
        self._nodes = max(self._nodes, known)
        nodes = max(LEAST_NODES, self._nodes)
        if self._askers is None:
            return self._total * SLACK_MARGIN / nodes
        self._most_askers = max(self._most_askers, self._askers.estimate_aggregators())
        if self._most_askers >= nodes:
            return self._total * SLACK_MARGIN / nodes
        share = self._total * EACH_PART / nodes
        if self._askers.is_aggregator():
            share += self._total * ASKERS_PART / self._most_askers
        return share


class WindowBudget:
    """Allows repeats up to a share of the requests that this node has sent in a sliding window.

    Each node keeps to the share of its own requests, so that the sum over all nodes keeps to the
    share of all requests without a word between them. A node that has just started has sent
    nothing and may repeat nothing.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param ratio: repeats per request, 0 to 1.
    :param window_ms: length of the window, in milliseconds.
    :param slack: :class:`Slack`, or ``None`` for no repeats beyond the ratio.

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
        "_steps",
        "_step_ms",
    )

    def __init__(self, clock, ratio, window_ms, slack=None):
        self._clock = clock
        self._ratio = ratio * MARGIN
        self._step_ms = window_ms / STEPS
        self._steps = deque()
        self._requests = 0
        self._repeats = 0
        self._spent = 0
        self._refused = 0
        self._slack = slack

    @property
    def spent(self):
        """How many repeats were allowed since the start."""
        return self._spent

    @property
    def refused(self):
        """How many repeats were not allowed since the start."""
        return self._refused

    @property
    def left(self):
        """How many repeats may be made now."""
        self._turn()
        return max(0, int(self._allowed() - self._repeats))

    def count_request(self):
        """Count a request that is sent for the first time."""
        self._turn()[1] += 1
        self._requests += 1

    def try_spend(self):
        """Return whether one repeat may be sent, and count it."""
        step = self._turn()
        if self._repeats + 1 > self._allowed():
            self._refused += 1
            return False
        step[2] += 1
        self._repeats += 1
        self._spent += 1
        return True

    def _allowed(self):
        slack = 0.0 if self._slack is None else self._slack.share()
        return (self._requests - self._leaving()) * self._ratio + slack

    def _leaving(self):
        """Return the requests of the step that the window has begun to leave.

        Its repeats still count: no window may see repeats by requests that it does not hold.
        """
        number, requests, _ = self._steps[0]
        return requests if number == self._steps[-1][0] - STEPS else 0

    def _turn(self):
        """Drop what has left the window and return the present step."""
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
