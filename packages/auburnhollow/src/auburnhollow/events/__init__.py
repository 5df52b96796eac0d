"""Events of one process, for a time line over all processes."""

from .recorder import Event, Recorder

__all__ = ["Event", "Recorder"]
