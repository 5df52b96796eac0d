"""What a refusal of an order says."""

from contextlib import contextmanager

from ..exceptions import KeyReused, QueryError, Ran
from .requests import NONE, NOT_RUN


def ran_before(order):
    """Return what is true of the key while this try has sent nothing."""
    return Ran.NO if order.earlier in (NONE, NOT_RUN) else Ran.UNKNOWN


@contextmanager
def nothing_sent(order):
    """Let a refusal say of the key what the caller knows: this try has sent nothing yet."""
    try:
        yield
    except QueryError as error:
        error.ran = ran_before(order)
        raise


def reused(order):
    """Return the error for a key that holds another order: this one never ran under it."""
    return KeyReused("the key was used for another order", Ran.NO, request=order)
