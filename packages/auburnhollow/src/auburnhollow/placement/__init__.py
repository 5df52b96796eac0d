"""Placing requests where room is: machines' slowness, and time for the way back."""

from .lag import LagReserve
from .slowness import MachineSlowness

__all__ = ["LagReserve", "MachineSlowness"]
