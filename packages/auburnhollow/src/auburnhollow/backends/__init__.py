"""Calls to backend servers over HTTP."""

from .client import BackendClient, HttpBackendClient
from .messages import OrderAnswer, OrderCall, ShardAnswer, ShardCall

__all__ = [
    "BackendClient",
    "HttpBackendClient",
    "OrderAnswer",
    "OrderCall",
    "ShardAnswer",
    "ShardCall",
]
