"""Exceptions of the project.

Callers may get :class:`QueryError` and its subclasses. Each has ``ran``, which says whether a
backend server ran the request, and ``retry_after_ms``, the time to wait before a retry.
"""

from enum import StrEnum

from .records import Record


class Ran(StrEnum):
    """Whether a backend server ran a request."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class Finding(Record):
    """An error in a document, with its place.

    >>> Finding("services[2].selector", "no backend server carries tier=gold")
    """

    __slots__ = ("place", "text")

    def __init__(self, place, text):
        super().__init__(place=place, text=text)

    def __str__(self):
        return f"{self.place}: {self.text}"


class AuburnhollowError(Exception):
    """Base class of all errors of this project."""


class FindingsError(AuburnhollowError):
    """A document is not valid; all findings are reported together.

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
    """Another change of the configuration was written first.

    :param current: the configuration in the store.
    """

    def __init__(self, message, current=None):
        super().__init__(message)
        self.current = current


class StoreError(AuburnhollowError):
    """A call to the platform's key-value store failed."""


class StoreUnavailable(StoreError):
    """The store did not accept the call; a write had no effect."""


class StoreOutcomeUnknown(StoreError):
    """The answer to a write was lost; it may have taken effect."""


class PeerError(AuburnhollowError):
    """Another node could not be reached or did not answer in time."""


class PeerUnreachable(PeerError):
    """No connection to another node could be opened; nothing was sent."""


class PeerRefused(PeerError):
    """Another node refused a request."""


class ProtocolError(PeerError):
    """A peer sent an invalid message."""


class BackendError(AuburnhollowError):
    """A call to a backend server failed.

    :param ran: :class:`Ran`, whether the server ran the request.
    :param notice: :class:`~auburnhollow.limits.Notice` of the answer, ``None`` without an answer.
    """

    ran = Ran.UNKNOWN

    def __init__(self, message, ran=None, notice=None):
        super().__init__(message)
        self.notice = notice
        if ran is not None:
            self.ran = ran

    @property
    def kind(self):
        """The kind of failure, as in the names of metrics."""
        return type(self).__name__.removeprefix("Backend").lower()


class BackendRefused(BackendError):
    """The server refused the request without running it.

    :param reason: ``draining``, ``overload`` or ``cold``.
    :param incarnation: the server's incarnation, if it sent one.
    """

    ran = Ran.NO

    def __init__(self, message, reason, retry_after_ms=None, incarnation=None, notice=None):
        super().__init__(message, notice=notice)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.incarnation = incarnation


class BackendWithheld(BackendError):
    """The request was not sent after all: while it waited, the reason to send it had gone."""

    ran = Ran.NO


class BackendUnreachable(BackendError):
    """No connection could be opened."""

    ran = Ran.NO


class BackendFull(BackendUnreachable):
    """The server has reached its connection limit."""


class BackendReplaced(BackendError):
    """Another server has the address of the intended one; it did not run the request."""

    ran = Ran.NO


class BackendLacksVersion(BackendError):
    """The server does not hold the requested index version.

    :param held: list of versions that it holds.
    """

    ran = Ran.NO

    def __init__(self, message, held=()):
        super().__init__(message)
        self.held = tuple(held)


class BackendDied(BackendError):
    """The connection was lost during the request, and the server accepts no new one."""


class BackendCut(BackendError):
    """The connection was lost during the request."""


class BackendLost(BackendCut):
    """The connection was lost, and it is not known yet whether the server accepts a new one."""


class BackendTimeout(BackendError):
    """No answer came in time."""


class BackendSilent(BackendError):
    """The connection received no data for longer than any valid answer takes."""


class BackendMismatch(BackendError):
    """The answer is incomplete or belongs to another request, version or shard."""


class BackendOversized(BackendError):
    """The server sent more than an answer may have, or hardly anything of an answer."""


class BackendNoRoom(BackendError):
    """The answer is complete, but this node has no memory for it."""


class BackendFault(BackendError):
    """The server ran the request and failed."""

    ran = Ran.YES


class QueryError(AuburnhollowError):
    """A caller's request failed.

    :param detail: one sentence for people.
    :param ran: :class:`Ran`, whether a backend server ran the request.
    :param retry_after_ms: time until a retry, in milliseconds, or ``None`` for no retry.
    :param request: the request, if it could be read.
    :param response: the problem document that the caller received.

    ``runs`` is on how many servers of one service the request may have run.
    """

    status = 500
    code = "internal"
    ran = Ran.UNKNOWN
    runs = 0

    def __init__(self, detail, ran=None, retry_after_ms=None, request=None, response=None):
        super().__init__(detail)
        self.detail = detail
        if ran is not None:
            self.ran = ran
        self.retry_after_ms = retry_after_ms
        self.request = request
        self.response = response


class BadRequest(QueryError):
    """The request is not valid; ``findings`` has the places."""

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


class Unauthorized(QueryError):
    """The request needs a key, and has none that a client account holds."""

    status = 401
    code = "unauthorized"
    ran = Ran.NO


class QuotaSpent(QueryError):
    """The client account has used up what it may ask for now."""

    status = 429
    code = "quota-spent"
    ran = Ran.NO


class NoRoute(QueryError):
    """No route matches the request."""

    status = 404
    code = "no-route"
    ran = Ran.NO


class TooLarge(QueryError):
    """The request exceeds the size limit."""

    status = 413
    code = "too-large"
    ran = Ran.NO


class TooSlow(QueryError):
    """The caller did not send the whole request in time."""

    status = 408
    code = "too-slow"
    ran = Ran.NO


class NotReady(QueryError):
    """The node has no configuration, or an older one than the caller has seen."""

    status = 503
    code = "not-ready"
    ran = Ran.NO


class Overloaded(QueryError):
    """The request was shed because of overload."""

    status = 503
    code = "overloaded"
    ran = Ran.NO


class DeadlinePassed(QueryError):
    """The deadline passed without an answer."""

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
    """The idempotency key was used for another request body."""

    status = 422
    code = "key-reused"


class KeyExpired(QueryError):
    """The idempotency key is older than the time that claims are stored, or in the future."""

    status = 410
    code = "key-expired"
    ran = Ran.UNKNOWN


class OutcomeUnknown(QueryError):
    """The request may have run; it will not run again."""

    status = 409
    code = "outcome-unknown"
    ran = Ran.UNKNOWN


class BackendRejected(QueryError):
    """A backend server ran the request and reported a failure."""

    status = 502
    code = "backend-fault"
    ran = Ran.YES


def error_of(code, detail, ran, retry_after_ms):
    """Return the :class:`QueryError` with a code, as another node has reported it.

    A code that is not known here gives a plain :class:`QueryError`.
    """
    for error_type in QueryError.__subclasses__():
        if error_type.code == code:
            return error_type(detail, ran=ran, retry_after_ms=retry_after_ms)
    return QueryError(detail, ran=ran, retry_after_ms=retry_after_ms)
