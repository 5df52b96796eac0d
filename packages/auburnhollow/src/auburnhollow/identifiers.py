"""Unique identifiers."""

import itertools
import secrets

_PREFIX = secrets.token_hex(6)
_NUMBERS = itertools.count(1)


def new_id():
    """Return an id that is unique over all processes."""
    return f"{_PREFIX}{next(_NUMBERS):x}"
