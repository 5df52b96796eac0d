"""Gossip messages. Entries are encoded as the lists of :meth:`GossipEntry.to_list`."""

from ..peers.codec import Message, register


@register("push")
class Push(Message):
    """Carries entries to a peer; ``sender`` is the peer address of the sending node."""

    __slots__ = ("sender", "entries")


@register("sync-ask")
class SyncAsk(Message):
    """Requests the entry versions of all buckets whose hash differs from that in ``buckets``."""

    __slots__ = ("sender", "buckets")


@register("sync-answer")
class SyncAnswer(Message):
    """The numbers of the buckets that differ, and the versions held in them.

    ``held`` is a list of ``[kind, key, version]``.
    """

    __slots__ = ("sender", "buckets", "held")


@register("fetch")
class Fetch(Message):
    """Requests entries by ``[kind, key]``, or all entries when ``entry_ids`` is ``None``."""

    __slots__ = ("sender", "entry_ids")
