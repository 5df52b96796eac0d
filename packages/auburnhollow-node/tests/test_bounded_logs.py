"""The relay node's logs: rate limit, and writes that never block."""

import logging
import os

import orjson
import pytest

from auburnhollow.decisions import log_decision
from auburnhollow_node.relay.logs import BoundedHandler

LINES_PER_S = 50


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def logger_of(writer, lines_per_s=LINES_PER_S):
    log = logging.Logger("relay")
    handler = BoundedHandler("node-1", lines_per_s, writer)
    log.addHandler(handler)
    return log, handler


def lines_of(reader):
    os.set_blocking(reader, False)
    return [orjson.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


def test_a_decision_is_one_line_with_its_fields(pipe):
    reader, writer = pipe
    log, _ = logger_of(writer)
    log_decision(log, "hedge sent", "r-1", server="i-2", age_ms=40)
    (line,) = lines_of(reader)
    assert line["text"] == "relay: hedge sent"
    assert (line["request"], line["server"], line["age_ms"]) == ("r-1", "i-2", 40)
    assert (line["node"], line["level"]) == ("node-1", "info")


def test_a_stalled_reader_does_not_block_logging(pipe):
    reader, writer = pipe
    log, handler = logger_of(writer, lines_per_s=1_000_000)
    for number in range(20_000):
        log_decision(log, "call failed", f"r-{number}", error="x" * 100)
    assert handler.dropped > 0
    lines_of(reader)
    log_decision(log, "call failed", "r-last")
    assert lines_of(reader)[-1]["dropped_lines"] > 0
    assert handler.dropped == 0


def test_lines_per_second_are_limited_with_a_share_reserved_for_warnings(pipe):
    reader, writer = pipe
    log, handler = logger_of(writer)
    records = []
    for number in range(LINES_PER_S * 3):
        level = logging.INFO if number < LINES_PER_S * 2 else logging.WARNING
        record = log.makeRecord("relay", level, "", 0, f"line {number}", (), None)
        record.created = 1_000.5
        records.append(record)
    for record in records:
        handler.handle(record)
    lines = lines_of(reader)
    assert len(lines) == LINES_PER_S
    assert [line["level"] for line in lines].count("warning") == LINES_PER_S // 5
    later = log.makeRecord("relay", logging.INFO, "", 0, "later", (), None)
    later.created = 1_001.1
    handler.handle(later)
    lines += lines_of(reader)
    assert sum(line.get("dropped_lines", 0) for line in lines) == LINES_PER_S * 2
