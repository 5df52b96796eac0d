"""A node that passes requests on unread, as the operators' routes say."""

from .node import RelayNode

__all__ = ["RelayNode"]
