"""Settings of a node."""

from auburnhollow.documents import check_schema, read_json
from auburnhollow.exceptions import SettingsError
from auburnhollow.records import Record

_NAME = {"type": "string", "pattern": "^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$"}
_PORT = {"type": "integer", "minimum": 0, "maximum": 65535}
_URL = {"type": "string", "pattern": "^http://[^/]+$"}
_ADDRESS = {"type": "string", "pattern": "^[^:]+:[0-9]{1,5}$"}
_DURATION = {"type": "number", "minimum": 0, "maximum": 3_600_000}

# Claims are stored for two hours; the other hour allows for clock differences.
MAX_CLAIM_WINDOW_MS = 3_600_000

SETTINGS = {
    "type": "object",
    "additionalProperties": False,
    "required": ["id", "data_centre", "host", "port", "peer_port", "store", "instances"],
    "properties": {
        "id": _NAME,
        "data_centre": _NAME,
        "host": {"type": "string"},
        "port": _PORT,
        "peer_port": _PORT,
        "store": _URL,
        "instances": _URL,
        "statsd": {"anyOf": [_ADDRESS, {"type": "null"}]},
        "log_format": {"enum": ["text", "json"]},
        "log_level": {"enum": ["debug", "info", "warning", "error"]},
        "admission_limit": {"type": "integer", "minimum": 8, "maximum": 4000},
        "max_body_bytes": {"type": "integer", "minimum": 1024, "maximum": 16_777_216},
        "body_ms": _DURATION,
        "linger_ms": _DURATION,
        "shutdown_ms": _DURATION,
        "claim_window_ms": {"type": "number", "minimum": 10_000, "maximum": MAX_CLAIM_WINDOW_MS},
        "watchers": {"type": "integer", "minimum": 1, "maximum": 20},
        "seed": {"type": "integer"},
    },
}

DEFAULTS = {
    "statsd": None,
    "log_format": "text",
    "log_level": "info",
    "admission_limit": 64,
    "max_body_bytes": 262_144,
    "body_ms": 5_000.0,
    "linger_ms": 6_000.0,
    "shutdown_ms": 30_000.0,
    "claim_window_ms": 600_000.0,
    "watchers": 3,
    "seed": None,
}


class Settings(Record):
    """Settings of one node; docs/OPERATORS.md lists each with unit, default and range."""

    __slots__ = tuple(SETTINGS["properties"])


def check_settings(document):
    """Return a :class:`~auburnhollow.exceptions.Finding` for each fault in ``document``."""
    return check_schema(SETTINGS, document)


def read_settings(path):
    """Return the :class:`Settings` in a JSON file.

    :raises SettingsError: with all findings, if there are any.
    """
    document = read_json(path, SettingsError)
    findings = check_settings(document)
    if findings:
        raise SettingsError(findings)
    return Settings(**{**DEFAULTS, **document})
