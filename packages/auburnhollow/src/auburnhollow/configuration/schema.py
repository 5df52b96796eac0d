"""The JSON Schema of the operators' configuration."""

SEARCH = "search"
CHECK = "check"
ORDER = "order"
KINDS = [SEARCH, CHECK, ORDER]

_NAME = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"}
_LABELS = {
    "type": "object",
    "additionalProperties": {
        "anyOf": [{"type": "string"}, {"type": "array", "items": {"type": "string"}}]
    },
}
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


def _object(required, optional):
    return {
        "type": "object",
        "additionalProperties": False,
        "required": sorted(required),
        "properties": {**required, **optional},
    }


SHARD = _object({"name": _NAME}, {"labels": _LABELS})
VERSION = _object(
    {
        "version": {"type": "integer", "minimum": 1},
        "shards": {"type": "array", "items": SHARD, "minItems": 1},
    },
    {},
)
POLICY = _object(
    {},
    {
        "coverage": {"enum": ["deadline", "complete"]},
        "deadline_ms": {"type": "number", "exclusiveMinimum": 0, "maximum": 60000},
        "hedge_quantile": {"type": "number", "minimum": 0.5, "maximum": 0.999},
        "hedge_fraction": {"type": "number", "minimum": 0, "maximum": 0.5},
        "retry_fraction": {"type": "number", "minimum": 0, "maximum": 1},
        "silent_ms": {"type": "number", "exclusiveMinimum": 0, "maximum": 60000},
    },
)
SERVICE = _object(
    {
        "name": _NAME,
        "kinds": {"type": "array", "items": {"enum": KINDS}, "minItems": 1},
        "selector": _SELECTOR,
        "versions": {"type": "array", "items": VERSION, "minItems": 1},
        "slots": {"type": "integer", "minimum": 1, "maximum": 1000},
        "connections": {"type": "integer", "minimum": 1, "maximum": 10000},
    },
    {"labels": _LABELS, "policy": POLICY},
)
SERVER = _object(
    {
        "id": _NAME,
        "address": {"type": "string", "pattern": "^[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}$"},
        "data_centre": _NAME,
        "labels": _LABELS,
    },
    {},
)
DATA_CENTRE = _object({"name": _NAME, "region": _NAME}, {})
CONFIGURATION = {
    "$schema": "https://json-schema.org/draft/2020-12/schema",
    **_object(
        {
            "data_centres": {"type": "array", "items": DATA_CENTRE, "minItems": 1},
            "services": {"type": "array", "items": SERVICE},
            "servers": {"type": "array", "items": SERVER},
        },
        {"draining": {"type": "array", "items": _NAME}},
    ),
}
