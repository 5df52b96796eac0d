"""Reading operators' files."""

import orjson

from auburnhollow.exceptions import ConfigurationError, Finding


def read_document(path):
    """Return the JSON document in a file.

    :raises ConfigurationError: when it can't be read or is not a JSON object.
    """
    try:
        with open(path, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        raise ConfigurationError([Finding(str(path), error.strerror)]) from error
    except orjson.JSONDecodeError as error:
        place = f"{path}:{error.lineno}:{error.colno}"
        raise ConfigurationError([Finding(place, f"not JSON: {error.msg}")]) from error
    if not isinstance(document, dict):
        raise ConfigurationError([Finding(str(path), "not a JSON object")])
    return document
