"""Limits: admission of callers' requests, shares of servers' connections, and their rates."""

from .classes import INTERACTIVE, REPORT, URGENT
from .hold_offs import HoldOffs
from .limiter import AdmissionLimiter, admitted
from .server_rates import Notice, ServerRates
from .shares import Shares

__all__ = [
    "INTERACTIVE",
    "REPORT",
    "URGENT",
    "AdmissionLimiter",
    "HoldOffs",
    "Notice",
    "ServerRates",
    "Shares",
    "admitted",
]
