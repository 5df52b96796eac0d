"""Reading and validation of callers' request bodies."""

import asyncio

import orjson

from auburnhollow.documents import check_schema
from auburnhollow.exceptions import BadRequest, Finding, QueryError, Ran
from auburnhollow.identifiers import new_id
from auburnhollow.limits.classes import CLASSES, INTERACTIVE, URGENT
from auburnhollow.once import Order
from auburnhollow.scatter import Search

MAX_ROWS = 1_000
DEFAULT_ROWS = 20
MAX_DEADLINE_MS = 60_000
COMPLETE_LIMIT_FACTOR = 4.0

_TEXT = {"type": "string", "minLength": 1, "maxLength": 128}
_SELECTOR = {
    "type": "object",
    "additionalProperties": {
        "anyOf": [
            {"type": "string"},
            {"type": "null"},
            {"type": "array", "items": {"type": "string"}, "minItems": 1},
        ]
    },
}
_DEADLINE = {"type": "number", "exclusiveMinimum": 0, "maximum": MAX_DEADLINE_MS}

SEARCH = {
    "type": "object",
    "additionalProperties": False,
    "required": ["query"],
    "anyOf": [{"required": ["service"]}, {"required": ["selector"]}],
    "properties": {
        "service": _TEXT,
        "selector": _SELECTOR,
        "query": {"type": "object"},
        "rows": {"type": "integer", "minimum": 1, "maximum": MAX_ROWS},
        "class": {"enum": list(CLASSES)},
        "coverage": {"enum": ["deadline", "complete"]},
        "deadline_ms": _DEADLINE,
        "limit_ms": _DEADLINE,
        "at_least": {"type": "integer", "minimum": 0},
        "request_id": _TEXT,
        "trace": {"type": "boolean"},
    },
}
ORDER = {
    "type": "object",
    "additionalProperties": False,
    "required": ["service", "order"],
    "properties": {
        "service": _TEXT,
        "order": {"type": "object"},
        "selector": _SELECTOR,
        "earlier": {"enum": ["none", "not-run", "unknown"]},
        "class": {"enum": list(CLASSES)},
        "deadline_ms": _DEADLINE,
        "request_id": _TEXT,
    },
}


class TooLarge(QueryError):
    """The request body exceeds the size limit."""

    status = 413
    code = "too-large"
    ran = Ran.NO


class TooSlow(QueryError):
    """The request body did not arrive in time."""

    status = 408
    code = "too-slow"
    ran = Ran.NO


async def read_body(request, limit_bytes, timeout_ms):
    """Return the JSON object in a request's body.

    :raises QueryError: if it is too large, too slow, incomplete, or not a JSON object.
    """
    if request.content_length is not None and request.content_length > limit_bytes:
        raise TooLarge(f"the body has {request.content_length} bytes, the limit is {limit_bytes}")
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            data = await request.stream.read(limit_bytes + 1)
    except TimeoutError:
        raise TooSlow(f"the body did not arrive within {timeout_ms:.0f} ms") from None
    if len(data) > limit_bytes:
        raise TooLarge(f"the body has more than {limit_bytes} bytes")
    if request.content_length is not None and len(data) < request.content_length:
        raise BadRequest("the body is shorter than its Content-Length")
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        finding = Finding(f"line {error.lineno} column {error.colno}", error.msg)
        raise BadRequest("the body is not JSON", [finding]) from None
    if not isinstance(body, dict):
        raise BadRequest("the body is not a JSON object", [Finding("document", "not an object")])
    return body


def check_body(schema, body):
    """Validate a body.

    :raises BadRequest: with all findings, if there are any.
    """
    findings = check_schema(schema, body)
    if findings:
        raise BadRequest(f"the request is not valid: {len(findings)} findings", findings)


def read_search(body, kind, caller, policy):
    """Return the :class:`Search` in a validated body.

    :param kind: ``search`` or ``check``.
    :param policy: the service's :class:`Policy`, which has the defaults of absent fields.
    """
    deadline_ms = body.get("deadline_ms", policy.deadline_ms)
    limit_ms = body.get("limit_ms", min(MAX_DEADLINE_MS, deadline_ms * COMPLETE_LIMIT_FACTOR))
    return Search(
        caller=caller,
        request_id=body.get("request_id") or new_id(),
        kind=kind,
        service=body.get("service"),
        selector=body.get("selector", {}),
        query=body["query"],
        rows=body.get("rows", DEFAULT_ROWS),
        request_class=body.get("class", INTERACTIVE),
        coverage=body.get("coverage", policy.coverage),
        deadline_ms=deadline_ms,
        limit_ms=limit_ms,
        at_least=body.get("at_least", 0),
    )


def read_order(body, key, caller):
    """Return the :class:`Order` in a validated body."""
    return Order(
        caller=caller,
        key=key,
        service=body["service"],
        selector=body.get("selector", {}),
        order=body["order"],
        request_class=body.get("class", URGENT),
        deadline_ms=body.get("deadline_ms"),
        earlier=body.get("earlier", "unknown"),
    )
