"""Quarantine of requests that crash backend servers."""

from .end_checks import EndChecks
from .quarantine import Quarantine, fingerprint_of
from .saving import EvidenceSaver, EvidenceStore

__all__ = ["EndChecks", "EvidenceSaver", "EvidenceStore", "Quarantine", "fingerprint_of"]
