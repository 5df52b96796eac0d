"""Blame for dead backend servers, by request."""

import asyncio
import hashlib
import logging
from contextlib import asynccontextmanager

import orjson

from ..exceptions import Quarantined, Ran
from ..records import Record
from ..retry import spread_ms

log = logging.getLogger("quarantine")

LIMIT = 2.0
SUSPECT_MS = 600_000.0
QUARANTINE_MS = 120_000.0
LONGEST_MS = 3_600_000.0
PROBE_WAIT_MS = 5_000.0
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

    __slots__ = ("blame_by_server", "canary", "shards", "since_ms", "times", "until_ms")

    def __init__(self, now_ms):
        self.blame_by_server = {}
        self.shards = set()
        self.canary = asyncio.Lock()
        self.since_ms = now_ms
        self.times = 0
        self.until_ms = None

    @property
    def blame(self):
        """The sum over all servers that died."""
        return sum(self.blame_by_server.values())


class Quarantine:
    """Refuses requests that crash backend servers.

    A server that dies under ``k`` different requests lays ``1/k`` of the blame on each, so that a
    dying rack quarantines nobody, while a request that dies alone does so quickly. At a blame of
    ``LIMIT`` a request is refused for ``QUARANTINE_MS``, doubling with each further time. Below
    that it is a suspect: it runs on one server at a time until a shard that lost a server has
    answered. After a quarantine one node alone, the first in rank for the request, lets it run
    again, as a suspect.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    :param random: a :class:`random.Random`.
    :param tell: function called with each :class:`Death` seen here, for the peers.
    :param may_probe: function of a fingerprint: whether this node lets it run again.
    """

    __slots__ = ("_clock", "_events", "_may_probe", "_random", "_running", "_suspects", "_tell")

    def __init__(self, clock, events, random, tell=None, may_probe=None):
        self._may_probe = may_probe or (lambda fingerprint: True)
        self._clock = clock
        self._events = events
        self._random = random
        self._tell = tell
        self._suspects = {}
        self._running = {}

    @property
    def refused(self):
        """Fingerprints that are refused now, with the milliseconds that remain."""
        now_ms = self._clock.now_ms()
        found = {}
        for fingerprint, suspect in self._suspects.items():
            if suspect.until_ms is not None and now_ms < suspect.until_ms:
                found[fingerprint] = round(suspect.until_ms - now_ms)
        return found

    def check(self, fingerprint):
        """Raise :class:`Quarantined` if the request is refused now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.until_ms is None:
            return
        remaining_ms = suspect.until_ms - self._clock.now_ms()
        if remaining_ms <= 0 and not self._may_probe(fingerprint):
            remaining_ms = PROBE_WAIT_MS
        if remaining_ms > 0:
            raise self._refusal(suspect, remaining_ms, Ran.NO)

    def is_suspect(self, fingerprint):
        """Return whether the request must run on one server at a time."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if suspect.until_ms is not None:
            return True
        if self._clock.now_ms() - suspect.since_ms > SUSPECT_MS:
            del self._suspects[fingerprint]
            return False
        return True

    @asynccontextmanager
    async def canary(self, fingerprint):
        """Let one call of a suspect run at a time.

        The block gets whether the request is still a suspect when its turn comes.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            yield False
            return
        async with suspect.canary:
            self.check(fingerprint)
            yield self.is_suspect(fingerprint)

    def started(self, server, fingerprint):
        """Note that a call of the request to the server is in progress."""
        running = self._running.setdefault(server, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def ended(self, server, fingerprint):
        """Note that a call of the request to the server is over."""
        running = self._running.get(server)
        if running is None or fingerprint not in running:
            return
        running[fingerprint] -= 1
        if running[fingerprint] == 0:
            del running[fingerprint]
        if not running:
            del self._running[server]

    def died(self, server, shard, fingerprint):
        """Take the death of a server under the request.

        :raises Quarantined: when that was one too many.
        """
        running = set(self._running.get(server, ()))
        running.add(fingerprint)
        death = Death(fingerprint=fingerprint, server=server, shard=shard, blame=1.0 / len(running))
        self.take(death)
        if self._tell is not None:
            self._tell(death)
        suspect = self._suspects[fingerprint]
        if suspect.until_ms is not None:
            remaining_ms = max(0.0, suspect.until_ms - self._clock.now_ms())
            raise self._refusal(suspect, remaining_ms, Ran.UNKNOWN)

    def take(self, death):
        """Take a :class:`Death` seen here or by a peer."""
        suspect = self._suspects.get(death.fingerprint)
        if suspect is None or not self.is_suspect(death.fingerprint):
            self._make_room()
            suspect = Suspect(self._clock.now_ms())
            self._suspects[death.fingerprint] = suspect
        suspect.shards.add(death.shard)
        known = suspect.blame_by_server.get(death.server, 0.0)
        suspect.blame_by_server[death.server] = max(known, death.blame)
        if suspect.blame < LIMIT:
            return
        now_ms = self._clock.now_ms()
        if suspect.until_ms is not None and now_ms < suspect.until_ms:
            return
        suspect.times += 1
        duration_ms = min(LONGEST_MS, QUARANTINE_MS * 2 ** (suspect.times - 1))
        suspect.until_ms = now_ms + duration_ms
        log.error(
            "quarantine: request %s killed %d servers, refused for %d ms",
            death.fingerprint,
            len(suspect.blame_by_server),
            duration_ms,
        )
        self._events.record(
            "quarantined",
            fingerprint=death.fingerprint,
            servers=sorted(suspect.blame_by_server),
            duration_ms=duration_ms,
        )

    def answered(self, fingerprint, shard):
        """Clear a suspect when a shard that lost a server has answered."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or shard not in suspect.shards:
            return
        if suspect.until_ms is not None and self._clock.now_ms() < suspect.until_ms:
            return
        del self._suspects[fingerprint]
        self._events.record("suspect-cleared", fingerprint=fingerprint)

    def _refusal(self, suspect, remaining_ms, ran):
        count = len(suspect.blame_by_server)
        return Quarantined(
            f"{count} backend servers died under requests like this one",
            ran=ran,
            retry_after_ms=spread_ms(self._random, remaining_ms),
        )

    def _make_room(self):
        while len(self._suspects) >= MOST_FINGERPRINTS:
            del self._suspects[next(iter(self._suspects))]
