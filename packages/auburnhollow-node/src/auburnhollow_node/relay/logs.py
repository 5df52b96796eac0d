"""Structured logs on standard output: bounded in volume, never blocking."""

import logging
import os

import orjson


class BoundedHandler(logging.Handler):
    """Writes one JSON line a record, at most so many a second, and drops what can't be written.

    Warnings may use the whole bound, other lines four fifths of it; the number of dropped lines
    is written with the next second's first line.

    :param node: id of the node, which stands in each line.
    :param lines_per_s: bound of lines in a second.
    """

    def __init__(self, node, lines_per_s, descriptor=1):
        super().__init__()
        self._node = node
        self._most = lines_per_s
        self._descriptor = descriptor
        self._second = 0
        self._written = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self):
        """How many lines were dropped and not reported yet."""
        return self._dropped

    def emit(self, record):
        """Write a record, or count it as dropped."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._written = 0
        most = self._most if record.levelno >= logging.WARNING else self._most * 4 // 5
        if self._written >= most:
            self._dropped += 1
            return
        self._written += 1
        self._write(record)

    def _write(self, record):
        line = {
            "at_ms": int(record.created * 1000),
            "node": self._node,
            "level": record.levelname.lower(),
            "text": _prefixed(record.name, record.getMessage()),
        }
        request = getattr(record, "request", None)
        if request is not None:
            line["request"] = request
        inputs = getattr(record, "inputs", None)
        if inputs:
            line.update(inputs)
        if record.exc_info:
            line["error"] = logging.Formatter().formatException(record.exc_info)
        if self._dropped:
            line["dropped_lines"] = self._dropped
        data = orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE)
        try:
            if os.write(self._descriptor, data) == len(data):
                self._dropped = 0
                return
        except OSError:
            # Nobody reads the logs; the count tells when somebody does again.
            self._dropped += 1
            return
        self._dropped += 1


def _prefixed(part, text):
    """Return the text with the part that speaks in front, once."""
    return text if text.startswith(f"{part}:") else f"{part}: {text}"


def set_up_logs(settings):
    """Send all logs of this process to its standard output."""
    root = logging.getLogger()
    root.handlers[:] = [BoundedHandler(settings.id, settings.log_lines_per_s)]
    root.setLevel(settings.log_level.upper())
    for name in ("uvicorn", "uvicorn.error", "uvicorn.access", "asyncio"):
        logging.getLogger(name).setLevel(logging.ERROR)
