"""Routes: which backend servers may answer a request that is passed on."""

from .model import Branch, FrontLimits, Route, Service
from .split import Split
from .table import RouteTable

__all__ = ["Branch", "FrontLimits", "Route", "RouteTable", "Service", "Split"]
