"""Failure detection among nodes."""

import asyncio
import logging
import math

from ..exceptions import PeerError
from .members import ALIVE, DEAD, KIND, LEFT, SUSPECT, Member, entry_of, member_of
from .messages import Ack, Near, NearAsk, Ping, PingRequest

log = logging.getLogger("membership")

PERIOD_MS = 1_000.0
PING_TIMEOUT_MS = 400.0
INDIRECT_TIMEOUT_MS = 900.0
INDIRECT_PEERS = 3
SUSPECT_PERIODS = 3.0
PAUSED_FACTOR = 2.0
REVIVE_EVERY_MS = 10_000.0
MOST_HEALTH = 8
NEAR_TIMEOUT_MS = 400.0
# One may have gone; after two, the node that named them is sure to be there.
NEAR_PEERS = 2
EXPIRE_EVERY_MS = 30_000.0


class Membership:
    """Keeps the list of nodes.

    Each period one node is pinged, through others where it does not answer; one that does not
    answer at all becomes a suspect, and is declared dead unless it speaks up (SWIM: A. Das et
    al., 2002). An observer that was itself paused, or missed answers lately, gives others more
    time (after Lifeguard: A. Dadgar et al., 2018). Dead nodes are pinged now and then, so that
    two sides of a partition find each other again. Nothing that must hold rests on two nodes
    having the same list.

    :param me: the :class:`Member` of this node, with incarnation from its start.
    :param gossiper: :class:`~auburnhollow.gossip.Gossiper`.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    """

    __slots__ = (
        "_answering",
        "_clock",
        "_events",
        "_expired_ms",
        "_health",
        "_me",
        "_members",
        "_metrics",
        "_near_targets",
        "_on_change",
        "_order",
        "_peers",
        "_present",
        "_random",
        "_revived_ms",
        "_gossiper",
        "_stale",
        "_suspected_ms",
        "_syncing",
        "_table",
        "_targets",
        "_tasks",
    )

    def __init__(self, me, table, peers, clock, random, events, metrics):
        self._me = me
        self._table = table
        self._peers = peers
        self._clock = clock
        self._random = random
        self._events = events
        self._metrics = metrics
        self._gossiper = None
        self._members = {me.id: me}
        self._present = (me.id,)
        self._answering = (me.id,)
        self._expired_ms = None
        self._targets = []
        self._near_targets = []
        self._order = []
        self._suspected_ms = {}
        self._health = 0
        self._revived_ms = None
        self._stale = False
        self._syncing = False
        self._tasks = set()
        self._on_change = []
        table.on(KIND, self._take)

    @property
    def me(self):
        """The :class:`Member` of this node."""
        return self._me

    @property
    def members(self):
        """All known members by id, dead ones too for a while."""
        return self._members

    def present(self):
        """Return the ids of the live nodes; the same tuple until one comes or goes."""
        self._recount()
        return self._present

    def answering(self):
        """Return the ids of the live nodes that are no suspects; the same tuple until one is."""
        self._recount()
        return self._answering

    def targets(self):
        """Return the peer addresses of all other live nodes."""
        self._recount()
        return self._targets

    def near_targets(self):
        """Return the peer addresses of the other live nodes of this data centre."""
        self._recount()
        return self._near_targets

    def on_change(self, function):
        """Call ``function`` after a node came or went."""
        self._on_change.append(function)

    def join(self, gossiper):
        """Make this node known."""
        self._gossiper = gossiper
        gossiper.publish(entry_of(self._me, self._clock.wall_ms()))

    def announce(self, **changes):
        """Publish a change of this node, such as ``revision`` or ``ready``."""
        for name, value in changes.items():
            setattr(self._me, name, value)
        self._me.incarnation += 1
        self._gossiper.publish(entry_of(self._me, self._clock.wall_ms()))

    def leave(self):
        """Tell the peers that this node goes for good."""
        self.announce(state=LEFT, ready=False)

    async def contact(self, address):
        """Meet the fleet through one node of it.

        All that is known of the fleet comes from a node of this data centre, if it names one: links
        between data centres are costly, and all nodes may start with the same few addresses.

        :raises PeerError: when it does not answer.
        """
        for near in await self._near_of(address):
            try:
                await self._gossiper.sync(near)
            except PeerError as error:
                log.debug("membership: no exchange with %s: %s", near, error)
                continue
            return
        await self._gossiper.sync(address)

    async def _near_of(self, address):
        """Return the addresses that a node names in this data centre."""
        ask = NearAsk(
            sender=self._me.address,
            data_centre=self._me.data_centre,
            entries=[entry_of(self._me, self._clock.wall_ms()).to_list()],
        )
        try:
            return (await self._peers.ask(address, ask, NEAR_TIMEOUT_MS)).addresses
        except PeerError:
            # One of an earlier release does not know the question, and closes the connection.
            return ()

    async def run(self):
        """Watch the other nodes until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            await self._probe_next()
            self._judge()
            self._revive()
            self._expire()
            spent_ms = self._clock.now_ms() - started_ms
            await self._clock.sleep(PERIOD_MS * self._random.uniform(0.9, 1.1) - spent_ms)

    async def on_ping(self, message):
        """Answer a :class:`Ping`."""
        self._gossiper.receive(message.entries, message.sender)
        return Ack(node=self._me.id, digest=self._table.digest)

    async def on_ping_request(self, message):
        """Ping another node for a peer; an error says that it did not answer."""
        return await self._ping(message.address, PING_TIMEOUT_MS)

    async def on_near_ask(self, message):
        """Answer a :class:`NearAsk`."""
        self._recount()
        near = [
            self._members[node].address
            for node in self._answering
            if self._members[node].data_centre == message.data_centre
            and self._members[node].address != message.sender
        ]
        self._gossiper.receive(message.entries, message.sender)
        return Near(addresses=self._random.sample(near, min(NEAR_PEERS, len(near))))

    async def _probe_next(self):
        member = self._next()
        if member is None:
            return
        started_ms = self._clock.now_ms()
        timeout_ms = PING_TIMEOUT_MS * (1 + self._health)
        try:
            answer = await self._ping(member.address, timeout_ms)
        except PeerError:
            if await self._probe_indirectly(member):
                self._health = max(0, self._health - 1)
                return
            self._missed(member, self._clock.now_ms() - started_ms, timeout_ms)
            return
        self._health = max(0, self._health - 1)
        if answer.node == member.id:
            self._suspected_ms.pop(member.id, None)
        if answer.digest != self._table.digest:
            self._start_sync(member.address)

    async def _ping(self, address, timeout_ms):
        entries = [entry_of(self._me, self._clock.wall_ms()).to_list()]
        ping = Ping(sender=self._me.address, digest=self._table.digest, entries=entries)
        return await self._peers.ask(address, ping, timeout_ms)

    async def _probe_indirectly(self, member):
        others = [address for address in self.targets() if address != member.address]
        chosen = self._random.sample(others, min(INDIRECT_PEERS, len(others)))
        if not chosen:
            return False
        request = PingRequest(address=member.address)
        timeout_ms = INDIRECT_TIMEOUT_MS * (1 + self._health)
        asks = [self._peers.ask(address, request, timeout_ms) for address in chosen]
        answers = await asyncio.gather(*asks, return_exceptions=True)
        return any(isinstance(answer, Ack) for answer in answers)

    def _missed(self, member, spent_ms, timeout_ms):
        allowed_ms = timeout_ms + INDIRECT_TIMEOUT_MS * (1 + self._health)
        if spent_ms > allowed_ms * PAUSED_FACTOR:
            # This process stood still: the silence says nothing about the other one.
            self._metrics.incr("membership.paused")
            return
        self._health = min(MOST_HEALTH, self._health + 1)
        current = self._members.get(member.id)
        if current is None or current.state != ALIVE:
            return
        log.info("membership: %s does not answer", member.id)
        self._publish(current, SUSPECT)

    def _publish(self, member, state):
        changed = Member.from_list(member.to_list())
        changed.state = state
        self._gossiper.publish(entry_of(changed, self._clock.wall_ms()))

    def _judge(self):
        """Declare dead the suspects that have not spoken up in time."""
        now_ms = self._clock.now_ms()
        patience_ms = PERIOD_MS * SUSPECT_PERIODS * max(1.0, math.log10(len(self.present())))
        patience_ms *= 1 + self._health
        for node, since_ms in list(self._suspected_ms.items()):
            member = self._members.get(node)
            if member is None or member.state != SUSPECT:
                del self._suspected_ms[node]
                continue
            if now_ms - since_ms > patience_ms:
                self._publish(member, DEAD)

    def _revive(self):
        """Now and then ask one dead node whether it is back."""
        now_ms = self._clock.now_ms()
        if self._revived_ms is None:
            self._revived_ms = now_ms + self._random.uniform(0, REVIVE_EVERY_MS)
        if now_ms < self._revived_ms:
            return
        self._revived_ms = now_ms + REVIVE_EVERY_MS
        dead = [member for member in self._members.values() if member.state == DEAD]
        if dead:
            self._start_sync(self._random.choice(dead).address)

    def _next(self):
        while self._order:
            member = self._members.get(self._order.pop())
            if member is not None and member.is_present and member.id != self._me.id:
                return member
        self._order = [node for node in self.present() if node != self._me.id]
        self._random.shuffle(self._order)
        return self._members.get(self._order.pop()) if self._order else None

    def _start_sync(self, address):
        if self._syncing:
            return
        self._syncing = True
        task = asyncio.get_running_loop().create_task(self._sync(address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _sync(self, address):
        try:
            await self._gossiper.sync(address)
        except PeerError as error:
            log.debug("membership: no exchange with %s: %s", address, error)
        finally:
            self._syncing = False

    def _take(self, entry):
        member = member_of(entry)
        if member.id == self._me.id:
            self._defend(member)
            return
        before = self._members.get(member.id)
        self._members[member.id] = member
        if member.state == SUSPECT:
            self._suspected_ms.setdefault(member.id, self._clock.now_ms())
        else:
            self._suspected_ms.pop(member.id, None)
        was_present = before is not None and before.is_present
        if was_present != member.is_present:
            self._changed(member)
        elif member.is_present and _differs(before, member):
            self._stale = True

    def _defend(self, claimed):
        """Contradict what others say of this node when it is not so."""
        if claimed.state == self._me.state and claimed.incarnation <= self._me.incarnation:
            return
        if self._me.state == LEFT:
            return
        self._metrics.incr("membership.defended")
        self._me.incarnation = claimed.incarnation
        # The listener runs inside put(): publish once that is over.
        asyncio.get_running_loop().call_soon(self.announce)

    def _changed(self, member):
        self._stale = True
        log.info("membership: %s is %s", member.id, member.state)
        self._events.record("member", node=member.id, state=member.state)
        for function in self._on_change:
            function()

    def _recount(self):
        """Count again who is present, if somebody came or went since the last time."""
        if not self._stale:
            return
        self._stale = False
        present = {node for node, member in self._members.items() if member.is_present}
        present.add(self._me.id)
        self._present = tuple(sorted(present))
        self._answering = tuple(
            node for node in self._present if self._members[node].state == ALIVE
        )
        others = [self._members[node] for node in self._present if node != self._me.id]
        self._targets = [member.address for member in others]
        self._near_targets = [
            member.address for member in others if member.data_centre == self._me.data_centre
        ]

    def _expire(self):
        """Now and then drop facts whose time is over, and the members they told of."""
        now_ms = self._clock.now_ms()
        if self._expired_ms is not None and now_ms - self._expired_ms < EXPIRE_EVERY_MS:
            return
        self._expired_ms = now_ms
        for entry in self._table.expire():
            if entry.kind == KIND and entry.key != self._me.id:
                self._members.pop(entry.key, None)


def _differs(before, member):
    return before.address != member.address or before.state != member.state
