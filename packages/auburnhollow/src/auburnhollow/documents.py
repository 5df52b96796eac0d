"""Reads JSON documents and checks them against schemas."""

import difflib

import jsonschema
import orjson

from .exceptions import Finding


def read_json(path, error_type):
    """Return the JSON object in a file.

    :param error_type: the :class:`~auburnhollow.exceptions.FindingsError` to raise.
    :raises FindingsError: when the file can't be read or holds no JSON object.
    """
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        raise error_type([Finding(str(path), error.strerror)]) from error
    except orjson.JSONDecodeError as error:
        place = f"{path}:{error.lineno}:{error.colno}"
        raise error_type([Finding(place, f"not JSON: {error.msg}")]) from error
    if not isinstance(document, dict):
        raise error_type([Finding(str(path), "not a JSON object")])
    return document


def check_schema(schema, document):
    """Return a list with a :class:`Finding` for each place where ``document`` violates ``schema``.

    :param schema: a JSON Schema.
    :param document: a value as read from JSON.
    """
    findings = []
    validator = jsonschema.Draft202012Validator(schema)
    for error in sorted(validator.iter_errors(document), key=lambda error: list(error.path)):
        findings.extend(_findings_of(error))
    return findings


def _findings_of(error):
    place = place_of(error.absolute_path)
    if error.validator != "additionalProperties" or not isinstance(error.instance, dict):
        yield Finding(place, error.message)
        return
    known = error.schema.get("properties", {})
    for name in error.instance:
        if name in known:
            continue
        yield Finding(place_of([*error.absolute_path, name]), _unknown_key(name, known))


def _unknown_key(name, known):
    near = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    if near:
        return f"unknown key; did you mean '{near[0]}'?"
    return f"unknown key; allowed keys: {', '.join(sorted(known))}"


def place_of(path):
    """Return a path of keys and indices as text: ``services[2].selector``."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        separator = "." if text and not str(part).startswith("[") else ""
        text += f"{separator}{part}"
    return text or "document"
