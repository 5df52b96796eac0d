"""Backend servers: which ones exist and which may get new requests."""

from .registry import Server, ServerRegistry, ServerState

__all__ = ["Server", "ServerRegistry", "ServerState"]
