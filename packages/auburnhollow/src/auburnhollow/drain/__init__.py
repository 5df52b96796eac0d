"""Backend servers that are leaving."""

from .leaving import Leaving

__all__ = ["Leaving"]
