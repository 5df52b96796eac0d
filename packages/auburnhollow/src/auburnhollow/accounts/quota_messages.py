"""Messages between a node that is asked by callers and the node that owns an account's quota."""

from ..peers.codec import Message, register


@register("quota-ask")
class QuotaAsk(Message):
    """Reports requests of an account, and asks whether further ones may run.

    ``used`` is how many have been admitted since the last report, negative for those that never
    ran; ``wanted`` how many wait for the answer. ``rate_per_s`` and ``burst`` are the limits that
    the asking node knows, for an owner that does not know the account yet.
    """

    __slots__ = ("account", "used", "wanted", "rate_per_s", "burst")


@register("quota-answer")
class QuotaAnswer(Message):
    """How many of the requests may run.

    ``is_tight`` tells that the account is near its limit, and that all its requests have to be
    asked for. ``retry_ms`` is when the refused one may come back, in milliseconds.
    """

    __slots__ = ("granted", "is_tight", "retry_ms")
