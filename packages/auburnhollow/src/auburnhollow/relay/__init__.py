"""Forwards callers' requests to backend servers: to one server, or to one server of each shard."""

from .client import ServerClient
from .dispatcher import Dispatcher, DispatchSettings
from .messages import Answer, Merged, Request

__all__ = ["Answer", "DispatchSettings", "Dispatcher", "Merged", "Request", "ServerClient"]
