"""Follows the routes and backend servers in the platform's store, directly or through peers."""

from .comparison import StoreComparison
from .feed import (
    ConfigurationUpdate,
    EvacuationEnd,
    EvacuationUpdate,
    EvidenceUpdate,
    Feed,
    HistoryLost,
    ServerRemoval,
    ServerUpdate,
    StoreView,
    UnreadableEntry,
)
from .follower import Follower
from .sharing import ChangeServer, SharedFeed
from .state_exchange import StateExchange

__all__ = [
    "ChangeServer",
    "ConfigurationUpdate",
    "EvacuationEnd",
    "EvacuationUpdate",
    "EvidenceUpdate",
    "Feed",
    "Follower",
    "HistoryLost",
    "StateExchange",
    "ServerRemoval",
    "ServerUpdate",
    "SharedFeed",
    "StoreComparison",
    "StoreView",
    "UnreadableEntry",
]
