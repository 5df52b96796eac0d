"""Retries, hedges and their budgets."""

from .backoff import spread_ms
from .budget import Budget
from .hedging import HedgeDelay

__all__ = ["Budget", "HedgeDelay", "spread_ms"]
