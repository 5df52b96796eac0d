"""Requests that may not be repeated: each key runs at most once."""

from .attempts import Attempts
from .claimer import Claimer
from .ledger import Ledger
from .messages import AttemptAnswer, AttemptAsk, ClaimAnswer, ClaimAsk, SettleAsk
from .orders import Orders
from .requests import Order, OrderResult, parse_key

__all__ = [
    "AttemptAnswer",
    "AttemptAsk",
    "Attempts",
    "ClaimAnswer",
    "ClaimAsk",
    "Claimer",
    "Ledger",
    "Order",
    "OrderResult",
    "Orders",
    "SettleAsk",
    "parse_key",
]
