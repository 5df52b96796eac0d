"""Messages that spread facts. Facts travel as the lists of :meth:`GossipEntry.to_list`."""

from ..peers.codec import Message, register


@register("push")
class Push(Message):
    """News; ``sender`` is the peer's address."""

    __slots__ = ("sender", "entries")


@register("sync-ask")
class SyncAsk(Message):
    """Asks for the facts of those buckets whose hash differs from ``buckets``."""

    __slots__ = ("sender", "buckets")


@register("sync-answer")
class SyncAnswer(Message):
    """The versions that the peer holds in the buckets that differ, ``[kind, key, version]``."""

    __slots__ = ("sender", "buckets", "held")


@register("fetch")
class Fetch(Message):
    """Asks for whole facts by ``[kind, key]``, or for all when ``places`` is ``None``."""

    __slots__ = ("sender", "places")
