"""Events of one process, for a timeline of all processes."""

from .recorder import Event, Recorder

__all__ = ["Event", "Recorder"]
