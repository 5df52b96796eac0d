"""Detects requests that crash backend servers and refuses them for a while."""

import asyncio
import hashlib
import logging
from contextlib import asynccontextmanager

import orjson

from ..decisions import log_decision
from ..exceptions import Quarantined, Ran
from ..records import Record
from ..retry import jittered_ms

log = logging.getLogger("quarantine")

BLAME_LIMIT = 2.0
# How long a request stays a suspect after the last death.
SUSPECT_MS = 600_000.0
# Duration of the first quarantine; each further one is twice as long, up to the maximum.
QUARANTINE_MS = 120_000.0
MAX_QUARANTINE_MS = 3_600_000.0
# Retry interval after a quarantine on nodes that may not run the request first.
PROBE_RETRY_MS = 5_000.0
# Deaths and answers this close together count as simultaneous.
CORRELATION_WINDOW_MS = 1_000.0
MAX_FINGERPRINTS = 10_000


def fingerprint_of(service, body):
    """Return a short hash of a request, the same in every process."""
    data = orjson.dumps([service, body], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=12).hexdigest()


class Death(Record):
    """The death of a server of ``shard`` while it ran a request.

    In the relay, ``shard`` is the name of the server's service. ``blame`` is the share of the death
    attributed to the request, 0 to 1.
    """

    __slots__ = ("fingerprint", "server", "shard", "blame")


class Suspect:
    """The deaths and quarantines of one request.

    ``canary`` is the lock held by the one call of the request that may run.
    """

    __slots__ = ("canary", "deaths", "last_death_ms", "quarantine_count", "quarantined_until_ms")

    def __init__(self):
        self.canary = asyncio.Lock()
        self.deaths = {}
        self.last_death_ms = None
        self.quarantine_count = 0
        self.quarantined_until_ms = None

    @property
    def shards(self):
        """Names of the shards in which a server died."""
        return {death.shard for death in self.deaths.values()}

    def add(self, death, now_ms):
        """Add a death; of two deaths of the same server the one with more blame counts."""
        known = self.deaths.get(death.server)
        if known is None or known.blame < death.blame:
            self.deaths[death.server] = death
        self.last_death_ms = now_ms

    def blame(self, shard=None):
        """Return the total blame for all deaths, or for those in one shard."""
        total = 0.0
        for death in self.deaths.values():
            if shard is None or death.shard == shard:
                total += death.blame
        return total


class Quarantine:
    """Refuses requests that crash backend servers.

    When a server dies while it runs ``k`` different requests, each gets ``1/k`` of the blame. A
    request whose blame reaches ``BLAME_LIMIT`` is refused for ``QUARANTINE_MS``, twice as long each
    further time, unless another server answered it within ``CORRELATION_WINDOW_MS``: a request that
    crashes every server gets no answers, while a failing rack leaves other servers that answer.
    Below the limit the request is a suspect and runs on one server at a time, until a shard that
    lost a server answers it. A second death in the same shard starts the quarantine in spite of
    answers. After a quarantine only one node, the first by rendezvous hashing of the request, lets
    it run again, as a suspect.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    :param random: a :class:`random.Random`.
    :param may_probe: function of a fingerprint that tells whether this node may run the request
        again after its quarantine.

    The callbacks ``on_death`` and ``on_lifted`` report to peers: they get each :class:`Death` that
    this node detects and the fingerprint of each quarantine that it lifts.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_last_answer_ms",
        "_may_probe",
        "_random",
        "_recent_deaths",
        "_running_calls",
        "_suspects",
        "on_death",
        "on_lifted",
    )

    def __init__(self, clock, events, random, may_probe=None):
        self._clock = clock
        self._events = events
        self._random = random
        self._may_probe = may_probe or (lambda fingerprint: True)
        self._suspects = {}
        self._running_calls = {}
        self._last_answer_ms = {}
        self._recent_deaths = {}
        self.on_death = None
        self.on_lifted = None

    @property
    def refused(self):
        """Fingerprints in quarantine now, with the remaining milliseconds."""
        now_ms = self._clock.now_ms()
        found = {}
        for fingerprint, suspect in self._suspects.items():
            if suspect.quarantined_until_ms is not None and now_ms < suspect.quarantined_until_ms:
                found[fingerprint] = round(suspect.quarantined_until_ms - now_ms)
        return found

    def check(self, fingerprint, ran=Ran.NO):
        """Raise :class:`Quarantined` if the request is in quarantine.

        :param ran: the :class:`Ran` value for the error.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.quarantined_until_ms is None:
            return
        remaining_ms = suspect.quarantined_until_ms - self._clock.now_ms()
        if remaining_ms <= 0 and not self._may_probe(fingerprint):
            remaining_ms = PROBE_RETRY_MS
        if remaining_ms > 0:
            raise Quarantined(
                f"{len(suspect.deaths)} backend servers died under requests like this one",
                ran=ran,
                retry_after_ms=jittered_ms(self._random, remaining_ms),
            )

    def is_suspect(self, fingerprint):
        """Return whether the request must run on one server at a time."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if (
            suspect.quarantined_until_ms is None
            and self._clock.now_ms() - suspect.last_death_ms > SUSPECT_MS
        ):
            del self._suspects[fingerprint]
            return False
        return True

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
        running = self._running_calls.setdefault(server, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def record_end(self, server, fingerprint):
        """Record that a call of the request to the server has ended."""
        running = self._running_calls.get(server)
        if running is None or fingerprint not in running:
            return
        running[fingerprint] -= 1
        if running[fingerprint] == 0:
            del running[fingerprint]
        if not running:
            del self._running_calls[server]

    def record_death(self, server, shard, fingerprint, as_canary=False):
        """Record that a server died while it ran the request for this node.

        :param as_canary: whether the request ran alone as a suspect; it then gets all the blame.
        """
        requests = self._requests_at_death(server, fingerprint)
        blame = 1.0 if as_canary else 1.0 / len(requests)
        death = Death(fingerprint=fingerprint, server=server, shard=shard, blame=blame)
        self.add_death(death)
        log_decision(
            log,
            "server died under a request",
            fingerprint=fingerprint,
            server=server,
            shard=shard,
            other_requests=len(requests) - 1,
            deaths=len(self._suspects[fingerprint].deaths),
            blame=round(self._suspects[fingerprint].blame(), 2),
        )
        if self.on_death is not None:
            self.on_death(death)

    def add_death(self, death):
        """Add a :class:`Death` that this node or a peer detected."""
        suspect = self._suspects.get(death.fingerprint)
        if suspect is None or not self.is_suspect(death.fingerprint):
            _evict_oldest(self._suspects)
            suspect = Suspect()
            self._suspects[death.fingerprint] = suspect
        now_ms = self._clock.now_ms()
        suspect.add(death, now_ms)
        if suspect.quarantined_until_ms is not None and now_ms < suspect.quarantined_until_ms:
            return
        if self._exceeds_limit(death.fingerprint, suspect, death.shard):
            self._start_quarantine(death.fingerprint, suspect)

    def record_answer(self, fingerprint, shard):
        """Record that a server of ``shard`` answered the request."""
        now_ms = self._clock.now_ms()
        self._last_answer_ms.pop(fingerprint, None)
        _evict_oldest(self._last_answer_ms)
        self._last_answer_ms[fingerprint] = now_ms
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        is_refused = (
            suspect.quarantined_until_ms is not None and now_ms < suspect.quarantined_until_ms
        )
        if is_refused:
            self._lift_if_correlated(fingerprint, suspect)
            return
        if shard in suspect.shards:
            del self._suspects[fingerprint]
            self._events.record("suspect-cleared", fingerprint=fingerprint)

    def on_peer_lifted(self, fingerprint):
        """Lift a quarantine because a peer did."""
        self._last_answer_ms[fingerprint] = self._clock.now_ms()
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.quarantined_until_ms is not None:
            self._lift(fingerprint, suspect)

    def _lift_if_correlated(self, fingerprint, suspect):
        """Lift a quarantine if the last death is recent and no single shard reached the limit."""
        if self._clock.now_ms() - suspect.last_death_ms > CORRELATION_WINDOW_MS:
            return
        if any(suspect.blame(shard) >= BLAME_LIMIT for shard in suspect.shards):
            return
        self._lift(fingerprint, suspect)
        if self.on_lifted is not None:
            self.on_lifted(fingerprint)

    def _lift(self, fingerprint, suspect):
        suspect.quarantined_until_ms = None
        suspect.quarantine_count = max(0, suspect.quarantine_count - 1)
        log.info("quarantine: request %s lifted, another server answered it", fingerprint)
        self._events.record("quarantine-lifted", fingerprint=fingerprint)

    def _exceeds_limit(self, fingerprint, suspect, shard):
        if suspect.blame(shard) >= BLAME_LIMIT:
            return True
        if suspect.blame() < BLAME_LIMIT:
            return False
        answered_ms = self._last_answer_ms.get(fingerprint)
        return answered_ms is None or self._clock.now_ms() - answered_ms > CORRELATION_WINDOW_MS

    def _start_quarantine(self, fingerprint, suspect):
        suspect.quarantine_count += 1
        duration_ms = min(MAX_QUARANTINE_MS, QUARANTINE_MS * 2 ** (suspect.quarantine_count - 1))
        suspect.quarantined_until_ms = self._clock.now_ms() + duration_ms
        log.error(
            "quarantine: request %s killed %d servers, refused for %d ms",
            fingerprint,
            len(suspect.deaths),
            duration_ms,
        )
        self._events.record(
            "quarantined",
            fingerprint=fingerprint,
            servers=sorted(suspect.deaths),
            duration_ms=duration_ms,
        )

    def _requests_at_death(self, server, fingerprint):
        """Return all requests that ran on the server when it died.

        Their connections end one after another: all of them share the set that is started when the
        first one ends.
        """
        now_ms = self._clock.now_ms()
        since_ms, requests = self._recent_deaths.get(server, (None, None))
        if since_ms is None or now_ms - since_ms > CORRELATION_WINDOW_MS:
            self._recent_deaths = _drop_expired(self._recent_deaths, now_ms)
            requests = set()
            self._recent_deaths[server] = (now_ms, requests)
        requests |= set(self._running_calls.get(server, ()))
        requests.add(fingerprint)
        return requests


def _drop_expired(deaths, now_ms):
    fresh = {}
    for server, (since_ms, requests) in deaths.items():
        if now_ms - since_ms <= CORRELATION_WINDOW_MS:
            fresh[server] = (since_ms, requests)
    return fresh


def _evict_oldest(entries):
    while len(entries) >= MAX_FINGERPRINTS:
        del entries[next(iter(entries))]
