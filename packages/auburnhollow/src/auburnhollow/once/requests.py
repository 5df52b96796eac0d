"""An order and its idempotency key."""

import hashlib
import re

import orjson

from ..exceptions import BadRequest, Finding
from ..hashing import hash_of
from ..records import Record

# All nodes must use the same values: they determine which stored record holds a key.
KEY_RANGES = 16
BUCKET_MS = 10_000

MAX_CLOCK_SKEW_MS = 60_000
KEY_PATTERN = re.compile(r"^(\d{13})\.([A-Za-z0-9_-]{8,100})$")

NONE = "none"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Order(Record):
    """A request that may not be repeated.

    ``key`` is the idempotency key, which holds its issue time; ``earlier`` is what the caller knows
    of its earlier tries with the key: ``none`` were made, all were ``not-run``, or ``unknown``. The
    default of ``deadline_ms`` is the service's.
    """

    __slots__ = (
        "caller",
        "key",
        "service",
        "selector",
        "order",
        "request_class",
        "deadline_ms",
        "earlier",
    )


class OrderResult(Record):
    """The outcome of an order; ``replayed`` is set if an earlier try ran it."""

    __slots__ = ("key", "service", "outcome", "replayed")


class Key(Record):
    """A parsed key.

    ``id`` is unique per caller, ``issued_ms`` the wall time of its issue; ``range`` and ``bucket``
    determine the record of its claim.
    """

    __slots__ = ("id", "issued_ms", "range", "bucket")

    @property
    def record_key(self):
        """The key of the stored record that holds the claim."""
        return f"once/{self.range:04d}/{self.bucket:012d}"


def parse_key(caller, text):
    """Return the :class:`Key`; equal texts of different callers give different keys.

    :raises BadRequest: when the key is not of the form ``<issue time in ms>.<random text>``.
    """
    matched = KEY_PATTERN.match(text or "")
    if matched is None:
        finding = Finding(
            "Idempotency-Key",
            "must be 13 digits (milliseconds since 1970), a dot, and 8 to 100 letters or digits",
        )
        raise BadRequest("the idempotency key is not valid", [finding])
    issued_ms = int(matched.group(1))
    identity = hashlib.blake2b(f"{caller}\0{text}".encode(), digest_size=16).hexdigest()
    return Key(
        id=identity,
        issued_ms=issued_ms,
        range=hash_of(identity) % KEY_RANGES,
        bucket=issued_ms // BUCKET_MS,
    )


def body_hash(order):
    """Return a hash of the order's service, selector and body."""
    body = [order.service, order.selector, order.order]
    data = orjson.dumps(body, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=12).hexdigest()
