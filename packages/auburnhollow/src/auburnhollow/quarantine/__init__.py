"""Quarantine of requests that crash backend servers."""

from .quarantine import Quarantine, fingerprint_of
from .saving import EvidenceSaver, EvidenceStore

__all__ = ["EvidenceSaver", "EvidenceStore", "Quarantine", "fingerprint_of"]
