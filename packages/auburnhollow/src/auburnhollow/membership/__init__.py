"""Membership of the fleet: which nodes exist and which of them are alive."""

from .detector import Membership
from .members import ALIVE, DEAD, LEFT, SUSPECT, Member

__all__ = ["ALIVE", "DEAD", "LEFT", "SUSPECT", "Member", "Membership"]
