"""Bounds on work: admission of callers' requests, and shares of the backend servers."""

from .classes import INTERACTIVE, REPORT, URGENT
from .limiter import AdmissionLimiter, admitted
from .shares import Shares

__all__ = ["INTERACTIVE", "REPORT", "URGENT", "AdmissionLimiter", "Shares", "admitted"]
