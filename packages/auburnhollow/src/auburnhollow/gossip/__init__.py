"""Facts that all nodes should know, spread from node to node."""

from .entries import GossipEntry
from .gossiper import Gossiper
from .messages import Push, SyncAnswer, SyncAsk
from .table import GossipTable

__all__ = ["GossipEntry", "Push", "Gossiper", "SyncAnswer", "SyncAsk", "GossipTable"]
