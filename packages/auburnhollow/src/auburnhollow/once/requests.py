"""An order and its idempotency key."""

import hashlib
import re

import orjson

from ..exceptions import BadRequest, Finding
from ..hashing import hash_of
from ..records import Record

# All nodes must agree on these two: they say which stored record holds a key.
RANGES = 16
BUCKET_MS = 10_000

MOST_SKEW_MS = 60_000
KEY_FORM = re.compile(r"^(\d{13})\.([A-Za-z0-9_-]{8,100})$")

NONE = "none"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


class Order(Record):
    """A request that may not be repeated.

    ``key`` holds the time of its issue; ``earlier`` is what the caller knows of its earlier tries
    under the key: ``none`` were made, each was ``not-run``, or it is ``unknown``. Without a
    ``deadline_ms`` the service's goes.
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
    """What an order came to; ``replayed`` tells that it ran for an earlier try."""

    __slots__ = ("key", "service", "outcome", "replayed")


class Key(Record):
    """A parsed key: its scoped id, the wall time of its issue, and where its claim is kept."""

    __slots__ = ("id", "issued_ms", "range", "bucket")

    @property
    def record_key(self):
        """The store's key of the record that holds the claim."""
        return f"once/{self.range:04d}/{self.bucket:012d}"


def parse_key(caller, text):
    """Return the :class:`Key`; two callers' keys never meet.

    :raises BadRequest: when the key is not of the form ``<issue time in ms>.<random text>``.
    """
    found = KEY_FORM.match(text or "")
    if found is None:
        finding = Finding(
            "Idempotency-Key",
            "must be 13 digits (milliseconds since 1970), a dot, and 8 to 100 letters or digits",
        )
        raise BadRequest("the idempotency key is not valid", [finding])
    issued_ms = int(found.group(1))
    identity = hashlib.blake2b(f"{caller}\0{text}".encode(), digest_size=16).hexdigest()
    return Key(
        id=identity,
        issued_ms=issued_ms,
        range=hash_of(identity) % RANGES,
        bucket=issued_ms // BUCKET_MS,
    )


def body_hash(order):
    """Return a hash of what the order asks for."""
    body = [order.service, order.selector, order.order]
    data = orjson.dumps(body, option=orjson.OPT_SORT_KEYS)
    return hashlib.blake2b(data, digest_size=12).hexdigest()
