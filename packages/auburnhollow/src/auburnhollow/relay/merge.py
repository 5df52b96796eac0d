"""Merges the records of several shards."""

RECORD_BYTES = 16


def merge(bodies, max_records):
    """Return the greatest ``max_records`` records of all bodies, greatest first, as bytes.

    Records have 16 bytes and are compared byte by byte; equal records are all kept. An incomplete
    record at the end of a body is ignored.

    :param bodies: list of bytes.

    >>> merge([b"a" * 16 + b"c" * 16, b"b" * 16], max_records=2)[::16]
    b'cb'
    """
    records = []
    for body in bodies:
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
            records.append(body[start : start + RECORD_BYTES])
    records.sort(reverse=True)
    return b"".join(records[:max_records])
