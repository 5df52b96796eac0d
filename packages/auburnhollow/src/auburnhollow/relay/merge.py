"""Merging the records of several shards."""

RECORD_BYTES = 16


def merge(bodies, most):
    """Return the greatest ``most`` records of all bodies, greatest first, as bytes.

    Records have 16 bytes and compare byte by byte; equal ones all count. A shorter rest at the
    end of a body is no record.

    :param bodies: list of bytes.

    >>> merge([b"a" * 16 + b"c" * 16, b"b" * 16], most=2)[::16]
    b'cb'
    """
    records = []
    for body in bodies:
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    records.sort(reverse=True)
    return b"".join(records[:most])
