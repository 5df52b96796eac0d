"""Saves the evidence against requests that crash servers outside the nodes' memory."""

import asyncio
import logging

from ..decisions import log_decision
from ..exceptions import StoreError

log = logging.getLogger("quarantine")

# Evidence is kept for as long as it counts.
KEEP_MS = 600_000
# The other servers that a common cause has ended are known by then.
SAVE_DELAY_MS = 250.0
RETRY_PAUSE_MS = 500.0
MAX_RETRY_PAUSE_MS = 4_000.0
# Bounds the calls of a node that sees many servers end at once.
MAX_WAITING = 50


class EvidenceStore:
    """Keeps the evidence of this node against requests where all nodes read it.

    Each method may raise :class:`~auburnhollow.exceptions.StoreError`.
    """

    __slots__ = ()

    async def save(self, fingerprint, entries, keep_ms):
        """Keep the evidence against a request for ``keep_ms`` milliseconds."""
        raise NotImplementedError

    async def remove(self, fingerprint):
        """Remove this node's evidence against a request that has been cleared."""
        raise NotImplementedError


class EvidenceSaver:
    """Saves evidence whenever it changes and removes it when it is cleared.

    The deaths that are detected by nodes which are cut off from each other add up this way, and
    nodes that start after all others have ended learn of them.

    :param quarantine: :class:`Quarantine`.
    :param store: :class:`EvidenceStore`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param random: a :class:`random.Random`.
    """

    __slots__ = ("_clock", "_quarantine", "_random", "_saved", "_store", "_waiting", "_wake")

    def __init__(self, quarantine, store, clock, random):
        self._quarantine = quarantine
        self._store = store
        self._clock = clock
        self._random = random
        self._saved = set()
        self._waiting = {}
        self._wake = asyncio.Event()

    def add(self, fingerprint):
        """Save what is known of a request as soon as the store can be reached."""
        if fingerprint not in self._waiting and len(self._waiting) >= MAX_WAITING:
            log_decision(log, "evidence not saved, too much is waiting", fingerprint=fingerprint)
            return
        self._waiting.setdefault(fingerprint, self._clock.now_ms() + SAVE_DELAY_MS)
        self._wake.set()

    def save_again(self):
        """Save again what has been saved: the store has come back from an older copy."""
        for fingerprint in sorted(self._saved):
            self.add(fingerprint)

    async def run(self):
        """Save and remove evidence until cancelled, with backoff while the store is unavailable."""
        pause_ms = RETRY_PAUSE_MS
        while True:
            if not self._waiting:
                self._wake.clear()
                await self._wake.wait()
            fingerprint, due_ms = next(iter(self._waiting.items()))
            await self._clock.sleep(max(0.0, due_ms - self._clock.now_ms()))
            del self._waiting[fingerprint]
            try:
                await self._save(fingerprint)
                pause_ms = RETRY_PAUSE_MS
            except StoreError as error:
                log_decision(log, "evidence not saved", fingerprint=fingerprint, error=str(error))
                self._waiting.setdefault(fingerprint, due_ms)
                await self._clock.sleep(pause_ms * (0.5 + self._random.random()))
                pause_ms = min(MAX_RETRY_PAUSE_MS, pause_ms * 2)

    async def _save(self, fingerprint):
        entries = self._quarantine.saved(fingerprint)
        if entries is None:
            if fingerprint in self._saved:
                await self._store.remove(fingerprint)
                self._saved.discard(fingerprint)
            return
        await self._store.save(fingerprint, entries, KEEP_MS)
        self._saved.add(fingerprint)
        log_decision(log, "evidence saved", fingerprint=fingerprint, endings=len(entries))
