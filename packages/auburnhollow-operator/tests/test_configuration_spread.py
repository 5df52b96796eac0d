"""When each node put a configuration in force, from the log files of several nodes."""

import subprocess
import sys

import orjson

from auburnhollow_operator.configuration_spread import format_spread, spread_of
from auburnhollow_operator.request_trace import read_lines

IN_FORCE = "follow: configuration in force"


def in_force(at_ms, node, version, before, through=None, **fields):
    return {
        "at_ms": at_ms,
        "node": node,
        "level": "info",
        "text": IN_FORCE,
        "version": version,
        "before": before,
        "through": through,
        **fields,
    }


def refusal(at_ms, node, version, heard):
    return {
        "at_ms": at_ms,
        "node": node,
        "text": "node: request failed",
        "code": "no-route",
        "version": version,
        "heard_version": heard,
    }


LINES = [
    in_force(1_000, "front-1", 7, None),
    in_force(1_100, "front-2", 7, None),
    in_force(1_200, "front-3", 7, None),
    in_force(5_010, "front-1", 8, 7),
    in_force(7_250, "front-3", 8, 7, "10.0.0.1:9500", heard_ms=1_400, unconfirmed_ms=2_100),
    in_force(5_600, "front-2", 8, 7, "10.0.0.2:9500"),
    {"at_ms": 5_700, "node": "front-2", "text": "follow: store read", "revision": 4},
]


def test_the_slowest_node_of_a_change_and_its_source_are_named():
    _, spread = spread_of(LINES)
    assert (spread["version"], spread["nodes"], spread["nodes_seen"]) == (8, 3, 3)
    assert (spread["first_ms"], spread["last_ms"]) == (5_010, 7_250)
    assert (spread["slowest"], spread["through"]) == ("front-3", "10.0.0.1:9500")
    assert (spread["heard_ms"], spread["unconfirmed_ms"]) == (1_400, 2_100)
    assert spread["without"] == []


def test_a_node_that_starts_later_does_not_count_as_the_slowest():
    lines = [*LINES, in_force(60_000, "front-2", 8, None), in_force(61_000, "front-4", 8, None)]
    spread = spread_of(lines)[-1]
    assert (spread["nodes"], spread["starts"]) == (4, 2)
    assert (spread["slowest"], spread["last_ms"]) == ("front-3", 7_250)


def test_nodes_that_never_put_a_version_in_force_are_named():
    lines = [*LINES, in_force(9_000, "front-1", 9, 8), refusal(9_900, "front-9", 7, 9)]
    spread = spread_of(lines)[-1]
    assert (spread["version"], spread["nodes"], spread["nodes_seen"]) == (9, 1, 4)
    assert spread["without"] == ["front-2", "front-3", "front-9"]
    assert "front-2, front-3, front-9" in format_spread([spread])


def test_a_version_that_is_known_from_starts_only_has_times_too():
    spread, _ = spread_of(LINES)
    assert (spread["first_ms"], spread["last_ms"], spread["starts"]) == (1_000, 1_200, 3)
    assert (spread["slowest"], spread["through"]) == ("front-3", "store")


def test_lines_with_fields_of_another_kind_are_left_out():
    odd = [
        in_force(1_000, "front-1", None, None),
        in_force("soon", "front-1", 8, 7),
        in_force(1_000, None, 8, 7),
        {**in_force(1_000, "front-1", 8, 7), "text": 5},
    ]
    assert spread_of(odd) == []


def write_logs(tmp_path):
    path = tmp_path / "a.log"
    path.write_bytes(b"\n".join([b"not JSON {", *(b"x " + orjson.dumps(line) for line in LINES)]))
    return str(path)


def run(*arguments):
    return subprocess.run(
        [sys.executable, "-m", "auburnhollow_operator", *arguments],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


def test_the_command_prints_a_line_for_each_version(tmp_path):
    path = write_logs(tmp_path)
    text = run("configuration-spread", path)
    assert text.returncode == 0
    assert len(text.stdout.splitlines()) == 2
    assert "slowest front-3 through 10.0.0.1:9500" in text.stdout
    document = orjson.loads(run("configuration-spread", path, "--json").stdout)
    assert document == spread_of(read_lines([path]))


def test_logs_without_a_change_are_reported_as_an_error(tmp_path):
    path = tmp_path / "empty.log"
    path.write_bytes(orjson.dumps(refusal(1_000, "front-1", 7, None)))
    ended = run("configuration-spread", str(path))
    assert ended.returncode == 1
    assert "Traceback" not in ended.stderr
    assert "configuration in force" in ended.stderr
