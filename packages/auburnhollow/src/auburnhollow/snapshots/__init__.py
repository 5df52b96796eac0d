"""Choice of the index version that a request reads."""

from .chooser import SnapshotChooser
from .messages import Snapshot

__all__ = ["Snapshot", "SnapshotChooser"]
