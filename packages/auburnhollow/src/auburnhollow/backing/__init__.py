"""Clients of the platform's services: the key-value store and the instance list."""

from .instances import Instance, InstanceList
from .store import HttpStore, KeyValue, Store

__all__ = ["HttpStore", "Instance", "InstanceList", "KeyValue", "Store"]
