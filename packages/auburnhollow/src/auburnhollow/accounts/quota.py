"""Admits requests of client accounts within their quotas over all nodes.

Load that it answers: see :mod:`auburnhollow.accounts.ledger`. A request of an account that is far
from its limit runs at once and is reported to the account's owner afterwards; near the limit, the
owner is asked first. Without an owner and its deputy, a node grants its own share.
"""

import asyncio
import logging

from ..decisions import log_decision
from ..exceptions import PeerError, QuotaSpent
from ..hashing import ranked
from .ledger import DEPUTY_SHARE, QuotaLedger
from .quota_messages import QuotaAsk

log = logging.getLogger("accounts")

# Several round trips between regions, and short against what callers wait.
ASK_TIMEOUT_MS = 150.0
# An owner that has not answered is passed over until the fleet has noticed that it is gone.
AVOID_MS = 2_000.0
# After a report that the account is near its limit, its requests are asked for so long.
TIGHT_MS = 3_000.0
# The other nodes are told again so often while the account stays near its limit.
ANNOUNCE_MS = 1_000.0
# How long the largest number of nodes counts after it was last seen.
PEAK_MS = 60_000.0
# Requests that may run before the owner has confirmed a report.
MAX_UNCONFIRMED = 1


class _Standing:
    """What a node knows of one account; ``unconfirmed`` requests have run without an answer."""

    __slots__ = ("tight_until_ms", "unconfirmed")

    def __init__(self, tight_until_ms):
        self.tight_until_ms = tight_until_ms
        self.unconfirmed = 0


class Quota:
    """The quotas of all accounts, as one node sees them.

    :param bounds: :class:`~auburnhollow.accounts.ledger.QuotaBounds`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    :param known_nodes: number of nodes that exist even if none has been seen yet.

    ``on_tight`` is a callback that receives the name of an owned account near its limit; it lets
    the other nodes call :meth:`hear_tight`.

    >>> await quota.admit(account)
    """

    __slots__ = (
        "_announced_ms",
        "_avoid_until_ms",
        "_clock",
        "_fallback",
        "_ledger",
        "_membership",
        "_metrics",
        "_peak",
        "_peak_ms",
        "_peers",
        "_ranks",
        "_ranks_of",
        "_standings",
        "_tasks",
        "accounts",
        "on_tight",
    )

    def __init__(self, bounds, peers, membership, clock, metrics, known_nodes=1):
        self._ledger = QuotaLedger(bounds)
        self._fallback = QuotaLedger(bounds)
        self._peers = peers
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._peak = known_nodes
        self._peak_ms = None
        self._ranks = {}
        self._ranks_of = None
        self._standings = {}
        self._avoid_until_ms = {}
        self._tasks = set()
        self._announced_ms = {}
        self.accounts = {}
        self.on_tight = None

    @property
    def status(self):
        """What operators see: tokens left of owned accounts, and accounts near their limits."""
        now_ms = self._clock.now_ms()
        near = []
        for name, standing in sorted(self._standings.items()):
            if standing.tight_until_ms > now_ms:
                near.append(name)
        return {"owned": self._ledger.levels(), "near_limit": near, "nodes_counted": self._peak}

    def set_accounts(self, accounts):
        """Apply the accounts of a new configuration, by name."""
        known, self.accounts = self.accounts, accounts
        # Tokens count from here on, before any request has come.
        self._nodes()
        self._ledger.forget(accounts)
        self._fallback.forget(accounts)
        standings, self._standings = self._standings, {}
        for name, account in accounts.items():
            if account.rate_per_s is None:
                continue
            standing = standings.get(name)
            if standing is None or known.get(name) != account:
                # How much of a new limit is used is not known here yet.
                standing = _Standing(self._now_ms + TIGHT_MS)
            self._standings[name] = standing

    def hear_tight(self, name):
        """Handle the report of an owner that an account is near its limit."""
        standing = self._standings.get(name)
        if standing is not None:
            standing.tight_until_ms = self._now_ms + TIGHT_MS

    async def admit(self, name):
        """Take a token of an account for one request.

        :raises QuotaSpent: with the time to come back, if there is none.
        """
        account = self.accounts.get(name)
        if account is None or account.rate_per_s is None:
            return
        standing = self._standings[name]
        if standing.unconfirmed < MAX_UNCONFIRMED and standing.tight_until_ms <= self._now_ms:
            standing.unconfirmed += 1
            self._start(self._report(account, standing))
            return
        answer = await self._ask(account, standing, used=0, wanted=1)
        if answer.granted:
            return
        self._metrics.incr_labelled("accounts.refused", account=name)
        raise QuotaSpent("the account's quota is spent", retry_after_ms=answer.retry_ms)

    def give_back(self, name):
        """Return the token of an admitted request that no server has run."""
        account = self.accounts.get(name)
        if account is None or account.rate_per_s is None:
            return
        standing = self._standings[name]
        self._start(self._ask(account, standing, used=-1, wanted=0))

    async def answer(self, message):
        """Return the answer of this node, as an owner, to a :class:`QuotaAsk`."""
        account = self.accounts.get(message.account)
        if account is not None:
            message.rate_per_s = account.rate_per_s
            message.burst = account.burst
        nodes = self._nodes()
        share = len(nodes) / self._peak
        if self._owners(message.account)[0] != self._membership.me.id:
            share = min(share, DEPUTY_SHARE)
        answer = self._ledger.answer(message, share, self._now_ms)
        if answer.is_tight:
            self._announce(message.account)
        return answer

    def _announce(self, name):
        now_ms = self._now_ms
        announced_ms = self._announced_ms.get(name)
        if announced_ms is not None and now_ms - announced_ms < ANNOUNCE_MS:
            return
        self._announced_ms[name] = now_ms
        if self.on_tight is not None:
            self.on_tight(name)

    @property
    def _now_ms(self):
        return self._clock.now_ms()

    async def _report(self, account, standing):
        try:
            await self._ask(account, standing, used=1, wanted=0)
        finally:
            standing.unconfirmed -= 1

    async def _ask(self, account, standing, used, wanted):
        """Return the answer of the owner, of its deputy, or of this node on its own."""
        ask = QuotaAsk(
            account=account.name,
            used=used,
            wanted=wanted,
            rate_per_s=account.rate_per_s,
            burst=account.burst,
        )
        for owner in self._owners(account.name):
            answer = await self._ask_owner(owner, ask)
            if answer is None:
                continue
            if answer.is_tight:
                standing.tight_until_ms = self._now_ms + TIGHT_MS
            return answer
        self._metrics.incr("accounts.alone")
        standing.tight_until_ms = self._now_ms + TIGHT_MS
        return self._fallback.answer(ask, 1.0 / self._peak, self._now_ms)

    async def _ask_owner(self, owner, ask):
        """Return the answer of one node, or ``None`` if it gives none."""
        if owner == self._membership.me.id:
            return await self.answer(ask)
        member = self._membership.members.get(owner)
        if member is None or self._avoid_until_ms.get(owner, 0.0) > self._now_ms:
            return None
        self._metrics.incr("accounts.asked")
        try:
            return await self._peers.ask(member.address, ask, ASK_TIMEOUT_MS)
        except PeerError as error:
            self._avoid_until_ms[owner] = self._now_ms + AVOID_MS
            log_decision(log, "owner of a quota does not answer", owner=owner, error=str(error))
            return None

    def _owners(self, name):
        """Return the ids of an account's owner and of its deputy."""
        self._nodes()
        return self._owners_among(name)

    def _owners_among(self, name):
        owners = self._ranks.get(name)
        if owners is None:
            owners = self._ranks[name] = ranked(name, self._ranks_of)[:2]
        return owners

    def _nodes(self):
        """Return the ids of all live nodes, and note the largest number of them."""
        nodes = self._membership.present()
        now_ms = self._now_ms
        if nodes is not self._ranks_of:
            self._ranks_of = nodes
            self._ranks = {}
            self._avoid_until_ms = {}
            self._start_over(now_ms)
        if len(nodes) >= self._peak:
            self._peak = len(nodes)
            self._peak_ms = now_ms
        elif self._peak_ms is None:
            self._peak_ms = now_ms
        elif now_ms - self._peak_ms > PEAK_MS:
            self._peak = len(nodes)
        return nodes

    def _start_over(self, now_ms):
        """Drop what other nodes have counted meanwhile, or count from now on."""
        me = self._membership.me.id
        owned = [name for name in self._ledger.names if self._owners_among(name)[0] == me]
        self._ledger.forget(owned)
        self._ledger.start_over(now_ms)
        self._fallback.start_over(now_ms)

    def _start(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
