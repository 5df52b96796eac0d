"""Fakes of the platform's services, for tests in virtual time."""

import asyncio

from auburnhollow.backing import InstanceList, KeyValue, Store
from auburnhollow.exceptions import StoreOutcomeUnknown, StoreUnavailable


class Pausable:
    """Simulates a process that can be paused: its calls wait until it is resumed."""

    __slots__ = ("_resumed",)

    def __init__(self):
        self._resumed = asyncio.Event()
        self._resumed.set()

    @property
    def is_paused(self):
        """Whether the process is paused."""
        return not self._resumed.is_set()

    def pause(self):
        """Pause the process."""
        self._resumed.clear()

    def resume(self):
        """Resume the process."""
        self._resumed.set()

    async def wait_until_resumed(self):
        """Wait until the process is not paused."""
        await self._resumed.wait()


class SharedStore:
    """The contents of a key-value store and its faults, shared by all nodes.

    ``lose_answer_chance`` is the probability that a write takes effect but gets no answer;
    ``lose_call_chance`` is the probability that a write is lost and gets no answer. ``counts`` are
    the numbers of calls.

    :param delay_ms: duration of each call, in milliseconds.
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
        """Write a key and notify its watchers."""
        entry = KeyValue(key=key, value=value, revision=self.revision)
        self.entries[key] = entry
        for queue in self.watchers.get(key, ()):
            queue.put_nowait(entry)

    def end_watches(self):
        """End all watches, as a store outage does."""
        for queues in self.watchers.values():
            for queue in queues:
                queue.put_nowait(None)


class FakeStore(Store):
    """One node's connection to a :class:`SharedStore`; ``is_cut`` simulates losing it."""

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
        await self._pausable.wait_until_resumed()
        return entry

    async def scan(self, prefix, limit=100):
        """Return up to ``limit`` entries whose key starts with ``prefix``, highest key first."""
        await self._enter("reads")
        keys = sorted(key for key in self._shared.entries if key.startswith(prefix))
        return [self._shared.entries[key] for key in reversed(keys)][:limit]

    async def compare_and_swap(self, key, revision, value, also=(), lease_ms=None):
        """Write ``key`` and the pairs in ``also`` if the key is still at ``revision``.

        Returns the new revision, or ``None`` if the key has changed.
        """
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
        await self._pausable.wait_until_resumed()
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
                await self._pausable.wait_until_resumed()
                yield entry
        finally:
            self._shared.watchers[key].remove(queue)

    async def _enter(self, kind):
        await self._pausable.wait_until_resumed()
        self._shared.counts[kind] += 1
        await self._clock.sleep(self._shared.delay_ms)
        if self._shared.is_down or self.is_cut:
            raise StoreUnavailable("store is down")


class FakeInstances(InstanceList):
    """An instance list whose ``entries`` are set by the test."""

    __slots__ = ("entries",)

    def __init__(self, entries):
        self.entries = entries

    async def read(self):
        """Return the list of :class:`~auburnhollow.backing.Instance`."""
        return list(self.entries)
