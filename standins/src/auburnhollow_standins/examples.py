"""Writes ``examples/``: configurations and node settings for the two deployments.

Run as ``python -m auburnhollow_standins.examples examples``.
"""

import sys
from pathlib import Path

import orjson

from .deployments import DEPLOYMENTS

NODES = 3
FIRST_PORT = 8_000


def write_examples(folder):
    """Write one folder per deployment with a configuration and the settings of its nodes."""
    for deployment in DEPLOYMENTS.values():
        target = Path(folder) / deployment.name
        target.mkdir(parents=True, exist_ok=True)
        _write(target / "configuration.json", deployment.document())
        data_centres = list(deployment.data_centres)
        for number in range(NODES):
            _write(target / f"node-{number}.json", _settings(number, data_centres[number]))


def _settings(number, data_centre):
    return {
        "id": f"node-{number}",
        "data_centre": data_centre,
        "host": "127.0.0.1",
        "port": FIRST_PORT + number,
        "peer_port": FIRST_PORT + 100 + number,
        "store": "http://127.0.0.1:8200",
        "instances": "http://127.0.0.1:8201",
    }


def _write(path, document):
    path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2) + b"\n")


if __name__ == "__main__":
    write_examples(sys.argv[1])
