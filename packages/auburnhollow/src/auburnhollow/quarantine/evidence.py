"""Evidence that a request crashes the backend servers that run it."""

import bisect
import math
from collections import Counter

from ..records import Record

# How many servers a request may crash before it counts as the cause.
ENDINGS_LIMIT = 3
# Fewer are enough if the servers are of one shard, or ran nothing else.
CLEAR_ENDINGS_LIMIT = 2
# A request with this many answers of a shard for each ending there does not crash its servers.
ANSWERS_PER_ENDING = 3
# Endings and answers this close together are related, and so are reports of one server's end.
CORRELATION_WINDOW_MS = 1_000.0
# Servers that a common cause ends are seen to end within this time, attempts of a caller are not.
BURST_MS = 250.0
# The end of a server is known before all nodes have said what they had sent to it.
SETTLE_MS = 500.0
# This many endings for each other server that ended make it likely that the request ran there too.
FEW_FACTOR = 4
# How long an ending counts.
SUSPECT_MS = 600_000.0
# Bounds the size of an entry. The lowest fingerprints are kept, so that the requests that several
# servers have in common are found.
MAX_OTHERS = 4
OTHER_DIGITS = 8
# Stands among the ``others`` of a server whose end was concluded from its silence, because a host
# may have gone away for any reason. It sorts before all fingerprints.
SILENCE = "-silence"


class Ending(Record):
    """The end of a server of ``shard`` while it ran a request.

    In the relay, ``shard`` is the name of the server's service. ``incarnation`` tells two lives of
    a server with the same id apart. ``others`` are abbreviated fingerprints of other requests that
    ran on the server, and ``SILENCE``. ``is_answered`` is set if another server had just answered
    the request.
    """

    __slots__ = ("fingerprint", "server", "incarnation", "shard", "others", "is_answered")


class EndedServers:
    """The times at which servers ended under any request, known to this node or its peers."""

    __slots__ = ("_last_ms", "_times")

    def __init__(self):
        self._last_ms = {}
        self._times = []

    def add(self, ending, at_ms):
        """Add the server of an :class:`Ending`, once for each time that it ended."""
        key = (ending.server, ending.incarnation)
        if at_ms - self._last_ms.get(key, -math.inf) <= CORRELATION_WINDOW_MS:
            return
        self._last_ms[key] = at_ms
        bisect.insort(self._times, (at_ms, *key))

    def around(self, at_ms):
        """Yield pairs of the id and incarnation of a server that ended at about a time, and when.

        :param at_ms: the time.
        """
        first = bisect.bisect_left(self._times, (at_ms - BURST_MS,))
        for ended_ms, server, incarnation in self._times[first:]:
            if ended_ms > at_ms + BURST_MS:
                return
            yield (server, incarnation), ended_ms

    def drop_until(self, until_ms):
        """Forget the servers that ended up to a time, in milliseconds."""
        del self._times[: bisect.bisect_right(self._times, until_ms, key=_time_of)]
        if len(self._last_ms) > 2 * len(self._times):
            self._last_ms = {key: at for key, at in self._last_ms.items() if at > until_ms}


class Burst:
    """Endings that came about together.

    :param began_ms: time of the first one.
    :param ended: :class:`EndedServers`.
    :param known: the id and incarnation of each server that ended under the request, in any burst.
    """

    __slots__ = ("_ended", "_known", "began_ms", "endings", "is_answered")

    def __init__(self, began_ms, ended, known):
        self._ended = ended
        self._known = known
        self.began_ms = began_ms
        self.endings = []
        self.is_answered = False

    def unexplained_ms(self):
        """Return when servers ended at the same time that did not run the request."""
        return [at for key, at in self._ended.around(self.began_ms) if key not in self._known]

    def is_wider(self):
        """Return whether servers ended at the same time that did not run the request."""
        return bool(self.unexplained_ms())

    def count(self, shard=None):
        """Return how many endings count, of all shards or of one.

        Servers that end together may have a common cause such as a failing rack. They count as one
        if others ended that did not run the request, if all of them ran another request as well,
        or if servers of other shards answered.
        """
        endings = [ending for ending in self.endings if shard in (None, ending.shard)]
        is_explained = self._is_shared() or self.is_wider() or (shard is None and self.is_answered)
        return min(1, len(endings)) if is_explained else len(endings)

    def count_alone(self):
        """Return how many servers ran nothing else, 0 if there is another explanation."""
        if self.is_answered or self.is_wider():
            return 0
        return sum(1 for ending in self.endings if not ending.others)

    def _is_shared(self):
        """Return whether another request ran on all of these servers."""
        return bool(set.intersection(*[set(ending.others) for ending in self.endings]))


class Evidence:
    """The endings of servers under one request, and its answers since the first of them.

    Every ending counts, whatever else ran on the server, and several reports of one ending count
    once. Single answers do not erase endings; ``_answers`` counts them by shard.

    ``_known`` maps a server's id and incarnation to its last ending and the time of it.

    :param ended: :class:`EndedServers`.
    """

    __slots__ = ("_answers", "_bursts", "_ended", "_known")

    def __init__(self, ended):
        self._answers = Counter()
        self._bursts = []
        self._ended = ended
        self._known = {}

    def __len__(self):
        return sum(len(burst.endings) for burst in self._bursts)

    @property
    def servers(self):
        """Ids of the servers that ended."""
        return sorted({server for server, _incarnation in self._known})

    @property
    def shards(self):
        """Names of the shards in which a server ended."""
        return {ending.shard for burst in self._bursts for ending in burst.endings}

    @property
    def last_ms(self):
        """The time of the newest burst."""
        return max(burst.began_ms for burst in self._bursts)

    @property
    def is_doubtful(self):
        """Whether no shard lost several servers, and servers of other shards answered each time."""
        return not self._points_at_a_shard() and all(burst.is_answered for burst in self._bursts)

    @property
    def is_widespread(self):
        """Whether other servers ended as well each time, which points at a common cause."""
        return all(burst.is_wider() for burst in self._bursts)

    def is_settled(self, now_ms):
        """Return whether peers have had time to report what else ran on the servers that ended.

        Only the ends of a few other servers, beside many under the request, are waited for.
        """
        for burst in self._bursts:
            unexplained_ms = burst.unexplained_ms()
            is_few = len(unexplained_ms) * FEW_FACTOR <= len(burst.endings)
            if is_few and any(now_ms - at < SETTLE_MS for at in unexplained_ms):
                return False
        return True

    def explains(self, other):
        """Return whether every server that ended under another request ended under this one too.

        :param other: :class:`Evidence`.
        """
        for key, (_ending, at_ms) in other._known.items():
            _own, own_ms = self._known.get(key, (None, -math.inf))
            if abs(at_ms - own_ms) > CORRELATION_WINDOW_MS:
                return False
        return True

    def saved(self):
        """Return the endings with their age at the newest one, as lists for :func:`restored`."""
        last_ms = self.last_ms
        entries = []
        for burst in self._bursts:
            for ending in burst.endings:
                values = ending.to_map()
                values["is_answered"] = burst.is_answered
                entries.append([*values.values(), last_ms - burst.began_ms])
        return entries

    def add(self, ending, at_ms):
        """Add an :class:`Ending`; return whether it was new."""
        key = (ending.server, ending.incarnation)
        known, known_ms = self._known.get(key, (None, -math.inf))
        if at_ms - known_ms <= CORRELATION_WINDOW_MS:
            known.others = _lowest({*known.others, *ending.others})
            return False
        self._known[key] = (ending, at_ms)
        burst = self._burst_at(at_ms)
        burst.endings.append(ending)
        burst.is_answered = burst.is_answered or ending.is_answered
        return True

    def merge(self, ending):
        """Merge a later report of a known ending; return whether it is known."""
        key = (ending.server, ending.incarnation)
        if key not in self._known:
            return False
        known, at_ms = self._known[key]
        known.others = _lowest({*known.others, *ending.others})
        if ending.is_answered:
            self.mark_answered(at_ms)
        return True

    def add_answer(self, shard):
        """Count an answer of a shard."""
        self._answers[shard] += 1

    def mark_answered(self, at_ms):
        """Mark the endings at about ``at_ms`` as answered; return whether some were not yet."""
        is_first = False
        for burst in self._bursts:
            if burst.is_answered or abs(at_ms - burst.began_ms) > CORRELATION_WINDOW_MS:
                continue
            burst.is_answered = True
            is_first = True
        return is_first

    def drop_until(self, until_ms):
        """Forget the endings up to a time, in milliseconds."""
        kept = [burst for burst in self._bursts if burst.began_ms > until_ms]
        if len(kept) == len(self._bursts):
            return
        self._bursts = kept
        for key in [key for key, (_ending, at_ms) in self._known.items() if at_ms <= until_ms]:
            del self._known[key]

    def is_refuted(self):
        """Return whether each shard that lost servers has answered often enough since."""
        lost = Counter(ending.shard for burst in self._bursts for ending in burst.endings)
        return all(
            self._answers[shard] >= ANSWERS_PER_ENDING * count for shard, count in lost.items()
        )

    def is_convincing(self, is_running=False):
        """Return whether the request counts as the cause.

        :param is_running: whether other calls of the request have yet to end. Until then, servers
            that ended together beside other requests count as one.
        """
        if self.is_refuted():
            return False
        if sum(burst.count_alone() for burst in self._bursts) >= CLEAR_ENDINGS_LIMIT:
            return True
        if self._points_at_a_shard():
            return True
        if is_running:
            return len(self._bursts) >= ENDINGS_LIMIT
        return sum(burst.count() for burst in self._bursts) >= ENDINGS_LIMIT

    def _points_at_a_shard(self):
        for shard in self.shards:
            if sum(burst.count(shard) for burst in self._bursts) >= CLEAR_ENDINGS_LIMIT:
                return True
        return False

    def _burst_at(self, at_ms):
        for burst in self._bursts:
            if abs(at_ms - burst.began_ms) <= BURST_MS:
                return burst
        burst = Burst(at_ms, self._ended, self._known)
        self._bursts.append(burst)
        return burst


def restored(entries, now_ms):
    """Return pairs of an :class:`Ending` and its time, as if the newest one were just now.

    :param entries: what :meth:`Evidence.saved` has returned.
    :raises ValueError: when they are something else.
    """
    pairs = []
    for *values, age_ms in entries:
        pairs.append((Ending.from_list(values), now_ms - age_ms))
    return pairs


def abbreviate(fingerprints):
    """Return the ``others`` of an :class:`Ending` for the fingerprints of other requests."""
    return _lowest({fingerprint[:OTHER_DIGITS] for fingerprint in fingerprints})


def _time_of(entry):
    return entry[0]


def _lowest(names):
    return sorted(names)[:MAX_OTHERS]
