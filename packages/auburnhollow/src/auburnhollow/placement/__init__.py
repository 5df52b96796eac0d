"""Placing requests where room is: machines' slowness, early hedges, and time for the way back."""

from .hedges import hedge_at_ms
from .lag import LagReserve
from .slowness import MachineSlowness

__all__ = ["LagReserve", "MachineSlowness", "hedge_at_ms"]
