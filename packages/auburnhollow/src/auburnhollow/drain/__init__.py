"""Backend servers that are leaving."""

from .leaving import LeavingServers

__all__ = ["LeavingServers"]
