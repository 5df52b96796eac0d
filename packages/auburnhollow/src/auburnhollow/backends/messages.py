"""Calls to backend servers and their answers."""

import logging
import math

from ..decisions import log_decision
from ..exceptions import BackendMismatch
from ..limits.server_rates import Notice
from ..records import Record

log = logging.getLogger("backends")


class ShardCall(Record):
    """One attempt to query one shard of one index version.

    ``request_id`` is new for each attempt; ``deadline_ms`` is the remaining time in milliseconds.
    """

    __slots__ = ("request_id", "service", "shard", "version", "deadline_ms", "query")


class ShardAnswer(Record):
    """The rows of a shard.

    ``partial`` is set if the server reports that rows are missing; ``load`` is the number of its
    requests in progress; ``incarnation`` grows with each start of the server. ``rate_per_s`` is how
    many requests a second it takes from all nodes together, ``None`` for any number.
    """

    __slots__ = (
        "request_id",
        "shard",
        "version",
        "rows",
        "partial",
        "load",
        "incarnation",
        "rate_per_s",
    )

    def __init__(self, rate_per_s=None, **fields):
        super().__init__(rate_per_s=rate_per_s, **fields)


class OrderCall(Record):
    """One attempt to run a request that may not be repeated."""

    __slots__ = ("request_id", "service", "deadline_ms", "order")


class OrderAnswer(Record):
    """The outcome of an order, a JSON object; ``rate_per_s`` as in :class:`ShardAnswer`."""

    __slots__ = ("request_id", "outcome", "incarnation", "rate_per_s")

    def __init__(self, rate_per_s=None, **fields):
        super().__init__(rate_per_s=rate_per_s, **fields)


def read_notice(server_id, value):
    """Return the :class:`~auburnhollow.limits.Notice` for a ``rate_per_s``, ``None`` if invalid."""
    if value is None:
        return Notice(rate_per_s=None)
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0.0 < value < math.inf:
        log_decision(log, "named rate ignored", server=server_id, value=repr(value)[:40])
        return None
    return Notice(rate_per_s=float(value))


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
