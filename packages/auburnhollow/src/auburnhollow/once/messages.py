"""Messages about claims."""

from ..peers.codec import Message, register


@register("claim-ask")
class ClaimAsk(Message):
    """Asks the owner of a key's range to claim the key for ``attempt``.

    ``instead_of`` names an attempt whose node has given it up for good.
    """

    __slots__ = ("record_key", "key", "attempt", "body_hash", "instead_of")


@register("claim-answer")
class ClaimAnswer(Message):
    """The claim that stands now, as the list of :meth:`Claim.to_list`."""

    __slots__ = ("claim",)


@register("settle-ask")
class SettleAsk(Message):
    """Asks the owner to keep what became of an attempt."""

    __slots__ = ("record_key", "key", "attempt", "state", "outcome")


@register("attempt-ask")
class AttemptAsk(Message):
    """Asks the node of an attempt what became of it; waits ``wait_ms`` for the end."""

    __slots__ = ("key", "attempt", "wait_ms")


@register("attempt-answer")
class AttemptAnswer(Message):
    """``state``: ``abandoned``, ``running``, ``ended`` or ``unknown``; then the claim's state."""

    __slots__ = ("state", "claim_state", "outcome")
