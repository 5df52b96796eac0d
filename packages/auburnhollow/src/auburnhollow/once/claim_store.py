"""Writing claims to the store, many in one write."""

import asyncio
import logging

from ..backing.store import resolve_swap
from ..exceptions import Overloaded, StoreError, StoreUnavailable
from ..records import Record
from .claims import CLAIMED, VOID, Claim, ClaimRecord

log = logging.getLogger("once")

KEEP_MS = 7_200_000
LARGEST_RECORD = 900_000
BURST_WRITES = 5.0
WRITES_PER_S = 10.0
SETTLE_WAIT_MS = 500.0
CONFLICT_TRIES = 8
IDLE_MS = 120_000.0
FULL_RETRY_MS = 60_000


class Wish(Record):
    """One change that waits to be written, and who waits for it."""

    __slots__ = ("ask", "apply", "waiter")


class RecordWriter:
    """Writes one record: everything that has come since the last write goes in the next.

    What can wait, such as outcomes, goes with the next claim or after a while.

    A write is a compare-and-swap on the record, so two writers of one record never undo each
    other; whoever is late reads again. At most ``WRITES_PER_S`` go out, with a small burst, so
    that load makes the batches larger and not the writes more.
    """

    __slots__ = (
        "_clock",
        "_metrics",
        "_record",
        "_record_key",
        "_revision",
        "_store",
        "_task",
        "_tokens",
        "_tokens_ms",
        "_wishes",
        "used_ms",
    )

    def __init__(self, record_key, store, clock, metrics):
        self._record_key = record_key
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._record = None
        self._revision = None
        self._wishes = []
        self._task = None
        self._tokens = BURST_WRITES
        self._tokens_ms = clock.now_ms()
        self.used_ms = clock.now_ms()

    @property
    def is_busy(self):
        """Whether a write is in progress or waits."""
        return self._task is not None or bool(self._wishes)

    async def write(self, ask, apply, wait_ms=0.0):
        """Apply a change in the next write; return the claim that stands after it.

        :param apply: function of the record and ``ask`` that changes the record.
        :param wait_ms: how long the change may wait for others to go with, in milliseconds.
        :raises StoreUnavailable: when nothing was written.
        :raises StoreOutcomeUnknown: when the change may have been written.
        """
        self.used_ms = self._clock.now_ms()
        waiter = asyncio.get_running_loop().create_future()
        self._wishes.append(Wish(ask=ask, apply=apply, waiter=waiter))
        if wait_ms > 0:
            asyncio.get_running_loop().call_later(wait_ms / 1000, self._start)
        else:
            self._start()
        return await waiter

    def _start(self):
        if self._task is None and self._wishes:
            self._task = asyncio.get_running_loop().create_task(self._run())

    async def _run(self):
        try:
            while self._wishes:
                await self._take_turn()
                wishes, self._wishes = self._wishes, []
                try:
                    await self._write(wishes)
                except (StoreError, Overloaded) as error:
                    self._record = None
                    _fail(wishes, error)
        except BaseException as error:
            _fail(self._wishes, StoreUnavailable(f"{self._record_key}: {error!r}"))
            self._wishes = []
            raise
        finally:
            self._task = None

    async def _take_turn(self):
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._tokens_ms) * WRITES_PER_S / 1000
        self._tokens = min(BURST_WRITES, self._tokens + earned)
        self._tokens_ms = now_ms
        if self._tokens < 1.0:
            await self._clock.sleep((1.0 - self._tokens) / WRITES_PER_S * 1000)
            self._tokens = 1.0
            self._tokens_ms = self._clock.now_ms()
        self._tokens -= 1.0

    async def _write(self, wishes):
        for _ in range(CONFLICT_TRIES):
            if self._record is None:
                await self._read()
            changed = self._record.copy()
            for wish in wishes:
                wish.apply(changed, wish.ask)
            if changed.claims == self._record.claims:
                break
            data = changed.to_bytes()
            if len(data) > LARGEST_RECORD:
                raise Overloaded("the record of this key is full", retry_after_ms=FULL_RETRY_MS)
            if await self._swap(changed, data):
                self._metrics.incr("once.writes")
                self._metrics.incr("once.written", len(wishes))
                break
        else:
            raise StoreUnavailable(f"{self._record_key}: {CONFLICT_TRIES} conflicts in a row")
        for wish in wishes:
            if not wish.waiter.done():
                wish.waiter.set_result(self._record.claims.get(wish.ask.key))

    async def _swap(self, changed, data):
        def is_ours(value):
            return value == data

        self._record = None
        revision, other = await resolve_swap(
            self._store, self._record_key, self._revision, data, is_ours, lease_ms=KEEP_MS
        )
        if revision is None:
            self._metrics.incr("once.conflicts")
            self._record = ClaimRecord.from_bytes(other.value)
            self._revision = other.revision
            return False
        self._record = changed
        self._revision = revision
        return True

    async def _read(self):
        entry = await self._store.get(self._record_key)
        self._record = ClaimRecord.from_bytes(entry.value)
        self._revision = entry.revision


class ClaimStore:
    """All record writers of one node.

    :param store: :class:`~auburnhollow.backing.Store`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param metrics: :class:`~auburnhollow.metrics.Metrics`.

    >>> claim = await claim_store.claim(ask)
    >>> claim.attempt == ask.attempt
    True
    """

    __slots__ = ("_clock", "_metrics", "_store", "_writers")

    def __init__(self, store, clock, metrics):
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._writers = {}

    async def claim(self, ask):
        """Return the :class:`Claim` that stands for the key after :class:`ClaimAsk`."""
        return await self._writer(ask.record_key).write(ask, apply_claim)

    async def settle(self, ask):
        """Keep the end of an attempt, :class:`SettleAsk`; return the claim that stands."""
        return await self._writer(ask.record_key).write(ask, apply_settle, wait_ms=SETTLE_WAIT_MS)

    def _writer(self, record_key):
        writer = self._writers.get(record_key)
        if writer is None:
            self._drop_idle()
            writer = RecordWriter(record_key, self._store, self._clock, self._metrics)
            self._writers[record_key] = writer
        return writer

    def _drop_idle(self):
        now_ms = self._clock.now_ms()
        for record_key, writer in list(self._writers.items()):
            if not writer.is_busy and now_ms - writer.used_ms > IDLE_MS:
                del self._writers[record_key]


def apply_claim(record, ask):
    """Claim a key that is free, void, or held by an attempt that was given up."""
    known = record.claims.get(ask.key)
    if known is not None and known.attempt != ask.attempt:
        given_up = known.state == CLAIMED and known.attempt == ask.instead_of
        if known.state != VOID and not given_up:
            return
    if known is not None and known.attempt == ask.attempt:
        return
    record.claims[ask.key] = Claim(
        attempt=ask.attempt, body_hash=ask.body_hash, state=CLAIMED, outcome=None
    )


def apply_settle(record, ask):
    """Keep the end of an attempt that still holds its claim."""
    known = record.claims.get(ask.key)
    if known is None or known.attempt != ask.attempt or known.state != CLAIMED:
        return
    record.claims[ask.key] = Claim(
        attempt=known.attempt, body_hash=known.body_hash, state=ask.state, outcome=ask.outcome
    )


def _fail(wishes, error):
    for wish in wishes:
        if not wish.waiter.done():
            wish.waiter.set_exception(error)
