"""Calls to backend servers and their answers."""

from ..exceptions import BackendMismatch
from ..records import Record


class ShardCall(Record):
    """One attempt to query one shard of one index version.

    ``request_id`` is new for each attempt; ``deadline_ms`` is the remaining time in milliseconds.
    """

    __slots__ = ("request_id", "service", "shard", "version", "deadline_ms", "query")


class ShardAnswer(Record):
    """The rows of a shard.

    ``partial`` is set if the server reports that rows are missing; ``load`` is the number of its
    requests in progress; ``incarnation`` grows with each start of the server.
    """

    __slots__ = ("request_id", "shard", "version", "rows", "partial", "load", "incarnation")


class OrderCall(Record):
    """One attempt to run a request that may not be repeated."""

    __slots__ = ("request_id", "service", "deadline_ms", "order")


class OrderAnswer(Record):
    """The outcome of an order, a JSON object."""

    __slots__ = ("request_id", "outcome", "incarnation")


def read_shard_answer(call, body):
    """Return the :class:`ShardAnswer` in ``body``.

    :raises BackendMismatch: when it is incomplete or the answer to another call.
    """
    try:
        answer = ShardAnswer(**body)
    except (TypeError, KeyError) as error:
        raise BackendMismatch(f"not a shard answer: {error!r}") from error
    echoed = (answer.request_id, answer.shard, answer.version)
    if echoed != (call.request_id, call.shard, call.version):
        raise BackendMismatch(f"asked {call.request_id} {call.shard} {call.version}, got {echoed}")
    if not isinstance(answer.rows, list):
        raise BackendMismatch("rows are not a list")
    for row in answer.rows:
        if not isinstance(row, dict) or "id" not in row or "score" not in row:
            raise BackendMismatch("a row lacks its id or score")
    return answer


def read_order_answer(call, body):
    """Return the :class:`OrderAnswer` in ``body``.

    :raises BackendMismatch: when it is incomplete or the answer to another call.
    """
    try:
        answer = OrderAnswer(**body)
    except (TypeError, KeyError) as error:
        raise BackendMismatch(f"not an order answer: {error!r}") from error
    if answer.request_id != call.request_id:
        raise BackendMismatch(f"asked {call.request_id}, got {answer.request_id}")
    return answer
