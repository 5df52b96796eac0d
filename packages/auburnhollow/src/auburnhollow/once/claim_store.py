"""Writes claims to the store in batches."""

import asyncio
import logging

from ..backing.store import resolve_swap
from ..exceptions import Overloaded, StoreError, StoreUnavailable
from ..records import Record
from .claims import CLAIMED, VOID, Claim, ClaimRecord

log = logging.getLogger("once")

CLAIM_RETENTION_MS = 7_200_000
MAX_RECORD_BYTES = 900_000
# Token bucket that limits the writes of each record.
WRITE_BURST = 5.0
WRITES_PER_S = 10.0
OUTCOME_BATCH_DELAY_MS = 500.0
MAX_CONFLICTS = 8
WRITER_IDLE_MS = 120_000.0
FULL_RECORD_RETRY_MS = 60_000


class PendingChange(Record):
    """One change that waits to be written; ``waiter`` is the future of its result."""

    __slots__ = ("ask", "apply", "waiter")


class RecordWriter:
    """Writes one record; each write holds all changes that arrived since the one before.

    Changes that can wait, such as outcomes, are written with the next claim or after a delay.

    A write is a compare-and-swap on the record, so concurrent writers never overwrite each other;
    a writer that loses the race reads the record and tries again. Writes are limited to
    ``WRITES_PER_S``, with a small burst, so that higher load makes larger batches instead of more
    writes.
    """

    __slots__ = (
        "_clock",
        "_metrics",
        "_pending",
        "_record",
        "_record_key",
        "_revision",
        "_store",
        "_task",
        "_tokens",
        "_tokens_updated_ms",
        "last_used_ms",
    )

    def __init__(self, record_key, store, clock, metrics):
        self._record_key = record_key
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._record = None
        self._revision = None
        self._pending = []
        self._task = None
        self._tokens = WRITE_BURST
        self._tokens_updated_ms = clock.now_ms()
        self.last_used_ms = clock.now_ms()

    @property
    def is_busy(self):
        """Whether a write is in progress or waits."""
        return self._task is not None or bool(self._pending)

    async def write(self, ask, apply, wait_ms=0.0):
        """Apply a change in the next write; return the claim of the key after it.

        :param apply: function of the record and ``ask`` that changes the record.
        :param wait_ms: how long the change may wait to be batched with others, in milliseconds.
        :raises StoreUnavailable: when nothing was written.
        :raises StoreOutcomeUnknown: when the change may have been written.
        """
        self.last_used_ms = self._clock.now_ms()
        waiter = asyncio.get_running_loop().create_future()
        self._pending.append(PendingChange(ask=ask, apply=apply, waiter=waiter))
        if wait_ms > 0:
            asyncio.get_running_loop().call_later(wait_ms / 1000, self._start)
        else:
            self._start()
        return await waiter

    def _start(self):
        if self._task is None and self._pending:
            self._task = asyncio.get_running_loop().create_task(self._write_pending())

    async def _write_pending(self):
        try:
            while self._pending:
                await self._wait_for_token()
                changes, self._pending = self._pending, []
                try:
                    await self._write_batch(changes)
                except (StoreError, Overloaded) as error:
                    self._record = None
                    _fail_changes(changes, error)
        except BaseException as error:
            _fail_changes(self._pending, StoreUnavailable(f"{self._record_key}: {error!r}"))
            self._pending = []
            raise
        finally:
            self._task = None

    async def _wait_for_token(self):
        now_ms = self._clock.now_ms()
        earned = (now_ms - self._tokens_updated_ms) * WRITES_PER_S / 1000
        self._tokens = min(WRITE_BURST, self._tokens + earned)
        self._tokens_updated_ms = now_ms
        if self._tokens < 1.0:
            await self._clock.sleep((1.0 - self._tokens) / WRITES_PER_S * 1000)
            self._tokens = 1.0
            self._tokens_updated_ms = self._clock.now_ms()
        self._tokens -= 1.0

    async def _write_batch(self, changes):
        for _ in range(MAX_CONFLICTS):
            if self._record is None:
                await self._read()
            updated = self._record.copy()
            for change in changes:
                change.apply(updated, change.ask)
            if updated.claims == self._record.claims:
                break
            data = updated.to_bytes()
            if len(data) > MAX_RECORD_BYTES:
                raise Overloaded(
                    "the record of this key is full", retry_after_ms=FULL_RECORD_RETRY_MS
                )
            if await self._swap(updated, data):
                self._metrics.incr("once.writes")
                self._metrics.incr("once.written", len(changes))
                break
        else:
            raise StoreUnavailable(f"{self._record_key}: {MAX_CONFLICTS} conflicts in a row")
        for change in changes:
            if not change.waiter.done():
                change.waiter.set_result(self._record.claims.get(change.ask.key))

    async def _swap(self, updated, data):
        def is_ours(value):
            return value == data

        self._record = None
        revision, other = await resolve_swap(
            self._store,
            self._record_key,
            self._revision,
            data,
            is_ours,
            lease_ms=CLAIM_RETENTION_MS,
        )
        if revision is None:
            self._metrics.incr("once.conflicts")
            self._record = ClaimRecord.from_bytes(other.value)
            self._revision = other.revision
            return False
        self._record = updated
        self._revision = revision
        return True

    async def _read(self):
        entry = await self._store.get(self._record_key)
        self._record = ClaimRecord.from_bytes(entry.value)
        self._revision = entry.revision


class ClaimStore:
    """Reads and writes claims; holds the record writers of one node.

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
        """Apply a :class:`ClaimAsk`; return the current :class:`Claim` of its key."""
        return await self._writer(ask.record_key).write(ask, apply_claim)

    async def write_outcome(self, ask):
        """Apply a :class:`StoreOutcomeAsk`; return the current :class:`Claim` of its key."""
        return await self._writer(ask.record_key).write(
            ask, apply_outcome, wait_ms=OUTCOME_BATCH_DELAY_MS
        )

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
            if not writer.is_busy and now_ms - writer.last_used_ms > WRITER_IDLE_MS:
                del self._writers[record_key]


def apply_claim(record, ask):
    """Claim a key that is free, void, or held by an abandoned attempt."""
    existing = record.claims.get(ask.key)
    if existing is not None and existing.attempt != ask.attempt:
        is_abandoned = existing.state == CLAIMED and existing.attempt == ask.instead_of
        if existing.state != VOID and not is_abandoned:
            return
    if existing is not None and existing.attempt == ask.attempt:
        return
    record.claims[ask.key] = Claim(
        attempt=ask.attempt, body_hash=ask.body_hash, state=CLAIMED, outcome=None
    )


def apply_outcome(record, ask):
    """Store the outcome of an attempt that still holds its claim."""
    existing = record.claims.get(ask.key)
    if existing is None or existing.attempt != ask.attempt or existing.state != CLAIMED:
        return
    record.claims[ask.key] = Claim(
        attempt=existing.attempt, body_hash=existing.body_hash, state=ask.state, outcome=ask.outcome
    )


def _fail_changes(changes, error):
    for change in changes:
        if not change.waiter.done():
            change.waiter.set_exception(error)
