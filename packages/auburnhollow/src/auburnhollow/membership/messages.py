"""Messages of failure detection."""

from ..peers.codec import Message, register


@register("ping")
class Ping(Message):
    """Checks whether a node is alive.

    ``sender`` is the sender's peer address, ``digest`` its hash over all gossip entries, and
    ``entries`` carries its own member entry.
    """

    __slots__ = ("sender", "digest", "entries")


@register("ack")
class Ack(Message):
    """Answers a :class:`Ping`; ``node`` is the id of the answering node."""

    __slots__ = ("node", "digest")


@register("ping-request")
class PingRequest(Message):
    """Asks a node to ping the node at ``address`` on behalf of the sender."""

    __slots__ = ("address",)


@register("near-ask")
class NearbyAsk(Message):
    """Requests addresses of nodes in a data centre.

    ``entries`` carries the sender's own member entry.
    """

    __slots__ = ("sender", "data_centre", "entries")


@register("near")
class NearbyAnswer(Message):
    """Addresses of a few live nodes in the requested data centre."""

    __slots__ = ("addresses",)
