"""Following what the platform's store holds."""

from .feed import (
    ConfigurationSeen,
    Feed,
    HistoryLost,
    ServerGone,
    ServerSeen,
    StoreView,
    UnreadableEntry,
)
from .follower import Follower
from .sharing import ChangeServer, SharedFeed
from .state_exchange import StateExchange

__all__ = [
    "ChangeServer",
    "ConfigurationSeen",
    "Feed",
    "Follower",
    "HistoryLost",
    "StateExchange",
    "ServerGone",
    "ServerSeen",
    "SharedFeed",
    "StoreView",
    "UnreadableEntry",
]
