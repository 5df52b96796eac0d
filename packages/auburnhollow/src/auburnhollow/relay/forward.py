"""Letting a node that is near the shards ask them, instead of each over a costly link."""

import logging

from ..decisions import decide
from ..exceptions import BackendRejected, PeerError, PeerUnreachable, QueryError, Ran
from ..peers.codec import Message, register
from .messages import Merged, Request

log = logging.getLogger("relay")

# Below this share of shards with a server in a data centre, its nodes are not near them.
NEAR_SHARE = 0.5
# A node that did not answer is left alone for as long as membership takes to notice.
LEFT_ALONE_MS = 5_000.0
CHOICE_MS = 500.0
# Time on the way here, which the caller has waited already.
WAY_MS = 4.0
# The near node answers by the objective; what comes later than this is not coming.
OVERDUE_MS = 400.0


@register("gather-ask")
class GatherAsk(Message):
    """A caller's request for all shards of ``route``; ``age_ms`` is how long it has waited."""

    __slots__ = (
        "id",
        "caller",
        "method",
        "host",
        "target",
        "headers",
        "body",
        "route",
        "age_ms",
        "remaining_ms",
    )


@register("gathered")
class Gathered(Message):
    """The merged answer."""

    __slots__ = ("body", "signatures", "missing")


@register("not-gathered")
class NotGathered(Message):
    """There is no answer; ``ran`` tells whether servers may have acted on the request."""

    __slots__ = ("detail", "ran")


class Forwarder:
    """Passes requests for all shards to a node in a data centre that has them.

    :param peers: :class:`~auburnhollow.peers.PeerLink`.
    :param membership: :class:`~auburnhollow.membership.Membership`.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param data_centre: where this node runs.
    :param regions: dictionary of data centres to regions.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.

    >>> merged = await forwarder.gather(request, route)
    """

    __slots__ = (
        "_centres",
        "_clock",
        "_data_centre",
        "_left_alone",
        "_membership",
        "_peers",
        "_random",
        "_regions",
        "_registry",
    )

    def __init__(self, peers, membership, registry, data_centre, regions, clock, random):
        self._peers = peers
        self._membership = membership
        self._registry = registry
        self._data_centre = data_centre
        self._regions = regions
        self._clock = clock
        self._random = random
        self._centres = {}
        self._left_alone = {}

    async def gather(self, request, route):
        """Return the :class:`Merged` answer of a near node, ``None`` when this node is to ask.

        :raises QueryError: when the near node may have asked servers and gave no answer.
        """
        node = self._choose(route)
        if node is None:
            return None
        now_ms = self._clock.now_ms()
        limit_ms = min(request.limit_ms, request.received_ms + route.objective_ms + OVERDUE_MS)
        if limit_ms <= now_ms:
            return None
        ask = GatherAsk(
            id=request.id,
            caller=request.caller,
            method=request.method,
            host=request.host,
            target=request.target,
            headers=[list(pair) for pair in request.headers],
            body=request.body,
            route=route.name,
            age_ms=now_ms - request.received_ms,
            remaining_ms=request.limit_ms - now_ms,
        )
        try:
            answer = await self._peers.ask_until_left(node.address, ask, limit_ms - now_ms)
        except PeerUnreachable as error:
            self._leave_alone(node, error)
            return None
        except PeerError as error:
            self._leave_alone(node, error)
            raise BackendRejected(f"{node.id}: {error}", ran=Ran.UNKNOWN) from error
        if isinstance(answer, Gathered):
            return Merged.from_list(answer.to_list())
        if isinstance(answer, NotGathered) and Ran(answer.ran) is not Ran.NO:
            raise BackendRejected(f"{node.id}: {answer.detail}", ran=Ran.UNKNOWN)
        decide(log, "asked by this node", request.id, near=node.id, answer=repr(answer))
        return None

    def _choose(self, route):
        """Return the :class:`~auburnhollow.membership.Member` to ask, or ``None``."""
        centre = self._centre(route)
        if centre is None:
            return None
        now_ms = self._clock.now_ms()
        members = self._membership.members
        near = []
        for name in self._membership.answering():
            member = members[name]
            if member.data_centre != centre or not member.ready:
                continue
            if self._left_alone.get(name, 0.0) <= now_ms:
                near.append(member)
        return self._random.choice(near) if near else None

    def _centre(self, route):
        """Return the data centre that has the shards, ``None`` when it is this one or none."""
        now_ms = self._clock.now_ms()
        known = self._centres.get(route.name)
        if known is not None and now_ms < known[0]:
            return known[1]
        centre = self._find_centre(route)
        self._centres[route.name] = (now_ms + CHOICE_MS, centre)
        return centre

    def _find_centre(self, route):
        counts = {}
        for shard in route.shards:
            for centre in {server.data_centre for server in self._registry.usable(shard)}:
                counts[centre] = counts.get(centre, 0) + 1
        enough = NEAR_SHARE * len(route.shards)
        if counts.get(self._data_centre, 0) >= enough:
            return None
        region = self._regions.get(self._data_centre)
        near = []
        for centre, count in counts.items():
            if count >= enough and self._regions.get(centre) == region:
                near.append(centre)
        return min(near, default=None)

    def _leave_alone(self, node, error):
        self._left_alone[node.id] = self._clock.now_ms() + LEFT_ALONE_MS
        decide(log, "node left alone", node=node.id, error=str(error))


class ForwardServer:
    """Answers nodes that are not near the shards.

    :param handle: coroutine function of a :class:`Request` that returns its :class:`Merged` answer.
    :param is_open: function that returns whether requests are taken.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_handle", "_is_open")

    def __init__(self, handle, is_open, clock):
        self._handle = handle
        self._is_open = is_open
        self._clock = clock

    async def answer(self, message):
        """Answer a :class:`GatherAsk`."""
        if not self._is_open():
            return NotGathered(detail="this node takes no requests", ran=Ran.NO.value)
        now_ms = self._clock.now_ms() - WAY_MS
        request = Request(
            id=message.id,
            caller=message.caller,
            method=message.method,
            host=message.host,
            target=message.target,
            headers=[tuple(pair) for pair in message.headers],
            body=message.body,
            received_ms=now_ms - message.age_ms,
            limit_ms=now_ms + message.remaining_ms,
        )
        try:
            merged = await self._handle(request)
        except QueryError as error:
            return NotGathered(detail=error.detail, ran=error.ran.value)
        if not isinstance(merged, Merged):
            return NotGathered(detail="the route has no shards here", ran=Ran.UNKNOWN.value)
        return Gathered.from_list(merged.to_list())
