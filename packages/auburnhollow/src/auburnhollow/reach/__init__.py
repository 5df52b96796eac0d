"""Whether a node reaches the backend servers, and which of its peers do."""

from .detector import Reach
from .gossip import ReachGossip

__all__ = ["Reach", "ReachGossip"]
