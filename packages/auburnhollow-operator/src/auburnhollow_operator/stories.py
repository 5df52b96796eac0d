"""The story of one request, from the log lines of all nodes."""

import sys
from contextlib import contextmanager

import orjson

FIXED = ("at_ms", "node", "level", "text", "request")


@contextmanager
def _opened(path):
    if path == "-":
        yield sys.stdin
        return
    with open(path, encoding="utf-8", errors="replace") as file:
        yield file


def read_lines(paths):
    """Yield the structured log lines of files, whatever a collector has put in front of them.

    :param paths: paths of log files; ``-`` is the standard input.
    """
    for path in paths:
        with _opened(path) as file:
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


def tell(request, lines, around_ms=0):
    """Return the lines of a request as texts, oldest first.

    :param request: id of the request.
    :param lines: dictionaries of :func:`read_lines`.
    :param around_ms: also tell what its nodes came to believe so long before and after it.
    """
    lines = list(lines)
    own = [line for line in lines if line.get("request") == request]
    if not own:
        return []
    found = own
    if around_ms:
        nodes = {line.get("node") for line in own}
        first_ms = min(line["at_ms"] for line in own) - around_ms
        last_ms = max(line["at_ms"] for line in own) + around_ms
        for line in lines:
            if "request" in line or line.get("node") not in nodes:
                continue
            if first_ms <= line["at_ms"] <= last_ms:
                found.append(line)
    found.sort(key=lambda line: line["at_ms"])
    start_ms = own[0]["at_ms"]
    return [_text(line, line["at_ms"] - start_ms) for line in found]


def _text(line, offset_ms):
    inputs = []
    for name, value in line.items():
        if name in FIXED or value is None:
            continue
        if isinstance(value, list):
            inputs.extend(f"\n{'':>10}{entry}" for entry in value)
            continue
        inputs.append(f" {name}={value}")
    return f"{offset_ms:+8d} ms  {line.get('node', '')}  {line['text']}{''.join(inputs)}"
