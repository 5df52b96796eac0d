"""Conversion of errors to problem documents (RFC 9457)."""

import logging
import math

import falcon
import orjson

from auburnhollow.exceptions import BadRequest, QueryError, Ran

log = logging.getLogger("front")

MEDIA_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:auburnhollow:problem:"


def problem_of(error, request_id):
    """Return the problem document of a :class:`QueryError`."""
    document = {
        "type": TYPE_PREFIX + error.code,
        "title": error.code.replace("-", " "),
        "status": error.status,
        "detail": error.detail,
        "ran": error.ran.value,
        "retry_after_ms": error.retry_after_ms,
        "request_id": request_id,
    }
    if isinstance(error, BadRequest):
        document["findings"] = [finding.to_map() for finding in error.findings]
    return document


def write_problem(response, error, request_id):
    """Write the problem document of ``error`` to ``response``."""
    response.status = error.status
    response.content_type = MEDIA_TYPE
    response.data = orjson.dumps(problem_of(error, request_id))
    if error.retry_after_ms is not None:
        response.set_header("Retry-After", str(max(1, math.ceil(error.retry_after_ms / 1000))))


def request_id_of(request):
    """Return the request's id, given by the caller or by the node, or ``None``."""
    return getattr(request.context, "request_id", None)


async def on_query_error(request, response, error, _parameters):
    """Answer with the problem document of a :class:`QueryError`."""
    write_problem(response, error, request_id_of(request))


async def on_http_error(request, response, error, _parameters):
    """Answer with the problem document of an error raised by Falcon."""
    problem = QueryError(error.description or error.title or "", ran=Ran.NO)
    problem.status = error.status_code
    problem.code = (error.title or "error").lower().replace(" ", "-")
    write_problem(response, problem, request_id_of(request))
    for name, value in (error.headers or {}).items():
        response.set_header(name, value)


async def on_unexpected_error(request, response, error, _parameters):
    """Answer an unexpected error; whether the request ran is unknown."""
    log.error("front: internal error in a request", exc_info=error)
    write_problem(response, QueryError("internal error"), request_id_of(request))


def add_error_handlers(app):
    """Make ``app`` answer all errors with problem documents."""
    app.add_error_handler(Exception, on_unexpected_error)
    app.add_error_handler(falcon.HTTPError, on_http_error)
    app.add_error_handler(QueryError, on_query_error)
