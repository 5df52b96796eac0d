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
from .neighbours import Neighbours

__all__ = [
    "ConfigurationSeen",
    "Feed",
    "Follower",
    "HistoryLost",
    "Neighbours",
    "ServerGone",
    "ServerSeen",
    "StoreView",
    "UnreadableEntry",
]
