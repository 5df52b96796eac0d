"""Which index version a request reads."""

from .chooser import SnapshotChooser
from .messages import Snapshot

__all__ = ["Snapshot", "SnapshotChooser"]
