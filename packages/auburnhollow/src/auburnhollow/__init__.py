"""auburnhollow: a query tier over many shards.

>>> import auburnhollow
>>> answer = auburnhollow.search("http://127.0.0.1:8001", "booking-desk", {"text": "jaw crusher"})
>>> answer.rows[0]["id"], answer.complete
"""

from .api import check, order, search
from .exceptions import AuburnhollowError, QueryError, Ran
from .sessions import Session

__version__ = "0.1.0"

__all__ = ["AuburnhollowError", "QueryError", "Ran", "Session", "check", "order", "search"]
