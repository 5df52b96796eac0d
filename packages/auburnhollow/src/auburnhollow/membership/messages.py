"""Messages of failure detection."""

from ..peers.codec import Message, register


@register("ping")
class Ping(Message):
    """Asks whether a node lives; ``digest`` is the sender's hash over all facts."""

    __slots__ = ("sender", "digest", "entries")


@register("ack")
class Ack(Message):
    """The node lives; ``node`` is its id."""

    __slots__ = ("node", "digest")


@register("ping-request")
class PingRequest(Message):
    """Asks a node to ping another one."""

    __slots__ = ("address",)


@register("near-ask")
class NearAsk(Message):
    """Asks for nodes of a data centre; ``facts`` make the sender known."""

    __slots__ = ("sender", "data_centre", "entries")


@register("near")
class Near(Message):
    """Addresses of some live nodes of the data centre that was asked for."""

    __slots__ = ("addresses",)
