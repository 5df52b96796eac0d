"""Facts that all nodes should know, spread from node to node."""

from .facts import Fact
from .messages import Push, SyncAnswer, SyncAsk
from .spreader import Spreader
from .table import Table

__all__ = ["Fact", "Push", "Spreader", "SyncAnswer", "SyncAsk", "Table"]
