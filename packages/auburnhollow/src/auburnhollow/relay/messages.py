"""Requests and answers that are passed on unread."""

from ..records import Record


class Request(Record):
    """A caller's request; method, target, headers and body go on as they came.

    ``target`` is the path with the query, as sent; ``headers`` are pairs of text without those
    that concern one connection only. ``caller`` tells callers apart. ``received_ms`` and
    ``limit_ms`` are times of the node's clock: when the request came, and when its caller stops
    waiting for the answer.
    """

    __slots__ = (
        "id",
        "caller",
        "method",
        "host",
        "target",
        "headers",
        "body",
        "received_ms",
        "limit_ms",
    )

    @property
    def identity(self):
        """What is the same when the caller sends the request again under another id."""
        return [self.caller, self.method, self.host, self.target, self.body.hex()]

    @property
    def path(self):
        """The target without the query."""
        return self.target.partition("?")[0]


class Answer(Record):
    """A backend server's whole answer; ``signature`` is its proof, ``None`` without one."""

    __slots__ = ("status", "headers", "body", "signature", "load")

    @property
    def is_success(self):
        """Whether the server says that it did what was asked."""
        return 200 <= self.status < 300


class Merged(Record):
    """The greatest records of the shards that answered.

    ``signatures`` has one entry for each shard that is in, ``missing`` counts the others.
    """

    __slots__ = ("body", "signatures", "missing")
