"""One gate between all that sends requests and the backend servers."""

from .cold import ColdServers
from .evacuations import Evacuations
from .gate import Gate
from .gossip import EvacuationGossip
from .homes import Homes, common_homes
from .reasons import Reason

__all__ = [
    "ColdServers",
    "EvacuationGossip",
    "Evacuations",
    "Gate",
    "Homes",
    "Reason",
    "common_homes",
]
