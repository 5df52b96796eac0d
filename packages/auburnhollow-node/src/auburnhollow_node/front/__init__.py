"""The HTTP front end for callers and operators."""

from .app import build_app

__all__ = ["build_app"]
