"""The table of all gossip entries that a node knows."""

import logging

from ..decisions import log_decision
from ..hashing import hash_of
from .entries import READ_ERRORS

log = logging.getLogger("gossip")

BUCKETS = 64
MAX_ENTRIES = 40_000


class GossipTable:
    """Entries by kind and key, with bucket hashes for comparing two tables.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param max_entries: limit on the number of entries; new ones beyond it are rejected.

    >>> table.on("server", on_server_entry)
    >>> table.put(entry)
    True
    """

    __slots__ = (
        "_buckets",
        "_clock",
        "_count",
        "_entries",
        "_filters",
        "_listeners",
        "_max_entries",
    )

    def __init__(self, clock, max_entries=MAX_ENTRIES):
        self._clock = clock
        self._max_entries = max_entries
        self._count = 0
        self._entries = [{} for _ in range(BUCKETS)]
        self._buckets = [0] * BUCKETS
        self._listeners = {}
        self._filters = {}

    def __len__(self):
        return self._count

    @property
    def buckets(self):
        """The hash of each bucket."""
        return list(self._buckets)

    @property
    def digest(self):
        """One hash over all entries."""
        digest = 0
        for value in self._buckets:
            digest ^= value
        return digest

    def on(self, kind, listener):
        """Call ``listener`` with each new entry of a kind."""
        self._listeners.setdefault(kind, []).append(listener)

    def set_filter(self, kind, accepts):
        """Add an entry of a kind from a peer only if ``accepts(entry, sender)`` is true."""
        self._filters[kind] = accepts

    def get(self, kind, key):
        """Return the :class:`GossipEntry`, or ``None``."""
        return self._entries[bucket_of(kind, key)].get((kind, key))

    def of_kind(self, kind):
        """Return all entries of a kind."""
        found = []
        for entries in self._entries:
            found += [entry for entry in entries.values() if entry.kind == kind]
        return found

    def entries(self):
        """Return all entries."""
        return [entry for entries in self._entries for entry in entries.values()]

    def in_bucket(self, number):
        """Return the entries of one bucket."""
        return list(self._entries[number].values())

    def put(self, entry, sender=None):
        """Add an entry if its version is higher than the known one.

        Expired entries, new entries beyond ``max_entries``, and entries from peers that the
        kind's filter rejects are ignored.

        :param sender: address of the peer that sent the entry; ``None`` for this node.
        :returns: whether the entry was added.
        """
        bucket = bucket_of(entry.kind, entry.key)
        known = self._entries[bucket].get(entry.id)
        if known is not None and known.version >= entry.version:
            return False
        if entry.expires_ms and entry.expires_ms <= self._clock.wall_ms():
            return False
        if known is None and len(self) >= self._max_entries:
            return False
        accepts = self._filters.get(entry.kind)
        if sender is not None and accepts is not None and not accepts(entry, sender):
            return False
        if known is not None:
            self._buckets[bucket] ^= known.hash
        else:
            self._count += 1
        self._entries[bucket][entry.id] = entry
        self._buckets[bucket] ^= entry.hash
        for listener in self._listeners.get(entry.kind, ()):
            _notify(listener, entry)
        return True

    def expire(self):
        """Drop all expired entries and return them."""
        now_ms = self._clock.wall_ms()
        dropped = []
        for number, entries in enumerate(self._entries):
            for entry in [entry for entry in entries.values() if _is_expired(entry, now_ms)]:
                del entries[entry.id]
                self._buckets[number] ^= entry.hash
                self._count -= 1
                dropped.append(entry)
        return dropped


def bucket_of(kind, key):
    """Return the number of the bucket that holds the entry with this kind and key."""
    return hash_of(kind, key) % BUCKETS


def _notify(listener, entry):
    """Call a listener; an entry that it can't read is kept, for peers that can."""
    try:
        listener(entry)
    except READ_ERRORS as error:
        log_decision(
            log,
            "gossip entry not read",
            kind=entry.kind,
            key=entry.key[:80],
            error=repr(error)[:80],
        )


def _is_expired(entry, now_ms):
    return entry.expires_ms != 0 and entry.expires_ms <= now_ms
