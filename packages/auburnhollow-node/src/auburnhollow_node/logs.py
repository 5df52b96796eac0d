"""Logging of a node, as text or as JSON lines."""

import logging
import sys

import orjson

TEXT_FORMAT = "%(asctime)s.%(msecs)03d %(levelname)-7s %(node)s %(message)s"
DATE_FORMAT = "%Y-%m-%dT%H:%M:%S"


class JsonFormatter(logging.Formatter):
    """Formats each record as a JSON line: time, level, node, logger name, text."""

    def format(self, record):
        """Return the record as a JSON line."""
        line = {
            "at_ms": int(record.created * 1000),
            "level": record.levelname.lower(),
            "node": record.node,
            "part": record.name,
            "text": record.getMessage(),
        }
        if record.exc_info:
            line["error"] = self.formatException(record.exc_info)
        return orjson.dumps(line).decode()


def set_up_logs(node, log_format, level):
    """Send all logs of this process to its standard error.

    :param node: id of the node, included in each line.
    :param log_format: ``text`` or ``json``.
    :param level: name of the lowest level to log.
    """
    handler = logging.StreamHandler(sys.stderr)
    if log_format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(logging.Formatter(TEXT_FORMAT, DATE_FORMAT))

    def add_node(record):
        record.node = node
        return True

    handler.addFilter(add_node)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    logging.getLogger("uvicorn").setLevel(logging.WARNING)
