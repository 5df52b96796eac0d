"""Requests that may not be repeated: each idempotency key runs at most once."""

from .attempts import Attempts
from .claim_store import ClaimStore
from .claimer import Claimer
from .messages import AttemptAnswer, AttemptAsk, ClaimAnswer, ClaimAsk, StoreOutcomeAsk
from .orders import Orders
from .requests import Order, OrderResult, parse_key

__all__ = [
    "AttemptAnswer",
    "AttemptAsk",
    "Attempts",
    "ClaimAnswer",
    "ClaimAsk",
    "Claimer",
    "ClaimStore",
    "Order",
    "OrderResult",
    "Orders",
    "StoreOutcomeAsk",
    "parse_key",
]
