"""How much of its usual work one server gets while its pace is being found.

The load that this answers: a server that has just started or recovered and that looks idle to all
nodes at once, so that each of them sends it the next request; and the opposite, a server that is
sound again and that nobody asks, since what nodes remember of it is bad.
"""

import math

FULL_SHARE = 1.0
MIN_SHARE = 1.0 / 16
# Where nothing is known of the other servers' load.
UNKNOWN_START_SHARE = 0.25
# The server begins with so much work that it fills this part of its slots, if it were as quick as
# the others.
START_LOAD = 0.125
GROWTH = 2.0
# An answer as quick as this, against the usual one, is a good one: a cold server that does its
# work is up to twice as slow.
GOOD_RATIO = 2.0
# An answer this slow, or a queue longer than its slots, says that the server has too much.
BAD_RATIO = 3.0
BAD_LOAD = 1.5
# Good answers to one node that justify more. One: a node of a large fleet sees an answer of the
# server once in seconds, and a chance answer costs a step that the next bad one takes back.
ANSWERS_TO_GROW = 1
# Without any sign for so long, the share grows too: a server that is asked rarely can't be flooded.
QUIET_MS = 1_000.0
# After this time without any sign even the smallest share has grown to the full one.
FULL_AFTER_MS = QUIET_MS * math.ceil(-math.log(MIN_SHARE, GROWTH))


def start_share(pressure):
    """Return the share to begin with, up to 1.

    :param pressure: mean load of the service's other servers in parts of their slots, ``None`` if
        it is not known.
    """
    if pressure is None:
        return UNKNOWN_START_SHARE
    if pressure <= START_LOAD:
        return FULL_SHARE
    return max(MIN_SHARE, START_LOAD / pressure)


class Finding:
    """The search for the pace of one incarnation of a server.

    ``reason`` says why it began, ``began_ms`` when. ``version`` counts the changes, of all nodes
    together.

    :param share: the share of its usual requests that it gets at first, 0 to 1.
    :param now_ms: when that holds from, in milliseconds.

    >>> finding = Finding("started", share=0.25, now_ms=clock.now_ms())
    >>> finding.observe(began_ms, ratio=1.1, load=0.5, now_ms=clock.now_ms())
    False
    """

    __slots__ = ("_answers", "_changed_ms", "_share", "began_ms", "reason", "version")

    def __init__(self, reason, share, now_ms, version=0):
        self.reason = reason
        self.began_ms = now_ms
        self.version = version
        self._share = share
        self._changed_ms = now_ms
        self._answers = 0

    def share(self, now_ms):
        """Return the share of its usual requests that the server may get, 0 to 1."""
        quiet_ms = now_ms - self._changed_ms
        if quiet_ms < QUIET_MS:
            return self._share
        if quiet_ms >= FULL_AFTER_MS:
            return FULL_SHARE
        # Nodes that hear nothing all come to the same share without messages.
        return min(FULL_SHARE, self._share * GROWTH ** int(quiet_ms / QUIET_MS))

    def is_over(self, now_ms):
        """Return whether the server gets its full share."""
        return self.share(now_ms) >= FULL_SHARE

    def observe(self, began_ms, ratio, load, now_ms):
        """Learn from an answer; return whether the share has changed.

        Answers to calls from before the last change say nothing of the share since.

        :param began_ms: when the call began.
        :param ratio: its work time divided by the usual one.
        :param load: requests that the server has, in parts of its slots, ``None`` if unknown.
        """
        if began_ms < self._changed_ms:
            return False
        if ratio > BAD_RATIO or (load is not None and load > BAD_LOAD):
            return self._fall(now_ms)
        if ratio > GOOD_RATIO:
            self._answers = 0
            return False
        self._answers += 1
        if self._answers < ANSWERS_TO_GROW:
            return False
        self._set(min(FULL_SHARE, self.share(now_ms) * GROWTH), now_ms)
        return True

    def stumble(self, began_ms, now_ms):
        """Learn that a call failed or was refused; return whether the share has changed."""
        if began_ms < self._changed_ms:
            return False
        return self._fall(now_ms)

    def apply(self, share, version, now_ms):
        """Take over the share that a peer has found."""
        self.version = version
        self._set(share, now_ms)

    def _fall(self, now_ms):
        before = self.share(now_ms)
        share = max(MIN_SHARE, before / GROWTH)
        if share == before:
            # The time without a good sign begins anew.
            self._changed_ms = now_ms
            return False
        self._set(share, now_ms)
        return True

    def _set(self, share, now_ms):
        self._share = share
        self._changed_ms = now_ms
        self._answers = 0
