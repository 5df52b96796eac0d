"""Differences between two JSON documents."""

from ..documents import place_of
from ..records import Record

_ABSENT = object()


class Difference(Record):
    """A place where two documents differ; an absent ``before`` or ``after`` is ``None``."""

    __slots__ = ("place", "before", "after")

    def __str__(self):
        return f"{self.place}: {self.before!r} -> {self.after!r}"


def differences(before, after):
    """Return a list of :class:`Difference`.

    Lists of objects with an ``id`` or ``name`` are compared by that key, not by position.
    """
    found = []
    _compare([], before, after, found)
    return found


def _compare(path, before, after, found):
    if before == after:
        return
    old, new = _keyed(before), _keyed(after)
    if isinstance(old, dict) and isinstance(new, dict):
        for key in [*old, *(key for key in new if key not in old)]:
            _compare([*path, key], old.get(key, _ABSENT), new.get(key, _ABSENT), found)
        return
    found.append(Difference(place=place_of(path), before=_shown(before), after=_shown(after)))


def _keyed(value):
    if not isinstance(value, list):
        return value
    keyed = {}
    for entry in value:
        if not isinstance(entry, dict):
            return value
        key = entry.get("id", entry.get("name", entry.get("version")))
        if key is None:
            return value
        keyed[f"[{key}]"] = entry
    return keyed


def _shown(value):
    return None if value is _ABSENT else value
