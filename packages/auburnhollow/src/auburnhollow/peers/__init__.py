"""Messaging between nodes: msgpack messages over TCP connections."""

from .client import PeerClient, Peers
from .codec import Message, pack, register
from .server import PeerServer

__all__ = ["Message", "PeerClient", "PeerServer", "Peers", "pack", "register"]
