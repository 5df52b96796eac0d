"""Routes: which services a forwarded request may go to."""

from .model import Branch, FrontLimits, Route, Service
from .split import Split
from .table import RouteTable

__all__ = ["Branch", "FrontLimits", "Route", "RouteTable", "Service", "Split"]
