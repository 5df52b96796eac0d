"""Has requests answered by other nodes while this node reaches no backend server."""

import asyncio
import logging
from contextlib import aclosing

from ..decisions import log_decision
from ..exceptions import (
    BackendRejected,
    DeadlinePassed,
    PeerError,
    PeerRefused,
    PeerUnreachable,
    Quarantined,
    QueryError,
    Ran,
    Unavailable,
    error_of,
)
from ..retry import jittered_ms
from .delegation_messages import (
    MAX_BODY_BYTES,
    DelegatedBody,
    DelegatedFailure,
    DelegatedTaken,
    pack_answer,
    pack_request,
    unpack_answer,
    unpack_request,
)
from .subquery_server import ONE_WAY_MS

log = logging.getLogger("relay")

# Nodes that are asked for one request, one after the other.
MAX_NODES = 3
# A node accepts a request within a round trip, unless it has used up its processor quota for some
# tens of milliseconds.
TAKEN_TIMEOUT_MS = 250.0
# With less time left, a request is not delegated.
MIN_REMAINING_MS = 30.0
AVOID_MS = 1_000.0
# A node whose configuration is too old asks the sender for its own within this time.
CATCH_UP_MS = 150.0
# A request that has failed waits this long for a check in progress to be decided.
DECISION_MS = 500.0
# Other nodes have said by then that they reach servers.
HELPERS_MS = 300.0
# Further ones are refused at once, so that callers go elsewhere.
MAX_IN_PROGRESS = 96
RETRY_MS = 500.0


class Delegation:
    """Sends requests to nodes that reach the servers while this node does not.

    A request that may run once at most goes to a second node only if the first one has said that it
    did not run. A request ends at its time limit here, whatever the other nodes do. No request is
    decided by an older configuration than this node's own, nor than the newest by which another
    node has decided one.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param reach_gossip: :class:`~auburnhollow.reach.ReachGossip`.
    :param peers: :class:`~auburnhollow.peers.Peers`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.

    ``state_exchange`` is the :class:`~auburnhollow.follow.StateExchange` that knows this node's
    version of the configuration, ``address`` this node's peer address.
    """

    __slots__ = (
        "_avoid_until_ms",
        "_clock",
        "_dispatcher",
        "_in_progress",
        "_newest_version",
        "_peers",
        "_random",
        "_reach_gossip",
        "_stranded",
        "_tasks",
        "address",
        "state_exchange",
    )

    def __init__(self, dispatcher, reach_gossip, peers, clock, random):
        self._dispatcher = dispatcher
        self._reach_gossip = reach_gossip
        self._peers = peers
        self._clock = clock
        self._random = random
        self._avoid_until_ms = {}
        self._in_progress = {}
        self._newest_version = 0
        self._stranded = asyncio.Event()
        self._tasks = set()
        self.address = None
        self.state_exchange = None
        dispatcher.reach.on_change = self._on_reach_change
        reach_gossip.on_change = self._update

    async def dispatch(self, request, route, dispatch_here):
        """Return the answer of this node, or of another one if this node reaches no server.

        :param dispatch_here: coroutine function that dispatches the request from this node.
        :raises QueryError: ``ran`` says whether a server may have run the request.
        """
        is_repeat = False
        attempts = route.attempts
        if not self._can_delegate(request):
            try:
                return await dispatch_here(request, route)
            except (BackendRejected, Unavailable) as error:
                await self._wait_for_check(request)
                if not self._can_delegate(request):
                    raise
                if not route.repeatable and error.ran is not Ran.NO:
                    raise
                is_repeat = error.ran is not Ran.NO
                attempts -= error.runs
                if attempts <= 0:
                    raise
        return await self._send(request, is_repeat, attempts)

    async def _wait_for_check(self, request):
        """Wait until it is known whether this node is cut off, and other nodes are not.

        Without a check in progress, or long after it, it returns at once.
        """
        reach = self._dispatcher.reach
        if not reach.is_deciding and (reach.cut_off_ms is None or reach.cut_off_ms > HELPERS_MS):
            return
        remaining_ms = request.limit_ms - self._clock.now_ms()
        try:
            async with self._clock.timeout(min(DECISION_MS, remaining_ms / 2)):
                await reach.decided()
                if reach.is_cut_off:
                    await self._stranded.wait()
        except TimeoutError:
            return

    def _can_delegate(self, request):
        return (
            self._dispatcher.is_stranded
            and len(request.body) <= MAX_BODY_BYTES
            and request.limit_ms - self._clock.now_ms() > MIN_REMAINING_MS
        )

    def _on_reach_change(self, _is_cut_off):
        self._reach_gossip.publish()
        self._update()

    def _update(self):
        """Give up the calls in progress if this node is cut off and others are not."""
        is_stranded = self._dispatcher.reach.is_cut_off and bool(self._reach_gossip.reaching())
        if is_stranded:
            self._stranded.set()
        else:
            self._stranded.clear()
        self._dispatcher.set_stranded(is_stranded)

    async def _send(self, request, is_repeat, attempts):
        """Send a request to other nodes, one after the other, until one has answered it.

        A node that gives no answer may have used all attempts.
        """
        asked = []
        error = None
        while len(asked) < MAX_NODES:
            remaining_ms = request.limit_ms - self._clock.now_ms()
            member = self._choose(request, asked)
            if member is None or remaining_ms <= MIN_REMAINING_MS:
                break
            asked.append(member.id)
            try:
                async with self._clock.patient_timeout(remaining_ms):
                    return await self._ask(member, request, is_repeat, attempts)
            except TimeoutError as failure:
                self._avoid(request, member, failure)
                raise DeadlinePassed(
                    f"{member.id}: no answer in time", ran=Ran.UNKNOWN
                ) from failure
            except (PeerUnreachable, PeerRefused) as failure:
                error = failure
                self._avoid(request, member, failure)
            except PeerError as failure:
                self._avoid(request, member, failure)
                raise BackendRejected(
                    f"{member.id}: no answer: {failure}", ran=Ran.UNKNOWN
                ) from failure
            except QueryError as failure:
                if failure.ran is not Ran.NO or isinstance(failure, Quarantined):
                    raise
                error = failure
        raise self._failure(asked, error, is_repeat)

    def _failure(self, asked, error, is_repeat):
        if isinstance(error, QueryError):
            if is_repeat:
                error.ran = Ran.UNKNOWN
            return error
        return self._dispatcher.unavailable(
            f"no server is reached from here, nor through {len(asked)} other nodes: {error}",
            ran=Ran.UNKNOWN if is_repeat else Ran.NO,
            retry_ms=RETRY_MS,
        )

    async def _ask(self, member, request, is_repeat, attempts):
        """Return the answer of another node.

        :raises QueryError: when it has failed to answer.
        :raises PeerError: as :meth:`~auburnhollow.peers.Peers.stream` does.
        """
        version = self._least_version(member)
        sender = None if version is None else self.address
        message = pack_request(request, self._clock.now_ms(), is_repeat, attempts, version, sender)
        log_decision(
            log,
            "request delegated",
            request.id,
            through=member.id,
            is_repeat=is_repeat,
            version=version,
        )
        self._dispatcher.metrics.incr("relay.delegated")
        self._in_progress[member.id] = self._in_progress.get(member.id, 0) + 1
        try:
            return await self._receive(member, message)
        finally:
            self._in_progress[member.id] -= 1
            if not self._in_progress[member.id]:
                del self._in_progress[member.id]

    def _least_version(self, member):
        """Return the oldest version by which a node may decide, ``None`` if it can't compare."""
        if self.state_exchange is None or not self._reach_gossip.compares_versions(member.id):
            return None
        return max(self._newest_version, self.state_exchange.version)

    def _hear_version(self, member, version):
        """Take over the configuration of another node if it is newer."""
        if version is None or version <= self._newest_version:
            return
        self._newest_version = version
        task = asyncio.get_running_loop().create_task(
            self.state_exchange.catch_up(member.address, version)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _receive(self, member, message):
        parts = []
        is_taken = False
        try:
            stream = self._peers.stream(member.address, message, TAKEN_TIMEOUT_MS)
            async with aclosing(stream) as answers:
                async for answer in answers:
                    if isinstance(answer, DelegatedTaken):
                        is_taken = True
                        self._hear_version(member, answer.version)
                        continue
                    if isinstance(answer, DelegatedBody):
                        parts.append(answer.data)
                        continue
                    if isinstance(answer, DelegatedFailure):
                        raise error_of(
                            answer.code, answer.detail, Ran(answer.ran), answer.retry_after_ms
                        )
                    return unpack_answer(answer, b"".join(parts))
        except PeerRefused as error:
            if is_taken:
                raise PeerError(f"{member.id}: refused after it had accepted: {error}") from error
            raise
        raise PeerError(f"{member.id}: the answer has no end")

    def _avoid(self, request, member, error):
        self._avoid_until_ms[member.id] = self._clock.now_ms() + AVOID_MS
        log_decision(
            log, "delegated request lost", request.id, through=member.id, error=repr(error)
        )

    def _choose(self, request, asked):
        """Return the node with the fewest requests of this node, or ``None``.

        It lies in a home of the request. Nodes that compare versions are preferred.

        It is one of this data centre if it has as many nodes that reach servers as nodes that do
        not: otherwise these few would get all of the requests.
        """
        now_ms = self._clock.now_ms()
        gate = self._dispatcher.gate
        candidates = []
        for member in self._reach_gossip.reaching():
            if member.id in asked or self._avoid_until_ms.get(member.id, 0.0) > now_ms:
                continue
            if not gate.may_hold(request, member.data_centre):
                continue
            candidates.append(member)
        if not candidates:
            return None
        comparing = [
            member for member in candidates if self._reach_gossip.compares_versions(member.id)
        ]
        candidates = comparing or candidates
        data_centre = self._dispatcher.choice.data_centre
        near = [member for member in candidates if member.data_centre == data_centre]
        if near and len(near) >= self._reach_gossip.count_cut_off(data_centre):
            candidates = near
        self._random.shuffle(candidates)
        return min(candidates, key=lambda member: self._in_progress.get(member.id, 0))


class DelegationServer:
    """Answers the requests that other nodes delegate to this one; they are not passed on again.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param handle: coroutine function that answers a request, given whether it is a repeat and on
        how many servers of each service it may run.
    :param is_open: function that returns whether this node accepts requests.
    :param random: a :class:`random.Random`.

    ``state_exchange`` is the :class:`~auburnhollow.follow.StateExchange` of this node.
    """

    __slots__ = ("_dispatcher", "_handle", "_in_progress", "_is_open", "_random", "state_exchange")

    def __init__(self, dispatcher, handle, is_open, random):
        self._dispatcher = dispatcher
        self._handle = handle
        self._is_open = is_open
        self._random = random
        self._in_progress = 0
        self.state_exchange = None

    @property
    def in_progress(self):
        """How many delegated requests are being answered."""
        return self._in_progress

    async def answer(self, message):
        """Yield the answers to a :class:`DelegatedRequest`.

        :raises Unavailable: if this node does not accept it.
        """
        if not self._is_open() or self._in_progress >= MAX_IN_PROGRESS:
            raise self._unavailable("this node accepts no delegated requests now")
        if message.version is not None and not await self._catch_up(message):
            raise self._unavailable("this node's configuration is older than the sender's")
        dispatcher = self._dispatcher
        request = unpack_request(message, dispatcher.clock.now_ms(), ONE_WAY_MS)
        dispatcher.metrics.incr("relay.delegated_taken")
        log_decision(
            log,
            "delegated request taken",
            request.id,
            age_ms=round(message.age_ms),
            left_ms=round(message.remaining_ms),
            is_repeat=message.is_repeat,
        )
        self._in_progress += 1
        try:
            yield DelegatedTaken(version=self._version_for(message))
            for each in await self._answers(request, message):
                yield each
        finally:
            self._in_progress -= 1

    async def _catch_up(self, message):
        """Return whether this node has the configuration that a request needs, or now gets it."""
        exchange = self.state_exchange
        if exchange.version >= message.version:
            return True
        return await exchange.catch_up(message.sender, message.version, CATCH_UP_MS)

    def _version_for(self, message):
        return None if message.version is None else self.state_exchange.version

    def _unavailable(self, detail):
        return Unavailable(detail, ran=Ran.NO, retry_after_ms=jittered_ms(self._random, RETRY_MS))

    async def _answers(self, request, message):
        try:
            answer = await self._handle(request, message.is_repeat, message.attempts)
            return pack_answer(answer)
        except QueryError as error:
            failure = DelegatedFailure(
                code=error.code,
                detail=error.detail,
                ran=str(error.ran),
                retry_after_ms=error.retry_after_ms,
            )
            return [failure]
