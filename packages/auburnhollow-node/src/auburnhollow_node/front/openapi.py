"""The OpenAPI document of the callers' endpoints."""

from auburnhollow.scatter import Gap

from . import bodies

PROBLEM = {
    "type": "object",
    "required": ["type", "title", "status", "detail", "ran", "retry_after_ms", "request_id"],
    "properties": {
        "type": {"type": "string"},
        "title": {"type": "string"},
        "status": {"type": "integer"},
        "detail": {"type": "string"},
        "ran": {"enum": ["no", "unknown", "yes"]},
        "retry_after_ms": {"type": ["number", "null"]},
        "request_id": {"type": ["string", "null"]},
        "findings": {"type": "array", "items": {"type": "object"}},
    },
}
COVERAGE = {
    "type": "object",
    "required": ["complete", "asked", "answered", "shards", "missing"],
    "properties": {
        "complete": {"type": "boolean"},
        "asked": {"type": "integer"},
        "answered": {"type": "integer"},
        "shards": {"type": "array", "items": {"type": "string"}},
        "missing": {
            "type": "array",
            "items": {
                "type": "object",
                "required": ["shard", "reason"],
                "properties": {
                    "shard": {"type": "string"},
                    "reason": {"enum": [gap.value for gap in Gap]},
                    "detail": {"type": ["string", "null"]},
                },
            },
        },
    },
}
ANSWER = {
    "type": "object",
    "required": ["request_id", "service", "snapshot", "rows", "coverage"],
    "properties": {
        "request_id": {"type": "string"},
        "service": {"type": "string"},
        "snapshot": {"type": "integer"},
        "rows": {"type": "array", "items": {"type": "object", "required": ["id", "score"]}},
        "coverage": COVERAGE,
    },
}
ORDER_RESULT = {
    "type": "object",
    "required": ["key", "service", "outcome", "replayed"],
    "properties": {
        "key": {"type": "string"},
        "service": {"type": "string"},
        "outcome": {},
        "replayed": {"type": "boolean"},
    },
}
KEY_HEADER = {
    "name": "Idempotency-Key",
    "in": "header",
    "required": True,
    "schema": {"type": "string", "pattern": r"^\d{13}\.[A-Za-z0-9_-]{8,100}$"},
}
CALLER_HEADER = {
    "name": "Caller",
    "in": "header",
    "required": False,
    "schema": {"type": "string"},
}


def _content(schema, media_type="application/json"):
    return {"content": {media_type: {"schema": schema}}}


def _operation(summary, request, answers, headers=()):
    problem = {"description": "a problem (RFC 9457)"}
    responses = {
        status: {"description": text, **_content(schema)}
        for status, (text, schema) in answers.items()
    }
    responses["default"] = {**problem, **_content(PROBLEM, "application/problem+json")}
    return {
        "post": {
            "summary": summary,
            "parameters": [CALLER_HEADER, *headers],
            "requestBody": {"required": True, **_content(request)},
            "responses": responses,
        }
    }


def document(version):
    """Return the OpenAPI document as a dictionary."""
    answers = {
        "200": ("every shard answered in full", ANSWER),
        "207": ("some shards are missing; `coverage.missing` says which and why", ANSWER),
    }
    return {
        "openapi": "3.1.0",
        "info": {"title": "auburnhollow", "version": version},
        "paths": {
            "/v1/search": _operation("Search all matching shards", bodies.SEARCH, answers),
            "/v1/check": _operation("Ask one shard", bodies.SEARCH, answers),
            "/v1/orders": _operation(
                "Run a request that may not be repeated",
                bodies.ORDER,
                {"200": ("the outcome", ORDER_RESULT)},
                [KEY_HEADER],
            ),
        },
    }
