"""Quarantine of requests that crash backend servers."""

from .quarantine import Quarantine, fingerprint_of

__all__ = ["Quarantine", "fingerprint_of"]
