"""Retries, hedges and their budgets."""

from .backoff import jittered_ms
from .budget import Budget
from .hedging import HedgeDelay

__all__ = ["Budget", "HedgeDelay", "jittered_ms"]
