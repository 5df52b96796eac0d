"""Limits: admission of callers' requests, shares of servers' connections, and their rates."""

from .classes import INTERACTIVE, REPORT, URGENT
from .limiter import AdmissionLimiter, admitted
from .server_rates import Notice, ServerRates
from .shares import Shares

__all__ = [
    "INTERACTIVE",
    "REPORT",
    "URGENT",
    "AdmissionLimiter",
    "Notice",
    "ServerRates",
    "Shares",
    "admitted",
]
