"""Runs a case: its record, its exit code and the end of all its processes."""

import asyncio
import json
import os
import sys
import tempfile
import time
import traceback

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 110


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

    def of(self, kind):
        """Return the events of a kind."""
        return [event for event in self.events if event["what"] == kind]

    def close(self):
        """Write what is left."""
        self._file.close()


def main(case_file, scenario):
    """Run ``scenario(record, folder, is_troubled, nodes)``, which returns the broken rules.

    ``nodes`` is a list to which the scenario adds each node, so that all of them end.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.dirname(os.path.abspath(case_file)))
    code = NOT_RUN
    try:
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
            work = scenario(record, folder, is_troubled, nodes)
            return await asyncio.wait_for(work, LONGEST_S)
        finally:
            for node in nodes:
                await node.end()
