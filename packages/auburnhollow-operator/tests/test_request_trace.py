"""Traces of requests from the log files of several nodes."""

import subprocess
import sys

import orjson

from auburnhollow_operator.request_trace import read_lines, trace_request


def line(at_ms, node, text, **fields):
    return orjson.dumps({"at_ms": at_ms, "node": node, "level": "info", "text": text, **fields})


def write_logs(tmp_path):
    first = tmp_path / "a.log"
    first.write_bytes(
        b"\n".join(
            [
                b"a line of another program",
                b" 12.5 front-1 " + line(900, "front-1", "servers: server gone", server="i-9"),
                line(1_000, "front-1", "relay: hedge sent", request="r-1", server="i-2"),
                line(1_020, "front-1", "node: request answered", request="r-1", status=200),
                line(1_010, "front-1", "node: request answered", request="r-2", status=200),
                b'{"half": ',
            ]
        )
    )
    second = tmp_path / "b.log"
    second.write_bytes(
        line(990, "front-2", "node: request failed", request="r-1", calls=["x", "y"])
    )
    return [str(first), str(second)]


def test_lines_of_all_nodes_are_merged_in_order(tmp_path):
    trace = trace_request("r-1", read_lines(write_logs(tmp_path)))
    assert len(trace) == 3
    assert "front-2" in trace[0]
    assert "hedge sent server=i-2" in trace[1]
    assert "+30 ms" in trace[2]


def test_surrounding_lines_are_included_on_demand(tmp_path):
    trace = trace_request("r-1", read_lines(write_logs(tmp_path)), around_ms=200)
    assert "server gone" in trace[0]
    assert len(trace) == 4


def run(*arguments, **options):
    return subprocess.run(
        [sys.executable, "-m", "auburnhollow_operator", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
        **options,
    )


def test_the_command_reads_files_and_the_standard_input(tmp_path):
    files = write_logs(tmp_path)
    by_files = run("explain-request", "r-1", *files)
    assert by_files.returncode == 0
    assert by_files.stdout.count("\n") >= 3
    with open(files[0], encoding="utf-8") as stream:
        by_input = run("explain-request", "r-2", stdin=stream)
    assert "request answered" in by_input.stdout


def test_an_unknown_request_is_reported_as_an_error(tmp_path):
    ended = run("explain-request", "r-7", *write_logs(tmp_path))
    assert ended.returncode == 1
    assert "Traceback" not in ended.stderr
    assert "r-7" in ended.stderr


def test_settings_of_a_relay_node_are_checked(tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({"adapter": "x", "retry_ratio": 7, "sed": 1}))
    ended = run("check", str(path))
    assert ended.returncode == 2
    for text in ("retry_ratio: 7 is not in", "sed: unknown setting", "store: is missing"):
        assert text in ended.stderr
