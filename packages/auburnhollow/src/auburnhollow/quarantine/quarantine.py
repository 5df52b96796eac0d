"""Detects requests that crash backend servers and refuses them for a while."""

import asyncio
import hashlib
import logging
import math
from collections import Counter
from contextlib import asynccontextmanager, contextmanager

import orjson

from ..decisions import log_decision
from ..exceptions import Quarantined, Ran
from ..retry import jittered_ms
from .evidence import (
    CORRELATION_WINDOW_MS,
    SILENCE,
    SUSPECT_MS,
    EndedServers,
    Ending,
    Evidence,
    abbreviate,
    restored,
)
from .running import RunningCalls

log = logging.getLogger("quarantine")

# Duration of the first quarantine; each further one is twice as long, up to the maximum.
QUARANTINE_MS = 120_000.0
# More of them exceed the longest quarantine anyway.
MAX_DOUBLINGS = 30
MAX_QUARANTINE_MS = 3_600_000.0
# The same for a request that servers of other shards have answered each time.
DOUBTFUL_QUARANTINE_MS = 10_000.0
# Retry interval after a quarantine on nodes that may not run the request first.
PROBE_RETRY_MS = 5_000.0
MAX_FINGERPRINTS = 10_000


def fingerprint_of(target, body):
    """Return a short hash of a request, the same in every process.

    :param target: what the request is for: a service or a path.
    """
    data = orjson.dumps([target, body], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=12).hexdigest()


class Suspect:
    """What is known about a request under which servers have ended.

    ``canary`` is the lock held by the one call of the request that may run, ``is_in_trial`` whether
    the request is on trial. ``is_undecided`` is set while endings may turn out to have another
    cause, ``is_explained`` once another cause has turned out to be likely, ``has_failed_trial`` if
    a server ended in a trial here, ``is_witnessed`` if one of them was detected by this node.
    """

    __slots__ = (
        "canary",
        "evidence",
        "has_failed_trial",
        "is_explained",
        "is_in_trial",
        "is_undecided",
        "is_witnessed",
        "quarantine_count",
        "quarantined_until_ms",
    )

    def __init__(self, ended):
        self.canary = asyncio.Lock()
        self.evidence = Evidence(ended)
        self.has_failed_trial = False
        self.is_explained = False
        self.is_in_trial = False
        self.is_undecided = False
        self.is_witnessed = False
        self.quarantine_count = 0
        self.quarantined_until_ms = None


class Quarantine:
    """Refuses requests that crash backend servers.

    A request is refused for ``QUARANTINE_MS``, twice as long each further time, as soon as the
    :class:`~auburnhollow.quarantine.evidence.Evidence` against it is convincing. With less evidence
    it is a suspect. After a quarantine only one node, the first by rendezvous hashing of the
    request, lets it run again, on one server: an answer clears the request, and the end of that
    server starts the next quarantine.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    :param random: a :class:`random.Random`.
    :param may_probe: function of a fingerprint that tells whether this node may run the request
        again after its quarantine.

    The callbacks report to peers: ``on_ending`` gets each
    :class:`~auburnhollow.quarantine.evidence.Ending` that this node detects, ``on_answered`` the
    fingerprint of a request that was answered while servers ended under it, ``on_cleared``
    that of a request that is no longer a suspect, and ``on_evidence`` that of a request whose
    evidence has changed, if this node detected part of it.
    """

    __slots__ = (
        "_clock",
        "_cleared_ms",
        "_confirming",
        "_ended",
        "_events",
        "_last_answer_ms",
        "_may_probe",
        "_random",
        "_running",
        "_suspects",
        "on_answered",
        "on_cleared",
        "on_ending",
        "on_evidence",
    )

    def __init__(self, clock, events, random, may_probe=None):
        self._clock = clock
        self._events = events
        self._random = random
        self._may_probe = may_probe or (lambda fingerprint: True)
        self._suspects = {}
        self._cleared_ms = {}
        self._confirming = Counter()
        self._ended = EndedServers()
        self._running = RunningCalls(clock)
        self._last_answer_ms = {}
        self.on_answered = None
        self.on_cleared = None
        self.on_ending = None
        self.on_evidence = None

    @property
    def refused(self):
        """Fingerprints in quarantine now, with the remaining milliseconds."""
        now_ms = self._clock.now_ms()
        found = {}
        for fingerprint, suspect in self._suspects.items():
            if self._is_refused(suspect):
                found[fingerprint] = round(suspect.quarantined_until_ms - now_ms)
        return found

    def check(self, fingerprint, ran=Ran.NO):
        """Raise :class:`Quarantined` if the request is in quarantine.

        :param ran: the :class:`Ran` value for the error.
        """
        if not self.is_suspect(fingerprint):
            return
        suspect = self._suspects[fingerprint]
        self._lift_if_doubtful(fingerprint, suspect)
        self._shorten_if_explained(fingerprint, suspect)
        if suspect.quarantined_until_ms is None:
            return
        remaining_ms = suspect.quarantined_until_ms - self._clock.now_ms()
        may_probe = suspect.is_explained or self._may_probe(fingerprint)
        if remaining_ms <= 0 and (suspect.is_in_trial or not may_probe):
            remaining_ms = PROBE_RETRY_MS
        if remaining_ms > 0:
            raise self.refusal(fingerprint, ran, remaining_ms)

    def refusal(self, fingerprint, ran=Ran.NO, retry_ms=PROBE_RETRY_MS):
        """Return the :class:`Quarantined` error for a request.

        :param retry_ms: when the caller should retry, in milliseconds, before jitter.
        """
        suspect = self._suspects.get(fingerprint)
        count = 0 if suspect is None else len(suspect.evidence)
        return Quarantined(
            f"{count} backend servers died under requests like this one ({fingerprint})",
            ran=ran,
            retry_after_ms=jittered_ms(self._random, retry_ms),
        )

    def is_refused(self, fingerprint):
        """Return whether the request is in quarantine now."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and self._is_refused(suspect)

    def is_suspect(self, fingerprint):
        """Return whether servers have ended under the request, which has not been cleared."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        now_ms = self._clock.now_ms()
        if suspect.quarantined_until_ms is None:
            suspect.evidence.drop_until(now_ms - SUSPECT_MS)
            is_over = len(suspect.evidence) == 0
        else:
            is_over = now_ms > suspect.quarantined_until_ms + MAX_QUARANTINE_MS
        if is_over:
            del self._suspects[fingerprint]
        return not is_over

    def needs_trial(self, fingerprint):
        """Return whether the request has been in quarantine and was not cleared since."""
        suspect = self._suspects.get(fingerprint)
        return suspect is not None and suspect.quarantined_until_ms is not None

    @contextmanager
    def trial(self, fingerprint):
        """Run the block as the trial of a request; :meth:`check` refuses it meanwhile.

        The block gets the names of the shards in which servers have ended, and calls :meth:`clear`
        once a server has answered.
        """
        suspect = self._suspects[fingerprint]
        suspect.is_in_trial = True
        known = len(suspect.evidence)
        log_decision(
            log, "trial after a quarantine", fingerprint=fingerprint, endings=len(suspect.evidence)
        )
        try:
            yield suspect.evidence.shards
        finally:
            suspect.is_in_trial = False
            if not self._is_refused(suspect) and len(suspect.evidence) > known:
                # Whatever ended beside the first ones, this one was the request's own.
                suspect.has_failed_trial = True
                self._start_quarantine(fingerprint, suspect)
            if not self._is_refused(suspect):
                # Neither an answer nor an ending: the next trial is due later.
                pause_ms = PROBE_RETRY_MS if suspect.is_explained else DOUBTFUL_QUARANTINE_MS
                suspect.quarantined_until_ms = self._clock.now_ms() + pause_ms

    @asynccontextmanager
    async def canary(self, fingerprint):
        """Run the block while no other call of the same suspect runs.

        The block gets whether the request is still a suspect once it starts.

        :raises Quarantined: when the request was quarantined while the block waited.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            yield False
            return
        async with suspect.canary:
            self.check(fingerprint, Ran.UNKNOWN)
            yield self.is_suspect(fingerprint)

    def record_start(self, server, fingerprint):
        """Record that a call of the request to the server has started."""
        self._running.start(server, fingerprint)

    def record_end(self, server, fingerprint):
        """Record that a call of the request to the server has ended."""
        self._running.end(server, fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.is_undecided or fingerprint in self._running:
            return
        suspect.is_undecided = False
        self._reconsider(fingerprint, suspect)

    def record_abandoned(self, server, fingerprint):
        """Record that a call of the request is given up while the server may run it."""
        self._running.abandon(server, fingerprint)

    @contextmanager
    def confirming(self, fingerprint):
        """Run the block while it is found out whether a server died under the request."""
        self._confirming[fingerprint] += 1
        try:
            yield
        finally:
            self._confirming[fingerprint] -= 1
            if not self._confirming[fingerprint]:
                del self._confirming[fingerprint]

    def is_in_doubt(self, fingerprint):
        """Return whether the request is a suspect, or may become one any moment."""
        return fingerprint in self._confirming or self.is_suspect(fingerprint)

    def mark_lost(self, server, fingerprint):
        """Remember what runs on a server whose death under the request is yet to be confirmed."""
        self._running.at_death(server, fingerprint)

    def record_death(
        self, server, shard, fingerprint, as_canary=False, incarnation=0, is_silent=False
    ):
        """Record that a server died while it ran the request for this node.

        :param as_canary: whether this node ran the request alone as a suspect.
        :param incarnation: a value that differs after a restart of the server.
        :param is_silent: whether its end was concluded from its silence.
        """
        others = self._running.at_death(server, fingerprint) - {fingerprint}
        causes = set() if as_canary else set(others)
        if is_silent:
            causes.add(SILENCE)
        if self._is_explained_by(others, fingerprint):
            return
        ending = Ending(
            fingerprint=fingerprint,
            server=server,
            incarnation=incarnation,
            shard=shard,
            others=abbreviate(causes),
            is_answered=False,
        )
        is_new = self.add_ending(ending, self._clock.now_ms(), is_witnessed=True)
        suspect = self._suspects.get(fingerprint)
        log_decision(
            log,
            "server died under a request",
            fingerprint=fingerprint,
            server=server,
            shard=shard,
            other_requests=len(others),
            endings=0 if suspect is None else len(suspect.evidence),
            is_answered=ending.is_answered,
            is_silent=is_silent,
            is_refused=suspect is not None and self._is_refused(suspect),
        )
        if is_new and self.on_ending is not None:
            self.on_ending(ending)
        self._blame_abandoned(ending, others)

    def _blame_abandoned(self, ending, others):
        """Add the end of a server to the requests whose calls to it this node has given up.

        :param others: fingerprints of the requests that may have run on the server.
        """
        for fingerprint in self._running.abandoned(ending.server) - {ending.fingerprint}:
            causes = {*others, ending.fingerprint} - {fingerprint}
            if self._is_explained_by(causes, fingerprint):
                continue
            values = ending.to_map()
            values["fingerprint"] = fingerprint
            values["is_answered"] = False
            values["others"] = abbreviate(causes)
            found = Ending(**values)
            if not self.add_ending(found, self._clock.now_ms(), is_witnessed=True):
                continue
            log_decision(
                log,
                "server died after a call was given up",
                fingerprint=fingerprint,
                server=ending.server,
                shard=ending.shard,
                endings=len(self._suspects[fingerprint].evidence),
            )
            if self.on_ending is not None:
                self.on_ending(found)

    def add_peer_ending(self, ending, at_ms):
        """Add an :class:`Ending` that a peer detected, also to requests that were given up here.

        :param at_ms: when the server ended, on this node's clock.
        """
        self.add_ending(ending, at_ms)
        self._blame_abandoned(ending, set(ending.others))

    def saved(self, fingerprint):
        """Return the evidence against a request as lists for :meth:`restore`.

        :returns: ``None`` when there is none, or when all of it points at a common cause.
        """
        if not self.is_suspect(fingerprint):
            return None
        suspect = self._suspects[fingerprint]
        self._lift_if_doubtful(fingerprint, suspect)
        if suspect.evidence.is_widespread and not self.needs_trial(fingerprint):
            return None
        return suspect.evidence.saved()

    def restore(self, fingerprint, entries):
        """Add the evidence against a request that a node has saved.

        Known endings are recognised by server and incarnation alone, since their times are those
        of reading.

        :raises ValueError: when ``entries`` are something else.
        """
        now_ms = self._clock.now_ms()
        cleared_ms = self._cleared_ms.get(fingerprint, -math.inf)
        if now_ms - cleared_ms < SUSPECT_MS:
            return
        suspect = self._suspects.get(fingerprint)
        new = []
        for ending, at_ms in restored(entries, now_ms):
            if suspect is None or not suspect.evidence.merge(ending):
                new.append((ending, at_ms))
        for ending, at_ms in new:
            self.add_ending(ending, at_ms)
        if suspect is not None:
            self._lift_if_doubtful(fingerprint, suspect)

    def add_ending(self, ending, at_ms, is_witnessed=False):
        """Add an :class:`Ending` that this node or a peer detected; return whether it was new.

        :param at_ms: when the server ended, on this node's clock.
        :param is_witnessed: whether this node detected it.
        """
        self._ended.drop_until(self._clock.now_ms() - SUSPECT_MS)
        self._ended.add(ending, at_ms)
        if at_ms <= self._cleared_ms.get(ending.fingerprint, -math.inf):
            return False
        suspect = self._suspects.get(ending.fingerprint)
        if suspect is None or not self.is_suspect(ending.fingerprint):
            _evict_oldest(self._suspects)
            suspect = Suspect(self._ended)
            self._suspects[ending.fingerprint] = suspect
        suspect.is_witnessed = suspect.is_witnessed or is_witnessed
        answered_ms = self._last_answer_ms.get(ending.fingerprint, -math.inf)
        if abs(at_ms - answered_ms) <= CORRELATION_WINDOW_MS:
            ending.is_answered = True
        if not suspect.evidence.add(ending, at_ms):
            return False
        suspect.is_undecided = bool(ending.others) and ending.fingerprint in self._running
        self._reconsider(ending.fingerprint, suspect)
        if is_witnessed:
            self._report_evidence(ending.fingerprint, suspect)
        return True

    def record_answer(self, fingerprint, shard, as_canary=False):
        """Record that a server of ``shard`` answered the request.

        :param as_canary: whether this node ran the request alone as a suspect.
        """
        if self._mark_answered(fingerprint, self._clock.now_ms()) and self.on_answered is not None:
            self.on_answered(fingerprint)
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.evidence.add_answer(shard)
        is_over = suspect.quarantined_until_ms is not None and not self._is_refused(suspect)
        is_trial = (as_canary or is_over) and shard in suspect.evidence.shards
        if is_trial or suspect.evidence.is_refuted():
            self.clear(fingerprint)

    def clear(self, fingerprint):
        """Drop the suspicion of a request, which servers have answered."""
        self.on_peer_cleared(fingerprint, self._clock.now_ms())
        self._events.record("suspect-cleared", fingerprint=fingerprint)
        if self.on_cleared is not None:
            self.on_cleared(fingerprint)

    def on_peer_answered(self, fingerprint, at_ms):
        """Record that a peer got an answer to the request while servers ended under it."""
        self._mark_answered(fingerprint, at_ms)

    def on_peer_cleared(self, fingerprint, at_ms):
        """Drop the endings up to ``at_ms``, when a node has cleared the request."""
        _evict_oldest(self._cleared_ms)
        self._cleared_ms[fingerprint] = at_ms
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        suspect.evidence.drop_until(at_ms)
        if len(suspect.evidence) == 0:
            del self._suspects[fingerprint]
            self._report_evidence(fingerprint, suspect)

    def _mark_answered(self, fingerprint, at_ms):
        """Record the time of an answer; return whether it is the first one beside endings."""
        self._last_answer_ms.pop(fingerprint, None)
        _evict_oldest(self._last_answer_ms)
        self._last_answer_ms[fingerprint] = at_ms
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.evidence.mark_answered(at_ms):
            return False
        self._lift_if_doubtful(fingerprint, suspect)
        self._report_evidence(fingerprint, suspect)
        return True

    def _is_refused(self, suspect):
        until_ms = suspect.quarantined_until_ms
        return until_ms is not None and self._clock.now_ms() < until_ms

    def _is_explained_by(self, others, fingerprint):
        """Return whether one of ``others`` is in quarantine and has more endings than a request."""
        if self.needs_trial(fingerprint):
            return False
        suspect = self._suspects.get(fingerprint)
        count = 0 if suspect is None else len(suspect.evidence)
        return any(
            self.needs_trial(other) and len(self._suspects[other].evidence) > count
            for other in others
        )

    def _reconsider(self, fingerprint, suspect):
        """Start a quarantine if the evidence is convincing."""
        if self._is_refused(suspect):
            return
        if suspect.evidence.is_convincing(is_running=suspect.is_undecided):
            self._start_quarantine(fingerprint, suspect)

    def _lift_if_doubtful(self, fingerprint, suspect):
        """Lift a quarantine if later answers or endings have made the evidence unconvincing.

        One server has to show it first, in a trial on any node: the reports that made it so may be
        incomplete, and all shards would lose one more server.
        """
        if suspect.is_explained or suspect.has_failed_trial or not self._is_refused(suspect):
            return
        if suspect.evidence.is_convincing():
            return
        if not suspect.evidence.is_settled(self._clock.now_ms()):
            return
        self._make_trial_due(suspect)
        log.info("quarantine: request %s lifted, the deaths have another cause", fingerprint)
        self._events.record("quarantine-lifted", fingerprint=fingerprint)
        self._report_evidence(fingerprint, suspect)

    def _shorten_if_explained(self, fingerprint, suspect):
        """Make the trial due, on any node, if another request explains all of the endings.

        Peers report the two requests one by one, whichever nodes sent them. A second request that
        crashes its servers looks the same, so it gets a trial and is not cleared.
        """
        if suspect.is_explained or not self._is_refused(suspect):
            return
        explaining = self._explaining(fingerprint, suspect)
        if explaining is None:
            return
        self._make_trial_due(suspect)
        log_decision(
            log, "trial due, another request explains it", fingerprint=fingerprint, cause=explaining
        )
        self._events.record("quarantine-shortened", fingerprint=fingerprint, cause=explaining)

    def _make_trial_due(self, suspect):
        """Cut a sentence short: its trial is due now, on any node."""
        suspect.is_explained = True
        suspect.quarantined_until_ms = self._clock.now_ms()
        suspect.quarantine_count = max(0, suspect.quarantine_count - 1)

    def _explaining(self, fingerprint, suspect):
        """Return a request in quarantine under which all these servers ended too, or ``None``."""
        for other, cause in self._suspects.items():
            if other == fingerprint or cause.quarantined_until_ms is None or cause.is_explained:
                continue
            if cause.evidence.explains(suspect.evidence):
                return other
        return None

    def _start_quarantine(self, fingerprint, suspect):
        suspect.is_explained = False
        suspect.is_undecided = False
        suspect.quarantine_count += 1
        first_ms = DOUBTFUL_QUARANTINE_MS if suspect.evidence.is_doubtful else QUARANTINE_MS
        doublings = min(suspect.quarantine_count - 1, MAX_DOUBLINGS)
        duration_ms = min(MAX_QUARANTINE_MS, first_ms * 2**doublings)
        suspect.quarantined_until_ms = suspect.evidence.last_ms + duration_ms
        log.error(
            "quarantine: request %s killed %d servers, refused for %d ms",
            fingerprint,
            len(suspect.evidence),
            duration_ms,
        )
        self._events.record(
            "quarantined",
            fingerprint=fingerprint,
            servers=suspect.evidence.servers,
            duration_ms=duration_ms,
        )
        self._report_evidence(fingerprint, suspect)

    def _report_evidence(self, fingerprint, suspect):
        if suspect.is_witnessed and self.on_evidence is not None:
            self.on_evidence(fingerprint)


def _evict_oldest(entries):
    while len(entries) >= MAX_FINGERPRINTS:
        del entries[next(iter(entries))]
