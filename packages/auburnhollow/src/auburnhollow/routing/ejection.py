"""Backend servers that are passed over because calls to them fail."""

import logging

log = logging.getLogger("routing")

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1_000.0
LONGEST_EJECTION_MS = 30_000.0
EJECTED_ONE_IN = 3


class Failures:
    """Failures of one server."""

    __slots__ = ("failures", "times", "until_ms")

    def __init__(self):
        self.failures = 0
        self.times = 0
        self.until_ms = 0.0


class Ejection:
    """Passes over servers whose calls fail in a row.

    No more than one in ``EJECTED_ONE_IN`` of a shard's replicas, and one in any case, is ejected;
    when more look bad, the fault is likely
    ours, and nobody of the group is passed over. What calls meet counts; health endpoints do not.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    """

    __slots__ = ("_clock", "_events", "_records")

    def __init__(self, clock, events):
        self._clock = clock
        self._events = events
        self._records = {}

    @property
    def ejected(self):
        """Ids of the servers that look bad now, with the milliseconds that remain."""
        now_ms = self._clock.now_ms()
        found = {}
        for server, record in self._records.items():
            if record.until_ms > now_ms:
                found[server] = round(record.until_ms - now_ms)
        return found

    def failed(self, server):
        """Count a failed call."""
        record = self._records.setdefault(server, Failures())
        record.failures += 1
        if record.failures < FAILURES_TO_EJECT:
            return
        now_ms = self._clock.now_ms()
        if record.until_ms > now_ms:
            return
        duration_ms = min(LONGEST_EJECTION_MS, FIRST_EJECTION_MS * 2**record.times)
        record.times += 1
        record.until_ms = now_ms + duration_ms
        log.warning("routing: %s is ejected for %d ms", server, duration_ms)
        self._events.record("server-ejected", server=server, duration_ms=duration_ms)

    def worked(self, server):
        """Count a call that was answered."""
        record = self._records.pop(server, None)
        if record is not None and record.times > 0:
            self._events.record("server-readmitted", server=server)

    def usable(self, servers, group):
        """Return those of ``servers`` that are not passed over.

        :param group: all replicas of the shard, which bound how many may be ejected.
        """
        now_ms = self._clock.now_ms()
        if not self._records:
            return servers
        bad = {server.id for server in group if self._is_bad(server.id, now_ms)}
        if not bad or len(bad) > max(1, len(group) // EJECTED_ONE_IN):
            return servers
        good = [server for server in servers if server.id not in bad]
        return good or servers

    def _is_bad(self, server, now_ms):
        record = self._records.get(server)
        return record is not None and record.until_ms > now_ms
