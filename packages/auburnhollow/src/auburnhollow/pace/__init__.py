"""The pace of backend servers that have just started or recovered."""

from .finding import Finding
from .gossip import PaceGossip
from .pace import Pace

__all__ = ["Finding", "Pace", "PaceGossip"]
