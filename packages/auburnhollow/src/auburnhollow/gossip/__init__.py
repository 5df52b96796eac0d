"""Facts that all nodes should know, spread from node to node."""

from .entries import GossipEntry
from .messages import Push, SyncAnswer, SyncAsk
from .spreader import Spreader
from .table import Table

__all__ = ["GossipEntry", "Push", "Spreader", "SyncAnswer", "SyncAsk", "Table"]
