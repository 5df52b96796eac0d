"""Merges reports about leaving backend servers, so that a stale report never readmits one."""

import logging

log = logging.getLogger("drain")

UNKNOWN_INCARNATION = 0


class LeavingServers:
    """The backend servers that are leaving and get no new work.

    A report that a server is leaving covers that incarnation and all lower ones; only a higher
    incarnation readmits the server. Any source may report: a rejected request, the instance list
    or a peer. The operators' ``draining`` list is kept separately, since it can be reverted.

    :param events: :class:`~auburnhollow.events.Recorder`.
    :param on_change: callback that receives the server id, the incarnation and whether it is
        leaving, after each change.

    >>> leaving.mark_leaving("bd-3", incarnation=12, source="refusal")
    >>> leaving.is_leaving("bd-3")
    True
    """

    __slots__ = ("_events", "_leaving_incarnations", "_newest_incarnations", "on_change")

    def __init__(self, events, on_change=None):
        self._events = events
        self.on_change = on_change
        self._leaving_incarnations = {}
        self._newest_incarnations = {}

    @property
    def servers(self):
        """Sorted ids of the servers that are currently leaving."""
        return sorted(server for server in self._leaving_incarnations if self.is_leaving(server))

    def mark_seen(self, server, incarnation):
        """Record that ``incarnation`` of a server exists; only a higher one has an effect."""
        if incarnation > self._newest_incarnations.get(server, UNKNOWN_INCARNATION):
            if self._leaving_incarnations.get(server) == UNKNOWN_INCARNATION:
                # The report came without an incarnation: apply it to the first one seen.
                self._leaving_incarnations[server] = incarnation
            was_leaving = self.is_leaving(server)
            self._newest_incarnations[server] = incarnation
            if was_leaving and not self.is_leaving(server):
                log.info("drain: %s is available again as incarnation %d", server, incarnation)
                self._events.record("server-back", server=server, incarnation=incarnation)
                self._notify(server, incarnation, False)

    def mark_leaving(self, server, incarnation=None, source="refusal"):
        """Record a report that a server is leaving.

        :param incarnation: the incarnation that is leaving, ``None`` for the newest known one.
        :param source: where the report came from, for the log and the event.
        :returns: whether the report was new.
        """
        if incarnation is None:
            incarnation = self._newest_incarnations.get(server, UNKNOWN_INCARNATION)
        if incarnation <= self._leaving_incarnations.get(server, UNKNOWN_INCARNATION - 1):
            return False
        self._leaving_incarnations[server] = incarnation
        log.info("drain: %s incarnation %d is leaving, reported by %s", server, incarnation, source)
        self._events.record("server-leaving", server=server, incarnation=incarnation, source=source)
        self._notify(server, incarnation, True)
        return True

    def _notify(self, server, incarnation, is_leaving):
        if self.on_change is not None:
            self.on_change(server, incarnation, is_leaving)

    def is_leaving(self, server):
        """Return whether the newest incarnation of a server is leaving."""
        leaving_incarnation = self._leaving_incarnations.get(server)
        return (
            leaving_incarnation is not None
            and leaving_incarnation >= self._newest_incarnations.get(server, UNKNOWN_INCARNATION)
        )

    def forget(self, known):
        """Drop the state of servers that are not in ``known``."""
        for server in [server for server in self._leaving_incarnations if server not in known]:
            del self._leaving_incarnations[server]
        for server in [server for server in self._newest_incarnations if server not in known]:
            del self._newest_incarnations[server]
