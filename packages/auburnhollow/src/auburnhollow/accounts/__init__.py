"""Client accounts: who asks, and how much each of them may ask."""

from .model import Account, digest_of, urgency_of

__all__ = ["Account", "digest_of", "urgency_of"]
