"""Following what the platform's store holds."""

from .feed import (
    ConfigurationUpdate,
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
    "Feed",
    "Follower",
    "HistoryLost",
    "StateExchange",
    "ServerRemoval",
    "ServerUpdate",
    "SharedFeed",
    "StoreView",
    "UnreadableEntry",
]
