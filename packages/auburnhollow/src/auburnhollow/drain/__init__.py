"""Tracking of backend servers that are leaving and get no new work."""

from .leaving import LeavingServers

__all__ = ["LeavingServers"]
