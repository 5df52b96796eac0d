"""The exception tree.

Errors that a caller may see are :class:`QueryError` and below. Each carries ``ran``, which says
whether a backend server acted on the request, and ``retry_after_ms``, which says when to come back.
"""

from enum import StrEnum

from .records import Record


class Ran(StrEnum):
    """Whether a backend server acted on a request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Finding(Record):
    """One fault in a document, with its place.

    >>> Finding("services[2].selector", "no backend server carries tier=gold")
    """

    __slots__ = ("place", "text")

    def __init__(self, place, text):
        super().__init__(place=place, text=text)

    def __str__(self):
        return f"{self.place}: {self.text}"


class AuburnhollowError(Exception):
    """Base of all errors of this project."""


class FindingsError(AuburnhollowError):
    """A document has faults; all of them are reported together.

    :param findings: list of :class:`Finding`.
    """

    def __init__(self, findings):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = list(findings)


class SettingsError(FindingsError):
    """A node's settings are not valid."""


class ConfigurationError(FindingsError):
    """An operators' configuration is not valid."""


class ConflictError(AuburnhollowError):
    """Another operator changed the configuration first.

    :param current: the configuration that is in the store now.
    """

    def __init__(self, message, current=None):
        super().__init__(message)
        self.current = current


class StoreError(AuburnhollowError):
    """The platform's key-value service did not do what was asked."""


class StoreUnavailable(StoreError):
    """The store did not take the call; a write had no effect."""


class StoreOutcomeUnknown(StoreError):
    """The answer to a write was lost; it may have taken effect."""


class PeerError(AuburnhollowError):
    """Another node could not be reached or did not answer in time."""


class PeerUnreachable(PeerError):
    """No connection to another node could be opened; it was told nothing."""


class PeerRefused(PeerError):
    """Another node said that it does not do what it was asked."""


class ProtocolError(PeerError):
    """A peer sent what is not a message."""


class BackendError(AuburnhollowError):
    """A call to a backend server gave no answer.

    :param ran: :class:`Ran`, whether the server acted on the request.
    """

    ran = Ran.UNKNOWN

    def __init__(self, message, ran=None):
        super().__init__(message)
        if ran is not None:
            self.ran = ran

    @property
    def kind(self):
        """How the call failed, as metrics name it."""
        return type(self).__name__.removeprefix("Backend").lower()


class BackendRefused(BackendError):
    """The server said that it did not run the request.

    :param reason: ``draining``, ``overload`` or ``cold``.
    :param incarnation: of the server, if it said so.
    """

    ran = Ran.NO

    def __init__(self, message, reason, retry_after_ms=None, incarnation=None):
        super().__init__(message)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.incarnation = incarnation


class BackendUnreachable(BackendError):
    """No connection could be opened."""

    ran = Ran.NO


class BackendFull(BackendUnreachable):
    """The server has as many connections as it takes."""


class BackendReplaced(BackendError):
    """Another server answers at the address of the one that was meant; it ran nothing."""

    ran = Ran.NO


class BackendLacksVersion(BackendError):
    """The server does not hold the asked index version.

    :param held: list of versions that it holds.
    """

    ran = Ran.NO

    def __init__(self, message, held=()):
        super().__init__(message)
        self.held = tuple(held)


class BackendDied(BackendError):
    """The connection ended under the request, and the server takes no new one."""


class BackendCut(BackendError):
    """The connection ended under the request."""


class BackendTimeout(BackendError):
    """No answer came in time."""


class BackendSilent(BackendError):
    """No byte came on a connection for longer than any sane answer takes."""


class BackendMismatch(BackendError):
    """The answer belongs to another request, version or shard, or is not whole."""


class BackendFault(BackendError):
    """The server ran the request and failed."""

    ran = Ran.YES


class QueryError(AuburnhollowError):
    """A caller's request got no answer.

    :param detail: one sentence for a person.
    :param ran: :class:`Ran`.
    :param retry_after_ms: when to come back, in milliseconds, or ``None`` for never.
    :param request: the request, if it could be read.
    :param response: the answer that was received, on the caller's side.
    """

    status = 500
    code = "internal"
    ran = Ran.UNKNOWN

    def __init__(self, detail, ran=None, retry_after_ms=None, request=None, response=None):
        super().__init__(detail)
        self.detail = detail
        if ran is not None:
            self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.request = request
        self.response = response


class BadRequest(QueryError):
    """The request is not valid; findings say where."""

    status = 400
    code = "bad-request"
    ran = Ran.NO

    def __init__(self, detail, findings=(), **options):
        super().__init__(detail, **options)
        self.findings = list(findings)


class UnknownService(QueryError):
    """The configuration has no such service."""

    status = 404
    code = "unknown-service"
    ran = Ran.NO


class NoShardMatched(QueryError):
    """The selector matches no shard."""

    status = 404
    code = "no-shard-matched"
    ran = Ran.NO


class NoRoute(QueryError):
    """No route leads where the request wants to go."""

    status = 404
    code = "no-route"
    ran = Ran.NO


class TooLarge(QueryError):
    """The request is larger than callers may send."""

    status = 413
    code = "too-large"
    ran = Ran.NO


class TooSlow(QueryError):
    """The caller has not sent the whole request in its time."""

    status = 408
    code = "too-slow"
    ran = Ran.NO


class NotReady(QueryError):
    """The node has no configuration, or an older one than the caller has seen."""

    status = 503
    code = "not-ready"
    ran = Ran.NO


class Overloaded(QueryError):
    """The request was shed."""

    status = 503
    code = "overloaded"
    ran = Ran.NO


class DeadlinePassed(QueryError):
    """The deadline passed before any answer."""

    status = 504
    code = "deadline-passed"


class Unavailable(QueryError):
    """No backend server could answer."""

    status = 503
    code = "unavailable"


class Quarantined(QueryError):
    """Requests like this one have crashed backend servers."""

    status = 422
    code = "quarantined"


class KeyReused(QueryError):
    """The idempotency key was used with another body."""

    status = 422
    code = "key-reused"


class KeyExpired(QueryError):
    """The idempotency key is older than the time that claims are kept."""

    status = 410
    code = "key-expired"
    ran = Ran.UNKNOWN


class OutcomeUnknown(QueryError):
    """The request may have run; it is never run again."""

    status = 409
    code = "outcome-unknown"
    ran = Ran.UNKNOWN


class BackendRejected(QueryError):
    """A backend server ran the request and failed it."""

    status = 502
    code = "backend-fault"
    ran = Ran.YES
