"""What each source says of a backend server, merged so that no stale word brings one back."""

import logging

log = logging.getLogger("drain")

UNKNOWN_INCARNATION = 0


class LeavingServers:
    """Backend servers that get no new work.

    A sign that a server is leaving holds for that incarnation and all before it; only a higher
    incarnation brings the server back. Any source may give a sign: a refusal, the instance list,
    a peer. The operators' ``draining`` list is kept apart, since it may be taken back.

    :param events: :class:`~auburnhollow.events.Recorder`.
    :param tell: function of server id, incarnation and whether it is leaving, called with news.

    >>> leaving.sign("bd-3", incarnation=12, source="refusal")
    >>> leaving.is_leaving("bd-3")
    True
    """

    __slots__ = ("_events", "_gone", "_newest", "tell")

    def __init__(self, events, tell=None):
        self._events = events
        self.tell = tell
        self._gone = {}
        self._newest = {}

    @property
    def servers(self):
        """Ids of the servers that are leaving now, sorted."""
        return sorted(server for server in self._gone if self.is_leaving(server))

    def mark_seen(self, server, incarnation):
        """Note that ``incarnation`` of a server exists; a lower one than known is ignored."""
        if incarnation > self._newest.get(server, UNKNOWN_INCARNATION):
            if self._gone.get(server) == UNKNOWN_INCARNATION:
                # The sign came without a number: it meant the first one that is seen.
                self._gone[server] = incarnation
            was_leaving = self.is_leaving(server)
            self._newest[server] = incarnation
            if was_leaving and not self.is_leaving(server):
                log.info("drain: %s is back as incarnation %d", server, incarnation)
                self._events.record("server-back", server=server, incarnation=incarnation)
                self._pass_on(server, incarnation, False)

    def mark_leaving(self, server, incarnation=None, source="refusal"):
        """Take a sign that a server is leaving.

        :param incarnation: which one is leaving; ``None`` for the newest that is known.
        :returns: whether this was news.
        """
        if incarnation is None:
            incarnation = self._newest.get(server, UNKNOWN_INCARNATION)
        if incarnation <= self._gone.get(server, UNKNOWN_INCARNATION - 1):
            return False
        self._gone[server] = incarnation
        log.info("drain: %s incarnation %d is leaving, by %s", server, incarnation, source)
        self._events.record("server-leaving", server=server, incarnation=incarnation, source=source)
        self._pass_on(server, incarnation, True)
        return True

    def _pass_on(self, server, incarnation, is_leaving):
        if self.tell is not None:
            self.tell(server, incarnation, is_leaving)

    def is_leaving(self, server):
        """Return whether a server gets no new work."""
        gone = self._gone.get(server)
        return gone is not None and gone >= self._newest.get(server, UNKNOWN_INCARNATION)

    def forget(self, known):
        """Drop what is kept of servers that are not in ``known``."""
        for server in [server for server in self._gone if server not in known]:
            del self._gone[server]
        for server in [server for server in self._newest if server not in known]:
            del self._newest[server]
