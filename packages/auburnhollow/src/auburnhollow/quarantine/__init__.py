"""Requests that crash backend servers."""

from .blame import Quarantine, fingerprint_of

__all__ = ["Quarantine", "fingerprint_of"]
