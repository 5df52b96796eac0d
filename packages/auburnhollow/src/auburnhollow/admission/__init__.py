"""Admission at the entry: whether a request starts now, waits or is refused.

It has no effect until backend servers report that they have no free slots.
"""

from .decision import Admission, Ask, Verdict
from .entry import Entry
from .queue import Queue
from .returns import Returns
from .room import Room

__all__ = ["Admission", "Ask", "Entry", "Queue", "Returns", "Room", "Verdict"]
