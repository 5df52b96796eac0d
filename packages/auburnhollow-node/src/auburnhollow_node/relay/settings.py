"""Settings of a node that passes requests on."""

import orjson

from auburnhollow.exceptions import Finding, SettingsError
from auburnhollow.records import Record

_MISSING = object()


class Setting(Record):
    """One setting: its type, its default and its bounds; ``_MISSING`` marks a required one."""

    __slots__ = ("kind", "default", "least", "most")


def _text(default=_MISSING):
    return Setting(kind=str, default=default, least=None, most=None)


def _number(default, least, most):
    return Setting(kind=float, default=default, least=least, most=most)


def _whole(default, least, most):
    return Setting(kind=int, default=default, least=least, most=most)


SETTINGS = {
    "id": _text(),
    "adapter": _text(),
    "data_centre": _text(),
    "regions": Setting(kind=dict, default={}, least=None, most=None),
    "front": _text(),
    "ready": _text(),
    "peer": _text(""),
    "seeds": Setting(kind=list, default=[], least=None, most=None),
    "metrics_port": _whole(0, 0, 65_535),
    "store": _text(),
    "retry_ratio": _number(0.1, 0.0, 1.0),
    "retry_window_ms": _number(10_000.0, 1_000.0, 600_000.0),
    "retry_slack": _number(0.0, 0.0, 1_000_000.0),
    "linger_ms": _number(2_600.0, 0.0, 60_000.0),
    "shutdown_ms": _number(5_600.0, 0.0, 600_000.0),
    "log_level": _text("info"),
    "log_lines_per_s": _whole(200, 1, 100_000),
    "seed": _whole(None, 0, 2**63),
}


# What a running node can change; sockets and connections hang on all else, which needs a restart.
RELOADABLE = (
    "seeds",
    "retry_ratio",
    "retry_window_ms",
    "retry_slack",
    "linger_ms",
    "shutdown_ms",
    "log_level",
    "log_lines_per_s",
)


class RelaySettings(Record):
    """Settings of one node; docs/OPERATORS.md lists each with unit, default and range."""

    __slots__ = tuple(SETTINGS)


def check_settings(document):
    """Return a list of :class:`~auburnhollow.exceptions.Finding`, all of them together."""
    findings = []
    for name in document:
        if name not in SETTINGS:
            findings.append(Finding(name, "unknown setting"))
    for name, setting in SETTINGS.items():
        value = document.get(name)
        if value is None:
            if setting.default is _MISSING:
                findings.append(Finding(name, "is missing"))
            continue
        finding = _check(name, setting, value)
        if finding is not None:
            findings.append(finding)
    return findings


def _check(name, setting, value):
    kinds = (int, float) if setting.kind is float else setting.kind
    if isinstance(value, bool) or not isinstance(value, kinds):
        return Finding(name, f"{value!r} is not of type {setting.kind.__name__}")
    if setting.least is not None and not setting.least <= value <= setting.most:
        return Finding(name, f"{value} is not in {setting.least}..{setting.most}")
    if name in ("front", "ready", "store", "peer") and value and ":" not in value:
        return Finding(name, f"{value!r} is not host:port")
    return None


def build_settings(document):
    """Return the :class:`RelaySettings` in a dictionary.

    :raises SettingsError: with all findings together.
    """
    findings = check_settings(document)
    if findings:
        raise SettingsError(findings)
    values = {}
    for name, setting in SETTINGS.items():
        value = document.get(name)
        values[name] = setting.default if value is None else value
    return RelaySettings(**values)


def reload_settings(running, found):
    """Take over from ``found`` what a running node can change.

    :param running: :class:`RelaySettings` in force, which are changed.
    :returns: the names of settings that were changed, and of those that need a restart.
    """
    changed = []
    waiting = []
    for name in SETTINGS:
        if getattr(running, name) == getattr(found, name):
            continue
        if name not in RELOADABLE:
            waiting.append(name)
            continue
        setattr(running, name, getattr(found, name))
        changed.append(name)
    return changed, waiting


def load_settings(path):
    """Return the :class:`RelaySettings` in a JSON file.

    :raises SettingsError: with all findings together.
    """
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        raise SettingsError([Finding(path, error.strerror)]) from error
    except orjson.JSONDecodeError as error:
        raise SettingsError([Finding(f"{path}:{error.lineno}", error.msg)]) from error
    if not isinstance(document, dict):
        raise SettingsError([Finding(path, "not a JSON object")])
    return build_settings(document)
