"""Collects the log lines of one request from the log files of all nodes."""

import sys
from contextlib import contextmanager

import orjson

STANDARD_FIELDS = ("at_ms", "node", "level", "text", "request")


@contextmanager
def _open_log(path):
    if path == "-":
        yield sys.stdin
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        yield file


def read_lines(paths):
    """Yield the JSON log lines of files; a prefix added by a log collector is skipped.

    :param paths: paths of log files; ``-`` is the standard input.
    """
    for path in paths:
        with _open_log(path) as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = orjson.loads(text[start:])
                except orjson.JSONDecodeError:
                    continue
                if isinstance(line, dict) and "at_ms" in line and "text" in line:
                    yield line


def trace_request(request, lines, around_ms=0):
    """Return the log lines of a request as text, oldest first.

    :param request: id of the request.
    :param lines: dictionaries as returned by :func:`read_lines`.
    :param around_ms: also include lines that belong to no request and that the same nodes logged
        up to this many milliseconds before the first line or after the last one.
    """
    lines = list(lines)
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return []
    selected = own
    if around_ms:
        nodes = {line.get("node") for line in own}
        first_ms = min(line["at_ms"] for line in own) - around_ms
        last_ms = max(line["at_ms"] for line in own) + around_ms
        for line in lines:
            if "request" in line or line.get("node") not in nodes:
                continue
            if first_ms <= line["at_ms"] <= last_ms:
                selected.append(line)
    selected.sort(key=lambda line: line["at_ms"])
    start_ms = own[0]["at_ms"]
    return [_format_line(line, line["at_ms"] - start_ms) for line in selected]


def _format_line(line, offset_ms):
    fields = []
    for name, value in line.items():
        if name in STANDARD_FIELDS or value is None:
            continue
        if isinstance(value, list):
            fields.extend(f"\n{'':>10}{entry}" for entry in value)
            continue
        fields.append(f" {name}={value}")
    return f"{offset_ms:+8d} ms  {line.get('node', '')}  {line['text']}{''.join(fields)}"
