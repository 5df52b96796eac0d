"""All facts that a node knows."""

from ..hashing import hash_of

BUCKETS = 64
MOST_FACTS = 40_000


class GossipTable:
    """Facts by kind and key, with hashes by which two tables are compared.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param most: how many facts are kept at most; further new ones are refused.

    >>> table.on("server", take_server)
    >>> table.put(fact)
    True
    """

    __slots__ = ("_buckets", "_clock", "_count", "_facts", "_gates", "_listeners", "_most")

    def __init__(self, clock, most=MOST_FACTS):
        self._clock = clock
        self._most = most
        self._count = 0
        self._facts = [{} for _ in range(BUCKETS)]
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
        return self._facts[bucket_of(kind, key)].get((kind, key))

    def of_kind(self, kind):
        """Return all facts of a kind."""
        found = []
        for facts in self._facts:
            found += [fact for fact in facts.values() if fact.kind == kind]
        return found

    def facts(self):
        """Return all facts."""
        return [fact for facts in self._facts for fact in facts.values()]

    def in_bucket(self, number):
        """Return the facts of one bucket."""
        return list(self._facts[number].values())

    def put(self, fact, sender=None):
        """Take a fact if it is newer than what is known.

        :param sender: address of the peer it came from; ``None`` for this node.
        :returns: whether it was taken.
        """
        bucket = bucket_of(fact.kind, fact.key)
        known = self._facts[bucket].get(fact.place)
        if known is not None and known.version >= fact.version:
            return False
        if fact.expires_ms and fact.expires_ms <= self._clock.wall_ms():
            return False
        if known is None and len(self) >= self._most:
            return False
        gate = self._gates.get(fact.kind)
        if sender is not None and gate is not None and not gate(fact, sender):
            return False
        if known is not None:
            self._buckets[bucket] ^= known.hash
        else:
            self._count += 1
        self._facts[bucket][fact.place] = fact
        self._buckets[bucket] ^= fact.hash
        for listener in self._listeners.get(fact.kind, ()):
            listener(fact)
        return True

    def expire(self):
        """Drop the facts whose time is over; return them."""
        now_ms = self._clock.wall_ms()
        dropped = []
        for number, facts in enumerate(self._facts):
            for fact in [fact for fact in facts.values() if _is_over(fact, now_ms)]:
                del facts[fact.place]
                self._buckets[number] ^= fact.hash
                self._count -= 1
                dropped.append(fact)
        return dropped


def bucket_of(kind, key):
    """Return the number of the bucket that holds a place."""
    return hash_of(kind, key) % BUCKETS


def _is_over(fact, now_ms):
    return fact.expires_ms != 0 and fact.expires_ms <= now_ms
