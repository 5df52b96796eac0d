"""Passing requests on to backend servers: one server, or one of each shard."""

from .client import ServerClient
from .dispatcher import Dispatcher, DispatchSettings
from .messages import Answer, Merged, Request

__all__ = ["Answer", "DispatchSettings", "Dispatcher", "Merged", "Request", "ServerClient"]
