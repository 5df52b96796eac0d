"""Gossip: versioned entries that spread from node to node until every node has them."""

from .entries import GossipEntry
from .gossiper import Gossiper
from .messages import Push, SyncAnswer, SyncAsk
from .table import GossipTable

__all__ = ["GossipEntry", "Push", "Gossiper", "SyncAnswer", "SyncAsk", "GossipTable"]
