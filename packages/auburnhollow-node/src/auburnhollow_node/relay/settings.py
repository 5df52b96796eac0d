"""Settings of a relay node."""

import orjson

from auburnhollow.exceptions import Finding, SettingsError
from auburnhollow.records import Record

_REQUIRED = object()


class Setting(Record):
    """Type, default and bounds of a setting; the default of a required one is ``_REQUIRED``."""

    __slots__ = ("value_type", "default", "minimum", "maximum")


def _string(default=_REQUIRED):
    return Setting(value_type=str, default=default, minimum=None, maximum=None)


# Which servers' pace is found: of services with a configured warm-up, of all, of none.
PACE_CONFIGURED = "configured"
PACE_ALWAYS = "always"
PACE_NEVER = "never"
CHOICES = {"pace": (PACE_CONFIGURED, PACE_ALWAYS, PACE_NEVER)}


def _number(default, minimum, maximum):
    return Setting(value_type=float, default=default, minimum=minimum, maximum=maximum)


def _flag(default):
    return Setting(value_type=bool, default=default, minimum=None, maximum=None)


def _integer(default, minimum, maximum):
    return Setting(value_type=int, default=default, minimum=minimum, maximum=maximum)


SETTINGS = {
    "id": _string(),
    "adapter": _string(),
    "data_centre": _string(),
    "regions": Setting(value_type=dict, default={}, minimum=None, maximum=None),
    "front": _string(),
    "ready": _string(),
    "peer": _string(""),
    "seeds": Setting(value_type=list, default=[], minimum=None, maximum=None),
    "metrics_port": _integer(0, 0, 65_535),
    "store": _string(),
    "retry_ratio": _number(0.1, 0.0, 1.0),
    "retry_window_ms": _number(10_000.0, 1_000.0, 600_000.0),
    "retry_slack": _number(0.0, 0.0, 1_000_000.0),
    "strict_revoke": _flag(False),
    "revoke_ms": _number(5_000.0, 100.0, 600_000.0),
    "quota_window_ms": _number(5_000.0, 100.0, 600_000.0),
    "quota_excess": _number(0.1, 0.0, 10.0),
    "quota_slack": _number(0.0, 0.0, 1_000_000.0),
    "pace": _string(PACE_CONFIGURED),
    "short_objectives": _flag(False),
    "admission": _flag(False),
    "memory_mb": _integer(200, 32, 1_048_576),
    "linger_ms": _number(2_600.0, 0.0, 60_000.0),
    "shutdown_ms": _number(5_600.0, 0.0, 600_000.0),
    "log_level": _string("info"),
    "log_lines_per_s": _integer(200, 1, 100_000),
    "seed": _integer(None, 0, 2**63),
}


# Settings that a running node can change. Sockets and connections depend on all others, so these
# need a restart.
RELOADABLE = (
    "seeds",
    "retry_ratio",
    "retry_window_ms",
    "retry_slack",
    "pace",
    "short_objectives",
    "admission",
    "linger_ms",
    "shutdown_ms",
    "log_level",
    "log_lines_per_s",
)


class RelaySettings(Record):
    """Settings of one relay node; docs/OPERATORS.md lists each with unit, default and range."""

    __slots__ = tuple(SETTINGS)


def check_settings(document):
    """Return a :class:`~auburnhollow.exceptions.Finding` for each fault in ``document``."""
    findings = []
    for name in document:
        if name not in SETTINGS:
            findings.append(Finding(name, "unknown setting"))
    for name, setting in SETTINGS.items():
        value = document.get(name)
        if value is None:
            if setting.default is _REQUIRED:
                findings.append(Finding(name, "is missing"))
            continue
        finding = _check(name, setting, value)
        if finding is not None:
            findings.append(finding)
    return findings


def _check(name, setting, value):
    accepted_types = (int, float) if setting.value_type is float else setting.value_type
    is_flag = setting.value_type is bool
    if isinstance(value, bool) != is_flag or not isinstance(value, accepted_types):
        return Finding(name, f"{value!r} is not of type {setting.value_type.__name__}")
    if setting.minimum is not None and not setting.minimum <= value <= setting.maximum:
        return Finding(name, f"{value} is not in {setting.minimum}..{setting.maximum}")
    if name in CHOICES and value not in CHOICES[name]:
        return Finding(name, f"{value!r} is not one of {', '.join(CHOICES[name])}")
    if name in ("front", "ready", "store", "peer") and value and ":" not in value:
        return Finding(name, f"{value!r} is not host:port")
    return None


def build_settings(document):
    """Return the :class:`RelaySettings` in a dictionary.

    :raises SettingsError: with all findings, if there are any.
    """
    findings = check_settings(document)
    if findings:
        raise SettingsError(findings)
    values = {}
    for name, setting in SETTINGS.items():
        value = document.get(name)
        values[name] = setting.default if value is None else value
    return RelaySettings(**values)


def reload_settings(current, loaded):
    """Copy the settings that a running node can change from ``loaded`` to ``current``.

    :param current: :class:`RelaySettings` of the running node, changed in place.
    :param loaded: :class:`RelaySettings` that were just read from the file.
    :returns: the names of changed settings, and of differing ones that need a restart.
    """
    changed = []
    need_restart = []
    for name in SETTINGS:
        if getattr(current, name) == getattr(loaded, name):
            continue
        if name not in RELOADABLE:
            need_restart.append(name)
            continue
        setattr(current, name, getattr(loaded, name))
        changed.append(name)
    return changed, need_restart


def load_settings(path):
    """Return the :class:`RelaySettings` in a JSON file.

    :raises SettingsError: with all findings, if there are any.
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
