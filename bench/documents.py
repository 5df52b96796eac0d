"""Size of a configuration and the cost for a node to apply it, by number of servers.

Run as ``python -m bench documents``.
"""

import time
import tracemalloc

from auburnhollow.clock import ManualClock
from auburnhollow.configuration import ConfigurationHolder, StoredConfiguration, check_document
from auburnhollow.events import Recorder
from auburnhollow_standins.virtual_fleet import make_document

from .results import format_table, save_result

SERVER_COUNTS = (120, 1_200, 7_300)
REPLICAS = 10
ROUNDS = 3
COLUMNS = ("servers", "json_kb", "stored_kb", "take_ms", "memory_mb", "full_check_ms")


def measure(servers):
    """Return the results for a configuration with ``servers`` servers."""
    document = make_document(shards=servers // REPLICAS, replicas=REPLICAS)
    stored = StoredConfiguration(
        number=1, change_id="bench", author="bench", note="", at_ms=0, document=document
    )
    data = stored.to_bytes()
    take_ms = min(_apply_configuration(data)[0] for _ in range(ROUNDS))
    tracemalloc.start()
    configuration_holder = _apply_configuration(data)[1]
    memory, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    started_s = time.process_time()
    assert check_document(document) == []
    check_s = time.process_time() - started_s
    assert configuration_holder.number == 1
    return {
        "servers": servers,
        "json_kb": len(str(document)) / 1024,
        "stored_kb": len(data) / 1024,
        "take_ms": take_ms,
        "memory_mb": memory / 1024 / 1024,
        "full_check_ms": check_s * 1000,
    }


def _apply_configuration(data):
    """Apply a configuration to a new holder; return the time in milliseconds and the holder."""
    configuration_holder = ConfigurationHolder(Recorder("bench", ManualClock()))
    started_s = time.process_time()
    configuration_holder.offer(data, "bench")
    configuration = configuration_holder.configuration
    configuration.replicas_of(configuration.service("desk"))
    return (time.process_time() - started_s) * 1000, configuration_holder


def run(sizes=SERVER_COUNTS):
    """Measure all sizes, print a table and save it."""
    rows = [measure(size) for size in sizes]
    print(format_table(COLUMNS, rows))
    save_result("documents", {"rows": rows})
    return rows
