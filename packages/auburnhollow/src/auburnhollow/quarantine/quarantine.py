"""Blame for dead backend servers, by request."""

import asyncio
import hashlib
import logging
from contextlib import asynccontextmanager

import orjson

from ..exceptions import Quarantined, Ran
from ..records import Record
from ..retry import jittered_ms

log = logging.getLogger("quarantine")

LIMIT = 2.0
SUSPECT_MS = 600_000.0
QUARANTINE_MS = 120_000.0
LONGEST_MS = 3_600_000.0
PROBE_WAIT_MS = 5_000.0
TOGETHER_MS = 1_000.0
MOST_FINGERPRINTS = 10_000


def fingerprint_of(service, body):
    """Return a short hash that is the same for the same request in every process."""
    data = orjson.dumps([service, body], option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=12).hexdigest()


class Death(Record):
    """One server that died under a request for ``shard``.

    ``blame`` is the request's part of it, 0 to 1.
    """

    __slots__ = ("fingerprint", "server", "shard", "blame")


class Suspect:
    """What is known of one request that servers have died under."""

    __slots__ = ("canary", "deaths", "last_ms", "times", "until_ms")

    def __init__(self):
        self.canary = asyncio.Lock()
        self.deaths = {}
        self.last_ms = None
        self.times = 0
        self.until_ms = None

    @property
    def shards(self):
        """Names of the shards that lost a server."""
        return {death.shard for death in self.deaths.values()}

    def add(self, death, now_ms):
        """Count a death; of two under the same server the heavier counts."""
        known = self.deaths.get(death.server)
        if known is None or known.blame < death.blame:
            self.deaths[death.server] = death
        self.last_ms = now_ms

    def blame(self, shard=None):
        """Return the sum over all servers that died, or over those of one shard."""
        total = 0.0
        for death in self.deaths.values():
            if shard is None or death.shard == shard:
                total += death.blame
        return total


class Quarantine:
    """Refuses requests that crash backend servers.

    A server that dies under ``k`` different requests lays ``1/k`` of the blame on each. A request
    with a blame of ``LIMIT`` is refused for ``QUARANTINE_MS``, doubling with each further time,
    unless another server answered it within ``TOGETHER_MS``: what kills every server that runs it
    has no survivors, a dying rack leaves some. Below that it is a suspect and runs on one server
    at a time until a shard that lost a server has answered. A second loss in the same shard
    convicts it, survivors or not. After a quarantine one node alone, the first in rank for the
    request, lets it run again, as a suspect.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    :param random: a :class:`random.Random`.
    :param may_probe: function of a fingerprint: whether this node lets it run again.

    ``tell`` and ``tell_survived`` are called with each :class:`Death` seen here and each
    fingerprint that a quarantine was lifted from, for the peers.
    """

    __slots__ = (
        "_answered_ms",
        "_casualties",
        "_clock",
        "_events",
        "_may_probe",
        "_random",
        "_running",
        "_suspects",
        "tell",
        "tell_survived",
    )

    def __init__(self, clock, events, random, may_probe=None):
        self._clock = clock
        self._events = events
        self._random = random
        self._may_probe = may_probe or (lambda fingerprint: True)
        self._suspects = {}
        self._running = {}
        self._answered_ms = {}
        self._casualties = {}
        self.tell = None
        self.tell_survived = None

    @property
    def refused(self):
        """Fingerprints that are refused now, with the milliseconds that remain."""
        now_ms = self._clock.now_ms()
        found = {}
        for fingerprint, suspect in self._suspects.items():
            if suspect.until_ms is not None and now_ms < suspect.until_ms:
                found[fingerprint] = round(suspect.until_ms - now_ms)
        return found

    def check(self, fingerprint, ran=Ran.NO):
        """Raise :class:`Quarantined` if the request is refused now.

        :param ran: what is true of the request by now.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until_ms is None:
            return
        remaining_ms = suspect.until_ms - self._clock.now_ms()
        if remaining_ms <= 0 and not self._may_probe(fingerprint):
            remaining_ms = PROBE_WAIT_MS
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
        if suspect.until_ms is None and self._clock.now_ms() - suspect.last_ms > SUSPECT_MS:
            del self._suspects[fingerprint]
            return False
        return True

    @asynccontextmanager
    async def canary(self, fingerprint):
        """Let one call of a suspect run at a time.

        The block gets whether the request is still a suspect when its turn comes.

        :raises Quarantined: when it is refused by then.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            yield False
            return
        async with suspect.canary:
            self.check(fingerprint, Ran.UNKNOWN)
            yield self.is_suspect(fingerprint)

    def record_start(self, server, fingerprint):
        """Note that a call of the request to the server is in progress."""
        running = self._running.setdefault(server, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def record_end(self, server, fingerprint):
        """Note that a call of the request to the server is over."""
        running = self._running.get(server)
        if running is None or fingerprint not in running:
            return
        running[fingerprint] -= 1
        if running[fingerprint] == 0:
            del running[fingerprint]
        if not running:
            del self._running[server]

    def record_death(self, server, shard, fingerprint, as_canary=False):
        """Take the death of a server under the request, seen here.

        :param as_canary: whether the request ran as a suspect; then the loss is its own.
        """
        together = self._died_together(server, fingerprint)
        blame = 1.0 if as_canary else 1.0 / len(together)
        death = Death(fingerprint=fingerprint, server=server, shard=shard, blame=blame)
        self.add_death(death)
        if self.tell is not None:
            self.tell(death)

    def add_death(self, death):
        """Take a :class:`Death` seen here or by a peer."""
        suspect = self._suspects.get(death.fingerprint)
        if suspect is None or not self.is_suspect(death.fingerprint):
            _make_room(self._suspects)
            suspect = Suspect()
            self._suspects[death.fingerprint] = suspect
        now_ms = self._clock.now_ms()
        suspect.add(death, now_ms)
        if suspect.until_ms is not None and now_ms < suspect.until_ms:
            return
        if self._is_convicted(death.fingerprint, suspect, death.shard):
            self._refuse(death.fingerprint, suspect)

    def record_answer(self, fingerprint, shard):
        """Note that a server has answered the request."""
        now_ms = self._clock.now_ms()
        self._answered_ms.pop(fingerprint, None)
        _make_room(self._answered_ms)
        self._answered_ms[fingerprint] = now_ms
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        is_refused = suspect.until_ms is not None and now_ms < suspect.until_ms
        if is_refused:
            self._survived(fingerprint, suspect)
            return
        if shard in suspect.shards:
            del self._suspects[fingerprint]
            self._events.record("suspect-cleared", fingerprint=fingerprint)

    def hear_survived(self, fingerprint):
        """Note that a peer lifted the quarantine of the request."""
        self._answered_ms[fingerprint] = self._clock.now_ms()
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.until_ms is not None:
            self._lift(fingerprint, suspect)

    def _survived(self, fingerprint, suspect):
        """Lift a quarantine that the deaths of the last moments have brought."""
        if self._clock.now_ms() - suspect.last_ms > TOGETHER_MS:
            return
        if any(suspect.blame(shard) >= LIMIT for shard in suspect.shards):
            return
        self._lift(fingerprint, suspect)
        if self.tell_survived is not None:
            self.tell_survived(fingerprint)

    def _lift(self, fingerprint, suspect):
        suspect.until_ms = None
        suspect.times = max(0, suspect.times - 1)
        log.info("quarantine: request %s has survivors, and is a suspect only", fingerprint)
        self._events.record("quarantine-lifted", fingerprint=fingerprint)

    def _is_convicted(self, fingerprint, suspect, shard):
        if suspect.blame(shard) >= LIMIT:
            return True
        if suspect.blame() < LIMIT:
            return False
        answered_ms = self._answered_ms.get(fingerprint)
        return answered_ms is None or self._clock.now_ms() - answered_ms > TOGETHER_MS

    def _refuse(self, fingerprint, suspect):
        suspect.times += 1
        duration_ms = min(LONGEST_MS, QUARANTINE_MS * 2 ** (suspect.times - 1))
        suspect.until_ms = self._clock.now_ms() + duration_ms
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

    def _died_together(self, server, fingerprint):
        """Return all requests that ran on the server when it died.

        Their connections end one after another; what the first of them saw goes for all.
        """
        now_ms = self._clock.now_ms()
        since_ms, together = self._casualties.get(server, (None, None))
        if since_ms is None or now_ms - since_ms > TOGETHER_MS:
            self._casualties = _fresh(self._casualties, now_ms)
            together = set()
            self._casualties[server] = (now_ms, together)
        together |= set(self._running.get(server, ()))
        together.add(fingerprint)
        return together


def _fresh(casualties, now_ms):
    fresh = {}
    for server, (since_ms, together) in casualties.items():
        if now_ms - since_ms <= TOGETHER_MS:
            fresh[server] = (since_ms, together)
    return fresh


def _make_room(entries):
    while len(entries) >= MOST_FINGERPRINTS:
        del entries[next(iter(entries))]
