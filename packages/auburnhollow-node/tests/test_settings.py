"""Validation of a node's settings, and the format of its log lines."""

import logging

import orjson
import pytest

from auburnhollow.exceptions import SettingsError
from auburnhollow_node.logs import JsonFormatter
from auburnhollow_node.settings import read_settings

VALID = {
    "id": "n",
    "data_centre": "cluj",
    "host": "127.0.0.1",
    "port": 8000,
    "peer_port": 8100,
    "store": "http://10.0.0.1:2379",
    "instances": "http://10.0.0.1:8080",
}

# Changes to valid settings, and the places of the expected findings.
FAULTS = [
    ({"port": 70_000}, ["port"]),
    ({"port": "x", "watchers": 0}, ["port", "watchers"]),
    ({"lingr_ms": 5}, ["lingr_ms"]),
    ({"store": "10.0.0.1"}, ["store"]),
    ({"id": "a/b"}, ["id"]),
]


@pytest.mark.parametrize(("change", "places"), FAULTS)
def test_findings_name_their_places(change, places, tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps({**VALID, **change}))
    with pytest.raises(SettingsError) as caught:
        read_settings(path)
    assert [finding.place for finding in caught.value.findings] == places


@pytest.mark.parametrize("data", [b"{", b"[]", None])
def test_a_file_without_settings_is_rejected(data, tmp_path):
    path = tmp_path / "settings.json"
    if data is not None:
        path.write_bytes(data)
    with pytest.raises(SettingsError):
        read_settings(path)


def test_absent_settings_take_their_defaults(tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(orjson.dumps(VALID))
    settings = read_settings(path)
    assert settings.watchers == 3
    assert settings.statsd is None


def test_json_log_lines_hold_node_part_and_text():
    record = logging.LogRecord("limits", logging.INFO, "", 0, "shed %d requests", (3,), None)
    record.node = "n"
    line = orjson.loads(JsonFormatter().format(record))
    assert (line["node"], line["part"], line["text"]) == ("n", "limits", "shed 3 requests")
