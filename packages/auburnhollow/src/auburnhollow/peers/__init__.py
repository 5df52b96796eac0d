"""Messages between nodes: msgpack over TCP streams."""

from .codec import Message, pack, register
from .link import PeerLink, Peers
from .server import PeerServer

__all__ = ["Message", "PeerLink", "PeerServer", "Peers", "pack", "register"]
