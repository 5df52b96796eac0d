"""auburnhollow: a query tier over many shards.

>>> import auburnhollow
>>> answer = auburnhollow.search("http://127.0.0.1:8001", "booking-desk", {"text": "jaw crusher"})
>>> answer.rows[0]["id"], answer.complete
"""

import importlib

__version__ = "0.1.0"

__all__ = ["AuburnhollowError", "QueryError", "Ran", "Session", "check", "order", "search"]

_MODULES = {
    "AuburnhollowError": ".exceptions",
    "QueryError": ".exceptions",
    "Ran": ".exceptions",
    "Session": ".sessions",
    "check": ".api",
    "order": ".api",
    "search": ".api",
}


def __getattr__(name):
    """Import public names on first use, so that a node starts without the caller's modules."""
    module = _MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(module, __name__), name)
