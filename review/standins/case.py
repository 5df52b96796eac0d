"""Runs a case: the record, the exit code and the end of all processes."""

import asyncio
import json
import os
import sys
import tempfile
import time
import traceback

from .nodes import check_deploy_file

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes events to ``record.txt`` of a case as JSON lines, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")  # noqa: SIM115
        self._began_s = time.monotonic()
        self.events = []

    def now_s(self):
        """Return the seconds since the start."""
        return round(time.monotonic() - self._began_s, 4)

    def __call__(self, kind, **fields):
        """Record an event of a kind."""
        event = {"at": self.now_s(), "what": kind, **fields}
        self.events.append(event)
        self._file.write(json.dumps(event) + "\n")

    def close(self):
        """Write what is left."""
        self._file.close()


def main(case_file, scenario):
    """Run ``scenario(record, folder, is_troubled, nodes)``, which returns the broken rules.

    ``nodes`` is a list to which the scenario adds each :class:`Node`, so that all of them end.
    """
    folder = os.path.dirname(os.path.abspath(case_file))
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    code = NOT_RUN
    try:
        check_deploy_file()
        broken = asyncio.run(_run(scenario, record, is_troubled))
        for text in broken:
            record("broken", text=text)
            print("broken:", text)
        code = BROKEN if broken else HELD
        record("result", trouble=is_troubled, broken=len(broken))
        print("result:", "broken" if broken else "held", "- trouble:", is_troubled)
    except Exception:  # whatever happens, the case could not run
        traceback.print_exc()
        record("result", error=traceback.format_exc())
    finally:
        record.close()
    sys.exit(code)


async def _run(scenario, record, is_troubled):
    nodes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            return await asyncio.wait_for(scenario(record, folder, is_troubled, nodes), 110)
        finally:
            for node in nodes:
                await node.end()
