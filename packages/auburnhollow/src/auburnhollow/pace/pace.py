"""Finds the pace of all servers that have just started or recovered, from how they answer."""

import logging

from ..decisions import log_decision
from .finding import FULL_SHARE, QUIET_MS, Finding, start_share

log = logging.getLogger("pace")

# Longer than a server's pace takes to be found. Versions of before are forgotten, since nodes that
# have restarted begin at 0 again.
RETENTION_MS = 60_000
# A server that has run for longer is not new, whenever this node first hears of it.
NEW_MS = 60_000


class Pace:
    """The servers whose pace is being found, and which of them may get the next request.

    Each node thins out its own requests by the same share, so that the server gets that share of
    what it would get from all nodes together: no count of nodes is needed, and a node that asks
    it once in seconds does its part. A service whose servers are all new is served as usual.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param pressure: function of a server that returns the mean load of the service's other servers
        in parts of their slots, or ``None``.
    :param is_wanted: function of a service's name that returns whether its servers are paced.

    ``on_change`` is a callback for peers; it receives the incarnation, the share and its version.

    >>> pace.begin(server, "started")
    >>> candidates = pace.thin(servers)
    """

    __slots__ = (
        "_clock",
        "_findings",
        "_is_wanted",
        "_metrics",
        "_next_sweep_ms",
        "_pressure",
        "_random",
        "_versions",
        "on_change",
    )

    def __init__(self, clock, random, metrics, pressure, is_wanted):
        self._clock = clock
        self._random = random
        self._metrics = metrics
        self._pressure = pressure
        self._is_wanted = is_wanted
        self._findings = {}
        self._versions = {}
        self._next_sweep_ms = 0.0
        self.on_change = None

    def __len__(self):
        return len(self._findings)

    def share(self, incarnation):
        """Return the share of its usual requests that a server may get, 0 to 1."""
        finding = self._findings.get(incarnation)
        return FULL_SHARE if finding is None else finding.share(self._clock.now_ms())

    def reason(self, incarnation):
        """Return why a server's pace is being found, or ``None``."""
        finding = self._findings.get(incarnation)
        return None if finding is None else finding.reason

    def is_wanted(self, service):
        """Return whether the servers of a service are paced."""
        return self._is_wanted(service)

    def seen(self, server, is_first_read):
        """Begin to find the pace of a server that this node hears of for the first time, if new.

        :param is_first_read: whether this node has just started: to it all servers are new.
        """
        if server.warm_up_ms > 0 or not (is_first_read or self._is_old(server)):
            self.begin(server, "started")

    def begin(self, server, reason, delay_ms=0.0):
        """Begin to find the pace of a server.

        :param reason: what it has recovered from, for the log.
        :param delay_ms: for how long it is passed over yet; what it answers until then is of
            before.
        """
        if not self._is_wanted(server.service):
            return
        share = start_share(self._pressure(server))
        if share >= FULL_SHARE:
            return
        incarnation = server.incarnation
        version = self._version(incarnation)
        began_ms = self._clock.now_ms() + delay_ms
        self._findings[incarnation] = Finding(reason, share, began_ms, version)
        self._metrics.incr("pace.begun")
        log_decision(
            log,
            "pace begun",
            level=logging.DEBUG,
            server=server.id,
            service=server.service,
            reason=reason,
            share=round(share, 3),
        )

    def thin(self, servers):
        """Return those of the servers that this request may go to; never none of them.

        A server is kept as often as its share is of the greatest share among them.
        """
        self._sweep()
        if not self._findings:
            return servers
        shares = [self._current_share(server) for server in servers]
        greatest = max(shares, default=FULL_SHARE)
        if min(shares, default=FULL_SHARE) == greatest:
            return servers
        kept = []
        for server, share in zip(servers, shares, strict=True):
            if share < greatest and self._random.random() * greatest >= share:
                self._metrics.incr("pace.passed_over")
                continue
            kept.append(server)
        return kept

    def answered(self, server, began_ms, ratio, load):
        """Learn from an answer.

        :param began_ms: when the call began.
        :param ratio: its work time divided by the usual one.
        :param load: how many requests the server reports to have, or ``None``.
        """
        finding = self._findings.get(server.incarnation)
        if finding is None:
            return
        now_ms = self._clock.now_ms()
        before = finding.share(now_ms)
        part = None if load is None else load / server.slots
        if finding.observe(began_ms, ratio, part, now_ms):
            self._changed(server.incarnation, finding, before)

    def stumbled(self, server, began_ms):
        """Learn that a call failed, or that the server refused it."""
        finding = self._findings.get(server.incarnation)
        if finding is None:
            return
        now_ms = self._clock.now_ms()
        before = finding.share(now_ms)
        if finding.stumble(began_ms, now_ms):
            self._changed(server.incarnation, finding, before)

    def hear_from_peer(self, incarnation, share, version, age_ms=0.0):
        """Apply the share that a peer has found; older ones are ignored.

        A node that finds nothing wrong with the server itself only remembers the version, as does
        one whose finding began later than the peer found the share.

        :param age_ms: how long ago the peer found it.
        """
        if version <= self._version(incarnation):
            return
        self._remember(incarnation, version)
        finding = self._findings.get(incarnation)
        if finding is None:
            return
        now_ms = self._clock.now_ms()
        if now_ms - age_ms < finding.began_ms:
            finding.version = version
            return
        finding.apply(share, version, now_ms)
        self._end_if_over(incarnation, finding)

    def forget(self, known):
        """Drop what is known of servers that are gone.

        :param known: set of the incarnations that are known.
        """
        self._findings = {each: found for each, found in self._findings.items() if each in known}
        self._versions = {each: kept for each, kept in self._versions.items() if each in known}

    def _is_old(self, server):
        # Entries may name no start time.
        return 0 < server.started_ms < self._clock.wall_ms() - NEW_MS

    def _sweep(self):
        """End the findings of servers that nobody asks, such as those that are gone."""
        now_ms = self._clock.now_ms()
        if now_ms < self._next_sweep_ms:
            return
        self._next_sweep_ms = now_ms + QUIET_MS
        for incarnation, finding in list(self._findings.items()):
            self._end_if_over(incarnation, finding)
        self._versions = {each: kept for each, kept in self._versions.items() if now_ms < kept[1]}

    def _version(self, incarnation):
        version, until_ms = self._versions.get(incarnation, (0, 0.0))
        return version if self._clock.now_ms() < until_ms else 0

    def _remember(self, incarnation, version):
        self._versions[incarnation] = (version, self._clock.now_ms() + RETENTION_MS)

    def _current_share(self, server):
        finding = self._findings.get(server.incarnation)
        if finding is None:
            return FULL_SHARE
        self._end_if_over(server.incarnation, finding)
        return finding.share(self._clock.now_ms())

    def _changed(self, incarnation, finding, before):
        finding.version += 1
        self._remember(incarnation, finding.version)
        share = finding.share(self._clock.now_ms())
        self._metrics.incr("pace.grew" if share > before else "pace.fell")
        log_decision(
            log,
            "pace grew" if share > before else "pace fell",
            server=incarnation[0],
            share=round(share, 3),
            before=round(before, 3),
        )
        if self.on_change is not None:
            self.on_change(incarnation, share, finding.version)
        self._end_if_over(incarnation, finding)

    def _end_if_over(self, incarnation, finding):
        if not finding.is_over(self._clock.now_ms()):
            return
        self._findings.pop(incarnation, None)
        log_decision(
            log,
            "pace found",
            level=logging.DEBUG,
            server=incarnation[0],
            reason=finding.reason,
        )
