"""Limits: admission of callers' requests, and shares of backend servers' connections."""

from .classes import INTERACTIVE, REPORT, URGENT
from .limiter import AdmissionLimiter, admitted
from .shares import Shares

__all__ = ["INTERACTIVE", "REPORT", "URGENT", "AdmissionLimiter", "Shares", "admitted"]
