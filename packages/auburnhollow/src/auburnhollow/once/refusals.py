"""Errors of orders that are refused before they are sent."""

from contextlib import contextmanager

from ..exceptions import KeyReused, QueryError, Ran
from .requests import NONE, NOT_RUN


def ran_in_earlier_tries(order):
    """Return whether earlier tries with the key may have run the order, as :class:`Ran`.

    For errors that are raised before this try has sent anything.
    """
    return Ran.NO if order.earlier in (NONE, NOT_RUN) else Ran.UNKNOWN


@contextmanager
def before_sending(order):
    """Set ``ran`` of errors raised in the block to what the caller knows of its earlier tries.

    The block runs before this try sends anything.
    """
    try:
        yield
    except QueryError as error:
        error.ran = ran_in_earlier_tries(order)
        raise


def key_reused(order):
    """Return the error for a key that was used for another order; this order did not run."""
    return KeyReused("the key was used for another order", Ran.NO, request=order)
