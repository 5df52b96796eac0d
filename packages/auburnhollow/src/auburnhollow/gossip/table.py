"""All facts that a node knows."""

from ..hashing import hash_of

BUCKETS = 64
MAX_ENTRIES = 40_000


class GossipTable:
    """Facts by kind and key, with hashes by which two tables are compared.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param most: how many facts are kept at most; further new ones are refused.

    >>> table.on("server", take_server)
    >>> table.put(fact)
    True
    """

    __slots__ = ("_buckets", "_clock", "_count", "_entries", "_gates", "_listeners", "_max_entries")

    def __init__(self, clock, max_entries=MAX_ENTRIES):
        self._clock = clock
        self._max_entries = max_entries
        self._count = 0
        self._entries = [{} for _ in range(BUCKETS)]
        self._buckets = [0] * BUCKETS
        self._listeners = {}
        self._gates = {}

    def __len__(self):
        return self._count

    @property
    def buckets(self):
        """One hash for each bucket."""
        return list(self._buckets)

    @property
    def digest(self):
        """One hash over all facts."""
        digest = 0
        for value in self._buckets:
            digest ^= value
        return digest

    def on(self, kind, listener):
        """Call ``listener`` with each new fact of a kind."""
        self._listeners.setdefault(kind, []).append(listener)

    def set_filter(self, kind, gate):
        """Take a fact of a kind from a peer only if ``gate(fact, sender)`` is true."""
        self._gates[kind] = gate

    def get(self, kind, key):
        """Return the :class:`GossipEntry`, or ``None``."""
        return self._entries[bucket_of(kind, key)].get((kind, key))

    def of_kind(self, kind):
        """Return all facts of a kind."""
        found = []
        for entries in self._entries:
            found += [entry for entry in entries.values() if entry.kind == kind]
        return found

    def entries(self):
        """Return all facts."""
        return [entry for entries in self._entries for entry in entries.values()]

    def in_bucket(self, number):
        """Return the facts of one bucket."""
        return list(self._entries[number].values())

    def put(self, entry, sender=None):
        """Take a fact if it is newer than what is known.

        :param sender: address of the peer it came from; ``None`` for this node.
        :returns: whether it was taken.
        """
        bucket = bucket_of(entry.kind, entry.key)
        known = self._entries[bucket].get(entry.place)
        if known is not None and known.version >= entry.version:
            return False
        if entry.expires_ms and entry.expires_ms <= self._clock.wall_ms():
            return False
        if known is None and len(self) >= self._max_entries:
            return False
        gate = self._gates.get(entry.kind)
        if sender is not None and gate is not None and not gate(entry, sender):
            return False
        if known is not None:
            self._buckets[bucket] ^= known.hash
        else:
            self._count += 1
        self._entries[bucket][entry.place] = entry
        self._buckets[bucket] ^= entry.hash
        for listener in self._listeners.get(entry.kind, ()):
            listener(entry)
        return True

    def expire(self):
        """Drop the facts whose time is over; return them."""
        now_ms = self._clock.wall_ms()
        dropped = []
        for number, entries in enumerate(self._entries):
            for entry in [entry for entry in entries.values() if _is_over(entry, now_ms)]:
                del entries[entry.place]
                self._buckets[number] ^= entry.hash
                self._count -= 1
                dropped.append(entry)
        return dropped


def bucket_of(kind, key):
    """Return the number of the bucket that holds a place."""
    return hash_of(kind, key) % BUCKETS


def _is_over(entry, now_ms):
    return entry.expires_ms != 0 and entry.expires_ms <= now_ms
