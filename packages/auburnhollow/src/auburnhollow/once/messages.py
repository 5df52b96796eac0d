"""Messages about claims."""

from ..peers.codec import Message, register


@register("claim-ask")
class ClaimAsk(Message):
    """Asks the owner of a key's range to claim the key for ``attempt``.

    ``instead_of`` names an abandoned attempt that may still hold the key.
    """

    __slots__ = ("record_key", "key", "attempt", "body_hash", "instead_of")


@register("claim-answer")
class ClaimAnswer(Message):
    """The current claim, as the list of :meth:`Claim.to_list`."""

    __slots__ = ("claim",)


@register("settle-ask")
class StoreOutcomeAsk(Message):
    """Asks the owner to store the outcome of an attempt."""

    __slots__ = ("record_key", "key", "attempt", "state", "outcome")


@register("attempt-ask")
class AttemptAsk(Message):
    """Asks the node of an attempt for its state; waits up to ``wait_ms`` for the end."""

    __slots__ = ("key", "attempt", "wait_ms")


@register("attempt-answer")
class AttemptAnswer(Message):
    """The state of an attempt.

    ``state`` is ``abandoned``, ``running``, ``ended`` or ``unknown``; ``claim_state`` and
    ``outcome`` are those of an ended attempt.
    """

    __slots__ = ("state", "claim_state", "outcome")
