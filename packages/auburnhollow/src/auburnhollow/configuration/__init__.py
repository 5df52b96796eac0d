"""The operators' configuration: schema, checks, storage and distribution to nodes."""

from .check import check_document, check_effect
from .difference import differences
from .holder import ConfigurationHolder
from .model import Configuration, IndexVersion, Server, Service, Shard
from .records import StoredConfiguration, new_change_id
from .repository import Repository

__all__ = [
    "Configuration",
    "IndexVersion",
    "ConfigurationHolder",
    "Repository",
    "Server",
    "Service",
    "Shard",
    "StoredConfiguration",
    "check_document",
    "check_effect",
    "differences",
    "new_change_id",
]
