"""What counts as evidence that a request crashes backend servers."""

import random

import pytest

from auburnhollow.clock import ManualClock
from auburnhollow.events import Recorder
from auburnhollow.exceptions import Quarantined
from auburnhollow.quarantine import Quarantine

# The users' limit on servers that a request may crash before it is refused.
MAX_DEATHS = 3
INTERVAL_MS = 2_000.0
MAX_ATTEMPTS = 60


def new_quarantine(**options):
    clock = ManualClock()
    return clock, Quarantine(clock, Recorder("t", clock), random.Random(1), **options)


def is_refused(quarantine, fingerprint):
    try:
        quarantine.check(fingerprint)
    except Quarantined:
        return True
    return False


def crash(quarantine, server, shard, *fingerprints):
    """Let a server die while it runs several requests; all of their connections end."""
    for fingerprint in fingerprints:
        quarantine.record_start(server, fingerprint)
    for fingerprint in fingerprints:
        quarantine.record_death(server, shard, fingerprint)
        quarantine.record_end(server, fingerprint)


def count_deaths_until_refused(requests_on_server, shards, answered_shards):
    """Return how many servers die under a request before it is refused."""
    clock, quarantine = new_quarantine()
    for number in range(MAX_ATTEMPTS):
        if is_refused(quarantine, "bad"):
            return number
        for shard in range(answered_shards):
            quarantine.record_answer("bad", f"shard {(number + 1 + shard) % shards}")
        others = [f"other {number}.{each}" for each in range(requests_on_server - 1)]
        crash(quarantine, f"server {number}", f"shard {number % shards}", *others, "bad")
        clock.advance(INTERVAL_MS)
    return MAX_ATTEMPTS


@pytest.mark.parametrize("shards, answered_shards", [(1, 0), (10, 0), (10, 1)])
def test_a_crashing_request_beside_others_is_refused_after_three_deaths(shards, answered_shards):
    deaths = {}
    for requests_on_server in (1, 2, 3, 6, 12):
        deaths[requests_on_server] = count_deaths_until_refused(
            requests_on_server, shards, answered_shards
        )
    assert max(deaths.values()) <= MAX_DEATHS, deaths


def test_an_answer_from_the_same_shard_does_not_erase_earlier_deaths():
    clock, quarantine = new_quarantine()
    for number in range(MAX_DEATHS):
        crash(quarantine, f"server {number}", "shard", f"other {number}", "bad")
        quarantine.record_answer("bad", "shard")
        clock.advance(INTERVAL_MS)
    assert is_refused(quarantine, "bad")
