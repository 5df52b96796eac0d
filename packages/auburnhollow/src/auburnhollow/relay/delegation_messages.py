"""Messages by which a node that reaches no server has its requests answered by another node."""

from ..peers.codec import Message, register
from .messages import Answer, Merged, Request

# Bodies of answers may be larger than a message between nodes.
CHUNK_BYTES = 512 * 1024
# A request with a longer body is not delegated.
MAX_BODY_BYTES = 1024 * 1024


@register("delegated-request")
class DelegatedRequest(Message):
    """A caller's request, for another node to answer as if it had received it.

    ``age_ms`` is how long the caller has waited, ``remaining_ms`` how long it still waits.
    ``is_repeat`` is set if servers may have run the request already; each send then counts against
    the budget for repeats. ``attempts`` is on how many servers of each service it may run.
    ``account`` and ``homes`` are those of the request. ``version`` is the oldest version of the
    configuration that may decide where it goes, known to the node at the peer address ``sender``;
    ``None`` for nodes of builds that know of neither.
    """

    __slots__ = (
        "id",
        "caller",
        "method",
        "host",
        "target",
        "headers",
        "body",
        "age_ms",
        "remaining_ms",
        "is_repeat",
        "attempts",
        "account",
        "homes",
        "version",
        "sender",
    )
    DEFAULTS = {"account": None, "homes": None, "version": None, "sender": None}


@register("delegated-taken")
class DelegatedTaken(Message):
    """The node has accepted the request.

    ``version`` is that of its configuration, if the request names one.
    """

    __slots__ = ("version",)
    DEFAULTS = {"version": None}

    @property
    def is_last(self):
        """Always false: an answer follows."""
        return False


@register("delegated-body")
class DelegatedBody(Message):
    """The next part of the answer's body."""

    __slots__ = ("data",)

    @property
    def is_last(self):
        """Always false: the rest of the answer follows."""
        return False


@register("delegated-answer")
class DelegatedAnswer(Message):
    """The answer, whose body was sent before.

    ``status`` and ``headers`` are those of the server, ``None`` for a merged answer. ``signatures``
    are those of all servers that contributed, ``missing`` the number of shards left out.
    """

    __slots__ = ("status", "headers", "signatures", "missing")


@register("delegated-failure")
class DelegatedFailure(Message):
    """The request has failed with a :class:`~auburnhollow.exceptions.QueryError`."""

    __slots__ = ("code", "detail", "ran", "retry_after_ms")


def pack_request(request, now_ms, is_repeat, attempts, version=None, sender=None):
    """Return the :class:`DelegatedRequest` for a request."""
    return DelegatedRequest(
        id=request.id,
        caller=request.caller,
        method=request.method,
        host=request.host,
        target=request.target,
        headers=[list(pair) for pair in request.headers],
        body=request.body,
        age_ms=now_ms - request.received_ms,
        remaining_ms=request.limit_ms - now_ms,
        is_repeat=is_repeat,
        attempts=attempts,
        account=request.account,
        homes=None if request.homes is None else list(request.homes),
        version=version,
        sender=sender,
    )


def unpack_request(message, arrived_ms, one_way_ms):
    """Return the :class:`Request` of a message.

    :param one_way_ms: estimated one-way latency of the message, in milliseconds.
    """
    sent_ms = arrived_ms - one_way_ms
    return Request(
        id=message.id,
        caller=message.caller,
        method=message.method,
        host=message.host,
        target=message.target,
        headers=[tuple(pair) for pair in message.headers],
        body=message.body,
        received_ms=sent_ms - message.age_ms,
        # The answer takes as long on its way back.
        limit_ms=sent_ms + message.remaining_ms - one_way_ms,
        account=message.account,
        homes=None if message.homes is None else tuple(message.homes),
    )


def pack_answer(answer):
    """Return the messages for an :class:`Answer` or :class:`Merged`, in order."""
    messages = []
    for start in range(0, len(answer.body), CHUNK_BYTES):
        messages.append(DelegatedBody(data=answer.body[start : start + CHUNK_BYTES]))
    if isinstance(answer, Merged):
        last = DelegatedAnswer(
            status=None, headers=None, signatures=answer.signatures, missing=answer.missing
        )
    else:
        last = DelegatedAnswer(
            status=answer.status,
            headers=[list(pair) for pair in answer.headers],
            signatures=[answer.signature],
            missing=None,
        )
    messages.append(last)
    return messages


def unpack_answer(message, body):
    """Return the :class:`Answer` or :class:`Merged` in a :class:`DelegatedAnswer`."""
    if message.status is None:
        return Merged(body=body, signatures=message.signatures, missing=message.missing)
    return Answer(
        status=message.status,
        headers=tuple(tuple(pair) for pair in message.headers),
        body=body,
        signature=message.signatures[0],
        load=None,
    )
