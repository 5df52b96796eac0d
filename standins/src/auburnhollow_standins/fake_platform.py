"""Fakes of the platform's services, for tests in virtual time."""

import asyncio

from auburnhollow.backing import InstanceList, KeyValue, Store
from auburnhollow.exceptions import StoreOutcomeUnknown, StoreUnavailable


class Pausable:
    """Something that can stand still: calls wait until it goes on."""

    __slots__ = ("_going",)

    def __init__(self):
        self._going = asyncio.Event()
        self._going.set()

    @property
    def is_paused(self):
        """Whether it stands still."""
        return not self._going.is_set()

    def pause(self):
        """Stand still."""
        self._going.clear()

    def resume(self):
        """Go on."""
        self._going.set()

    async def ready(self):
        """Wait until it goes on."""
        await self._going.wait()


class SharedStore:
    """The contents of a key-value service and its faults.

    ``lose_answer_chance`` is the chance that a write that took effect is not answered;
    ``lose_call_chance`` that it did not take effect and is not answered either.
    """

    def __init__(self, random, delay_ms=2.0):
        self.entries = {}
        self.is_down = False
        self.delay_ms = delay_ms
        self.lose_answer_chance = 0.0
        self.lose_call_chance = 0.0
        self.counts = {"reads": 0, "writes": 0, "watches": 0}
        self.random = random
        self.revision = 0
        self.watchers = {}

    def put(self, key, value):
        """Write a key and tell its watchers."""
        entry = KeyValue(key=key, value=value, revision=self.revision)
        self.entries[key] = entry
        for queue in self.watchers.get(key, ()):
            queue.put_nowait(entry)

    def end_watches(self):
        """End all watches, as an outage does."""
        for queues in self.watchers.values():
            for queue in queues:
                queue.put_nowait(None)


class FakeStore(Store):
    """One node's view of a :class:`SharedStore`."""

    __slots__ = ("_clock", "_pausable", "_shared", "is_cut")

    def __init__(self, shared, clock, pausable=None):
        self._shared = shared
        self._clock = clock
        self._pausable = pausable or Pausable()
        self.is_cut = False

    async def get(self, key):
        """Return a :class:`KeyValue`."""
        await self._enter("reads")
        found = self._shared.entries.get(key)
        entry = found or KeyValue(key=key, value=None, revision=0)
        await self._pausable.ready()
        return entry

    async def scan(self, prefix, limit=100):
        """Return up to ``limit`` entries below ``prefix``, highest key first."""
        await self._enter("reads")
        keys = sorted(key for key in self._shared.entries if key.startswith(prefix))
        return [self._shared.entries[key] for key in reversed(keys)][:limit]

    async def swap(self, key, revision, value, also=(), lease_ms=None):
        """Write if the key is still at ``revision``."""
        shared = self._shared
        await self._enter("writes")
        if shared.random.random() < shared.lose_call_chance:
            raise StoreOutcomeUnknown(f"{key}: call lost")
        known = shared.entries.get(key)
        succeeded = revision == (0 if known is None else known.revision)
        if succeeded:
            shared.revision += 1
            for other_key, other_value in [(key, value), *also]:
                shared.put(other_key, other_value)
        written = shared.revision
        if shared.random.random() < shared.lose_answer_chance:
            raise StoreOutcomeUnknown(f"{key}: answer lost")
        await self._pausable.ready()
        return written if succeeded else None

    async def watch(self, key, revision):
        """Iterate over changes of ``key`` after ``revision``."""
        await self._enter("watches")
        queue = asyncio.Queue()
        self._shared.watchers.setdefault(key, []).append(queue)
        try:
            known = self._shared.entries.get(key)
            if known is not None and known.revision > revision:
                yield known
            while True:
                entry = await queue.get()
                if entry is None or self.is_cut:
                    raise StoreUnavailable(f"watch of {key} ended")
                await self._pausable.ready()
                yield entry
        finally:
            self._shared.watchers[key].remove(queue)

    async def _enter(self, kind):
        await self._pausable.ready()
        self._shared.counts[kind] += 1
        await self._clock.sleep(self._shared.delay_ms)
        if self._shared.is_down or self.is_cut:
            raise StoreUnavailable("store is down")


class FakeInstances(InstanceList):
    """An instance list that shows what the test sets."""

    __slots__ = ("entries",)

    def __init__(self, entries):
        self.entries = entries

    async def read(self):
        """Return the list of :class:`Instance`."""
        return list(self.entries)
