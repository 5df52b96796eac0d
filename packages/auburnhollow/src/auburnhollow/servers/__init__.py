"""Backend servers: which exist and which may get new work."""

from .registry import Server, ServerRegistry, ServerState

__all__ = ["Server", "ServerRegistry", "ServerState"]
