"""Positions in the changes of a store that may come back from an older copy.

The store then gives revisions out again, and its era rises. A position orders changes across eras.
Era 0 is that of a store that names none; positions then equal revisions, as builds that know of no
eras count. The numbers that a store names count from 1 here, whichever is its first.
"""

REVISION_BITS = 44
MAX_REVISION = (1 << REVISION_BITS) - 1
# Positions are signed 64-bit integers on the wire.
MAX_ERA = (1 << (63 - REVISION_BITS)) - 1


def era_named(number):
    """Return the era of a store that names ``number``, 0 or more, as its era."""
    return number + 1


def named_era(position):
    """Return the number by which the store names the era of a position, ``None`` if it does not."""
    era = era_of(position)
    return era - 1 if era else None


def position_of(era, revision):
    """Return the position of a store revision in an era.

    :raises ValueError: when either is negative or too large.
    """
    if not 0 <= era <= MAX_ERA or not 0 <= revision <= MAX_REVISION:
        raise ValueError(f"era {era}, revision {revision}")
    return (era << REVISION_BITS) | revision


def era_of(position):
    """Return the era of a position."""
    return position >> REVISION_BITS


def revision_of(position):
    """Return the store revision of a position, within its era."""
    return position & MAX_REVISION


def for_asker(position, asked):
    """Return a position as the node that has asked counts, ``None`` for ``None``.

    :param asked: the position that it has asked from; builds that know of no eras send a revision
        or ``None``, and get a revision.
    """
    if position is None or (asked is not None and era_of(asked)):
        return position
    return revision_of(position)
