"""Which index version a request reads."""

from .chooser import Snapshots
from .messages import Snapshot

__all__ = ["Snapshot", "Snapshots"]
