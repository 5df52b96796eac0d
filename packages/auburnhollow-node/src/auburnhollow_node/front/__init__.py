"""The HTTP front: what callers and operators reach."""

from .app import build_app

__all__ = ["build_app"]
