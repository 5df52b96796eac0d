"""The stored form of a configuration."""

import hashlib
import secrets
import zlib

import orjson

from ..records import Record

CURRENT_KEY = "configuration/current"
HISTORY_PREFIX = "configuration/history/"


def new_change_id():
    """Return a new id for an operator's change."""
    return secrets.token_hex(8)


def history_key(number):
    """Return the store's key of revision ``number``; keys sort in the order of revisions."""
    return f"{HISTORY_PREFIX}{number:012d}"


class StoredConfiguration(Record):
    """A configuration with its revision.

    ``number`` is the revision, which grows by one with each change; ``change_id`` identifies the
    change; ``at_ms`` is its wall time.
    """

    __slots__ = ("number", "change_id", "author", "note", "at_ms", "document")

    def to_bytes(self):
        """Return the compressed JSON form."""
        return zlib.compress(orjson.dumps(self.to_map()))

    @classmethod
    def from_bytes(cls, data):
        """Build from :meth:`to_bytes`.

        :raises ValueError: when the data is not a stored configuration.
        """
        try:
            return cls(**orjson.loads(zlib.decompress(data)))
        except (zlib.error, TypeError, KeyError) as error:
            raise ValueError(f"not a stored configuration: {error!r}") from error

    @property
    def fingerprint(self):
        """A short hash of the change and its document."""
        body = orjson.dumps([self.number, self.change_id, self.document])
        return hashlib.blake2b(body, digest_size=8).hexdigest()
