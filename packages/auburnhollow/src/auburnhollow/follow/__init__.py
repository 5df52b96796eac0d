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
from .sharing import ChangeServer, SharedFeed

__all__ = [
    "ChangeServer",
    "ConfigurationSeen",
    "Feed",
    "Follower",
    "HistoryLost",
    "Neighbours",
    "ServerGone",
    "ServerSeen",
    "SharedFeed",
    "StoreView",
    "UnreadableEntry",
]
