"""Messages of failure detection."""

from ..peers.codec import Message, register


@register("ping")
class Ping(Message):
    """Asks whether a node lives; ``digest`` is the sender's hash over all facts."""

    __slots__ = ("sender", "digest", "facts")


@register("ack")
class Ack(Message):
    """The node lives; ``node`` is its id."""

    __slots__ = ("node", "digest")


@register("ping-request")
class PingRequest(Message):
    """Asks a node to ping another one."""

    __slots__ = ("address",)
