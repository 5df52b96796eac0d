"""Placing requests where room is: the slowness that servers report of their machines."""

from .slowness import MachineSlowness

__all__ = ["MachineSlowness"]
