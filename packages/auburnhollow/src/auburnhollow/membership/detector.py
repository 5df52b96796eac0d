"""Membership and failure detection among nodes."""

import asyncio
import logging
import math

from ..exceptions import PeerError
from .members import ALIVE, DEAD, KIND, LEFT, SUSPECT, Member, entry_of, member_of
from .messages import Ack, NearbyAnswer, NearbyAsk, Ping, PingRequest

log = logging.getLogger("membership")

PROBE_PERIOD_MS = 1_000.0
PING_TIMEOUT_MS = 400.0
INDIRECT_TIMEOUT_MS = 900.0
INDIRECT_PEERS = 3
SUSPECT_PERIODS = 3.0
PAUSED_FACTOR = 2.0
DEAD_PROBE_INTERVAL_MS = 10_000.0
# Missed answers raise the score of this node, which lengthens its timeouts for others.
MAX_HEALTH_SCORE = 8
NEARBY_TIMEOUT_MS = 400.0
# One of them may have died. After two failures, the sync uses the node that named them: it has
# just answered.
MAX_NEARBY_PEERS = 2
EXPIRY_INTERVAL_MS = 30_000.0


class Membership:
    """Maintains the list of nodes and detects failed ones.

    Each period one node is pinged, indirectly through other nodes if it does not answer. A node
    that does not answer at all becomes a suspect and is declared dead unless it refutes the
    suspicion in time (SWIM: A. Das et al., 2002). A node that was itself paused, or that missed
    answers recently, grants others more time (after Lifeguard: A. Dadgar et al., 2018). Dead nodes
    are contacted periodically, so that the two sides of a partition find each other again.
    Correctness never depends on two nodes having the same list.

    :param me: the :class:`Member` of this node; its initial incarnation derives from its start.
    :param table: :class:`~auburnhollow.gossip.GossipTable`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    :param events: :class:`~auburnhollow.events.Recorder`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.
    """

    __slots__ = (
        "_answering",
        "_clock",
        "_events",
        "_gossiper",
        "_health_score",
        "_last_expiry_ms",
        "_listeners",
        "_me",
        "_members",
        "_metrics",
        "_near_targets",
        "_next_dead_probe_ms",
        "_peers",
        "_present",
        "_probe_order",
        "_random",
        "_suspected_ms",
        "_syncing",
        "_table",
        "_targets",
        "_tasks",
        "_views_stale",
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
        self._last_expiry_ms = None
        self._targets = []
        self._near_targets = []
        self._probe_order = []
        self._suspected_ms = {}
        self._health_score = 0
        self._next_dead_probe_ms = None
        self._views_stale = False
        self._syncing = False
        self._tasks = set()
        self._listeners = []
        table.on(KIND, self._on_entry)

    @property
    def me(self):
        """The :class:`Member` of this node."""
        return self._me

    @property
    def members(self):
        """All known members by id, including dead ones until their entries expire."""
        return self._members

    def present(self):
        """Return the ids of all live nodes, suspects included.

        The same tuple is returned until membership changes.
        """
        self._refresh_views()
        return self._present

    def answering(self):
        """Return the ids of the live nodes that are not suspects.

        The same tuple is returned until membership changes.
        """
        self._refresh_views()
        return self._answering

    def targets(self):
        """Return the peer addresses of all other live nodes."""
        self._refresh_views()
        return self._targets

    def near_targets(self):
        """Return the peer addresses of the other live nodes in this data centre."""
        self._refresh_views()
        return self._near_targets

    def on_change(self, listener):
        """Call ``listener`` without arguments after a node joined, left or died."""
        self._listeners.append(listener)

    def join(self, gossiper):
        """Start using ``gossiper`` and publish this node's own entry."""
        self._gossiper = gossiper
        gossiper.publish(entry_of(self._me, self._clock.wall_ms()))

    def announce(self, **changes):
        """Publish changed attributes of this node, such as ``revision`` or ``ready``."""
        for name, value in changes.items():
            setattr(self._me, name, value)
        self._me.incarnation += 1
        self._gossiper.publish(entry_of(self._me, self._clock.wall_ms()))

    def leave(self):
        """Announce that this node is leaving permanently."""
        self.announce(state=LEFT, ready=False)

    async def contact(self, address):
        """Join the fleet through the node at ``address``.

        If that node names live nodes in this data centre, the gossip table is synced with one of
        them: links between data centres are costly, and all nodes may start with the same few
        addresses.

        :raises PeerError: when the node does not answer.
        """
        for nearby in await self._nearby_addresses(address):
            try:
                await self._gossiper.sync(nearby)
            except PeerError as error:
                log.debug("membership: sync with %s failed: %s", nearby, error)
                continue
            return
        await self._gossiper.sync(address)

    async def _nearby_addresses(self, address):
        """Ask the node at ``address`` for addresses of nodes in this data centre."""
        ask = NearbyAsk(
            sender=self._me.address,
            data_centre=self._me.data_centre,
            entries=[entry_of(self._me, self._clock.wall_ms()).to_list()],
        )
        try:
            return (await self._peers.ask(address, ask, NEARBY_TIMEOUT_MS)).addresses
        except PeerError:
            # A node of an earlier release does not know this message and closes the connection.
            return ()

    async def run(self):
        """Probe the other nodes until cancelled."""
        while True:
            started_ms = self._clock.now_ms()
            await self._probe_next()
            self._expire_suspects()
            self._probe_dead_node()
            self._expire()
            elapsed_ms = self._clock.now_ms() - started_ms
            await self._clock.sleep(PROBE_PERIOD_MS * self._random.uniform(0.9, 1.1) - elapsed_ms)

    async def on_ping(self, message):
        """Answer a :class:`Ping`."""
        self._gossiper.receive(message.entries, message.sender)
        return Ack(node=self._me.id, digest=self._table.digest)

    async def on_ping_request(self, message):
        """Ping another node on behalf of a peer.

        :raises PeerError: when the node does not answer.
        """
        return await self._ping(message.address, PING_TIMEOUT_MS)

    async def on_nearby_ask(self, message):
        """Answer a :class:`NearbyAsk`."""
        self._refresh_views()
        addresses = [
            self._members[node].address
            for node in self._answering
            if self._members[node].data_centre == message.data_centre
            and self._members[node].address != message.sender
        ]
        self._gossiper.receive(message.entries, message.sender)
        return NearbyAnswer(
            addresses=self._random.sample(addresses, min(MAX_NEARBY_PEERS, len(addresses)))
        )

    async def _probe_next(self):
        member = self._next_target()
        if member is None:
            return
        started_ms = self._clock.now_ms()
        timeout_ms = PING_TIMEOUT_MS * (1 + self._health_score)
        try:
            answer = await self._ping(member.address, timeout_ms)
        except PeerError:
            if await self._probe_indirectly(member):
                self._health_score = max(0, self._health_score - 1)
                return
            self._on_no_response(member, self._clock.now_ms() - started_ms, timeout_ms)
            return
        self._health_score = max(0, self._health_score - 1)
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
        timeout_ms = INDIRECT_TIMEOUT_MS * (1 + self._health_score)
        asks = [self._peers.ask(address, request, timeout_ms) for address in chosen]
        answers = await asyncio.gather(*asks, return_exceptions=True)
        return any(isinstance(answer, Ack) for answer in answers)

    def _on_no_response(self, member, elapsed_ms, timeout_ms):
        allowed_ms = timeout_ms + INDIRECT_TIMEOUT_MS * (1 + self._health_score)
        if elapsed_ms > allowed_ms * PAUSED_FACTOR:
            # This process was paused, so the missing answer says nothing about the other node.
            self._metrics.incr("membership.paused")
            return
        self._health_score = min(MAX_HEALTH_SCORE, self._health_score + 1)
        current = self._members.get(member.id)
        if current is None or current.state != ALIVE:
            return
        log.info("membership: no answer from %s", member.id)
        self._publish_state(current, SUSPECT)

    def _publish_state(self, member, state):
        changed = Member.from_list(member.to_list())
        changed.state = state
        self._gossiper.publish(entry_of(changed, self._clock.wall_ms()))

    def _expire_suspects(self):
        """Declare dead the suspects that did not refute the suspicion in time."""
        now_ms = self._clock.now_ms()
        timeout_ms = PROBE_PERIOD_MS * SUSPECT_PERIODS * max(1.0, math.log10(len(self.present())))
        timeout_ms *= 1 + self._health_score
        for node, since_ms in list(self._suspected_ms.items()):
            member = self._members.get(node)
            if member is None or member.state != SUSPECT:
                del self._suspected_ms[node]
                continue
            if now_ms - since_ms > timeout_ms:
                self._publish_state(member, DEAD)

    def _probe_dead_node(self):
        """Try to sync with a random dead node every ``DEAD_PROBE_INTERVAL_MS``."""
        now_ms = self._clock.now_ms()
        if self._next_dead_probe_ms is None:
            self._next_dead_probe_ms = now_ms + self._random.uniform(0, DEAD_PROBE_INTERVAL_MS)
        if now_ms < self._next_dead_probe_ms:
            return
        self._next_dead_probe_ms = now_ms + DEAD_PROBE_INTERVAL_MS
        dead = [member for member in self._members.values() if member.state == DEAD]
        if dead:
            self._start_sync(self._random.choice(dead).address)

    def _next_target(self):
        while self._probe_order:
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.is_present and member.id != self._me.id:
                return member
        self._probe_order = [node for node in self.present() if node != self._me.id]
        self._random.shuffle(self._probe_order)
        return self._members.get(self._probe_order.pop()) if self._probe_order else None

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
            log.debug("membership: sync with %s failed: %s", address, error)
        finally:
            self._syncing = False

    def _on_entry(self, entry):
        member = member_of(entry)
        if member.id == self._me.id:
            self._refute(member)
            return
        previous = self._members.get(member.id)
        self._members[member.id] = member
        if member.state == SUSPECT:
            self._suspected_ms.setdefault(member.id, self._clock.now_ms())
        else:
            self._suspected_ms.pop(member.id, None)
        was_present = previous is not None and previous.is_present
        if was_present != member.is_present:
            self._notify_change(member)
        elif member.is_present and _differs(previous, member):
            self._views_stale = True

    def _refute(self, claimed):
        """Refute a false claim about this node by announcing a higher incarnation."""
        if claimed.state == self._me.state and claimed.incarnation <= self._me.incarnation:
            return
        if self._me.state == LEFT:
            return
        self._metrics.incr("membership.defended")
        self._me.incarnation = claimed.incarnation
        # This listener runs inside GossipTable.put(): announce after it has returned.
        asyncio.get_running_loop().call_soon(self.announce)

    def _notify_change(self, member):
        self._views_stale = True
        log.info("membership: %s is %s", member.id, member.state)
        self._events.record("member", node=member.id, state=member.state)
        for listener in self._listeners:
            listener()

    def _refresh_views(self):
        """Rebuild the cached id and address lists if membership has changed."""
        if not self._views_stale:
            return
        self._views_stale = False
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
        """Drop expired gossip entries, and their members, every ``EXPIRY_INTERVAL_MS``."""
        now_ms = self._clock.now_ms()
        if self._last_expiry_ms is not None and now_ms - self._last_expiry_ms < EXPIRY_INTERVAL_MS:
            return
        self._last_expiry_ms = now_ms
        for entry in self._table.expire():
            if entry.kind == KIND and entry.key != self._me.id:
                self._members.pop(entry.key, None)


def _differs(previous, member):
    return previous.address != member.address or previous.state != member.state
