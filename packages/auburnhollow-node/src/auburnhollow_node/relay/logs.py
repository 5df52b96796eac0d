"""Structured logs on standard output, rate-limited and non-blocking."""

import logging
import os

import orjson


class BoundedHandler(logging.Handler):
    """Writes one JSON line per record up to a rate limit, and drops what can't be written.

    Warnings and errors may use the whole limit, other lines four fifths of it. The next line that
    is written reports the number of dropped lines as ``dropped_lines``.

    :param node: id of the node, included in each line.
    :param lines_per_s: maximum number of lines per second.
    :param descriptor: file descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, node, lines_per_s, descriptor=1):
        super().__init__()
        self._node = node
        self._max_lines_per_s = lines_per_s
        self._descriptor = descriptor
        self._second = 0
        self._written = 0
        self._dropped = 0
        os.set_blocking(descriptor, False)

    @property
    def dropped(self):
        """The number of dropped lines that have not been reported yet."""
        return self._dropped

    def emit(self, record):
        """Write a record, or drop and count it."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._written = 0
        max_lines = (
            self._max_lines_per_s
            if record.levelno >= logging.WARNING
            else self._max_lines_per_s * 4 // 5
        )
        if self._written >= max_lines:
            self._dropped += 1
            return
        self._written += 1
        self._write(record)

    def _write(self, record):
        line = {
            "at_ms": int(record.created * 1000),
            "node": self._node,
            "level": record.levelname.lower(),
            "text": _with_logger_name(record.name, record.getMessage()),
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
            # The reader is blocked or has closed the pipe; the next line written reports the count.
            self._dropped += 1
            return
        self._dropped += 1


def _with_logger_name(logger_name, text):
    """Return the text prefixed with the logger's name, unless it has that prefix already."""
    return text if text.startswith(f"{logger_name}:") else f"{logger_name}: {text}"


def set_up_logs(settings):
    """Send all logs of this process to its standard output.

    :param settings: :class:`~auburnhollow_node.relay.settings.RelaySettings`.
    """
    root = logging.getLogger()
    root.handlers[:] = [BoundedHandler(settings.id, settings.log_lines_per_s)]
    root.setLevel(settings.log_level.upper())
    for name in ("uvicorn", "uvicorn.error", "uvicorn.access", "asyncio"):
        logging.getLogger(name).setLevel(logging.ERROR)
