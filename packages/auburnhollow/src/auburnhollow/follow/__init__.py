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

__all__ = [
    "ConfigurationSeen",
    "Feed",
    "Follower",
    "HistoryLost",
    "ServerGone",
    "ServerSeen",
    "StoreView",
    "UnreadableEntry",
]
