"""Ejects backend servers whose calls fail."""

import logging

log = logging.getLogger("routing")

FAILURES_TO_EJECT = 3
FIRST_EJECTION_MS = 1_000.0
MAX_EJECTION_MS = 30_000.0
MIN_REPLICAS_PER_EJECTION = 3


class FailureRecord:
    """Failures and ejections of one server since its last success."""

    __slots__ = ("failures", "ejections", "ejected_until_ms")

    def __init__(self):
        self.failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0.0


class Ejection:
    """Passes over servers whose calls fail in a row.

    At most one in ``MIN_REPLICAS_PER_EJECTION`` of a shard's replicas is passed over, but one in
    any case. If more are failing, the fault is probably this node's, and none is passed over. Only
    the outcomes of calls count, not health endpoints.

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
        """Ids of the ejected servers, with the remaining time in milliseconds."""
        now_ms = self._clock.now_ms()
        found = {}
        for server, record in self._records.items():
            if record.ejected_until_ms > now_ms:
                found[server] = round(record.ejected_until_ms - now_ms)
        return found

    def record_failure(self, server):
        """Count a failed call."""
        record = self._records.setdefault(server, FailureRecord())
        record.failures += 1
        if record.failures < FAILURES_TO_EJECT:
            return
        now_ms = self._clock.now_ms()
        if record.ejected_until_ms > now_ms:
            return
        duration_ms = min(MAX_EJECTION_MS, FIRST_EJECTION_MS * 2**record.ejections)
        record.ejections += 1
        record.ejected_until_ms = now_ms + duration_ms
        log.warning("routing: %s is ejected for %d ms", server, duration_ms)
        self._events.record("server-ejected", server=server, duration_ms=duration_ms)

    def record_success(self, server):
        """Count a call that was answered."""
        record = self._records.pop(server, None)
        if record is not None and record.ejections > 0:
            self._events.record("server-readmitted", server=server)

    def usable(self, servers, group):
        """Return those of ``servers`` that are not passed over.

        :param group: all replicas of the shard, which limit how many may be passed over.
        """
        now_ms = self._clock.now_ms()
        if not self._records:
            return servers
        ejected = {server.id for server in group if self._is_ejected(server.id, now_ms)}
        if not ejected or len(ejected) > max(1, len(group) // MIN_REPLICAS_PER_EJECTION):
            return servers
        usable = [server for server in servers if server.id not in ejected]
        return usable or servers

    def _is_ejected(self, server, now_ms):
        record = self._records.get(server)
        return record is not None and record.ejected_until_ms > now_ms
