"""What logs and metrics tell of the configuration in force."""

import asyncio
import logging
import random

import pytest

from auburnhollow.follow import ConfigurationUpdate, Feed, Follower, StoreView
from auburnhollow.follow.in_force import InForce
from auburnhollow.follow.positions import era_named, named_era, position_of
from auburnhollow.routes import FrontLimits, RouteTable
from auburnhollow.servers import ServerRegistry
from auburnhollow_standins.virtual import VirtualClock, run_virtually

LIMITS = FrontLimits(header_bytes=1, body_bytes=1, header_ms=1, idle_ms=1)
CHANGE_MS = 1_000.0


class OneChangeFeed(Feed):
    """Has version 4 at once and version 5 after ``CHANGE_MS``."""

    def __init__(self, clock):
        self.clock = clock

    async def read(self):
        return self.view(4, 10)

    async def changes(self, revision, wait_ms):
        if revision >= position_of(era_named(2), 11):
            await self.clock.sleep(wait_ms)
            return StoreView(updates=[], revision=revision)
        await self.clock.sleep(CHANGE_MS)
        return self.view(5, 11)

    def view(self, version, revision):
        update = ConfigurationUpdate(table=RouteTable(version, [], [], LIMITS))
        return StoreView(updates=[update], revision=position_of(era_named(2), revision))


def follow_a_change(hear):
    """Return what is known 2 s after a start, ``hear`` having been called after 0.4 s."""

    async def scenario():
        clock = VirtualClock()
        follower = Follower(OneChangeFeed(clock), ServerRegistry(clock), clock, random.Random(1))
        task = asyncio.create_task(follower.run())
        await clock.sleep(400.0)
        hear(follower.in_force)
        await clock.sleep(1_600.0)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return follower.in_force.to_map(follower.age_ms)

    return run_virtually(scenario())


def changes_logged(caplog):
    records = [entry for entry in caplog.records if entry.message == "configuration in force"]
    return [entry.inputs for entry in records]


def test_the_line_of_a_change_tells_its_position_and_how_long_it_was_known_of(caplog):
    caplog.set_level(logging.INFO)
    follow_a_change(lambda in_force: in_force.hear(5, era_named(2)))
    first, second = changes_logged(caplog)
    assert (first["version"], first["era"], first["revision"]) == (4, 2, 10)
    assert first["heard_ms"] is None
    assert (second["version"], second["era"], second["revision"]) == (5, 2, 11)
    assert 0 < second["heard_ms"] < CHANGE_MS


def test_the_line_of_a_change_that_no_other_node_told_of_says_so(caplog):
    caplog.set_level(logging.INFO)
    follow_a_change(lambda in_force: None)
    assert [line["heard_ms"] for line in changes_logged(caplog)] == [None, None]


def test_a_version_heard_of_that_never_comes_is_told_beside_the_one_in_force():
    known = follow_a_change(lambda in_force: in_force.hear(6, era_named(2)))
    assert (known["version"], known["heard_version"]) == (5, 6)
    assert (known["era"], known["revision"], known["through"]) == (2, 11, "store")
    assert 0 < known["in_force_ms"] <= CHANGE_MS
    assert known["store_age_ms"] >= known["in_force_ms"]


def test_only_the_newest_version_of_the_newest_era_is_kept():
    async def scenario():
        in_force = InForce(VirtualClock())
        heard = []
        for version, era in ((5, 1), (4, 1), (9, 0), (3, 2), (8, 1)):
            in_force.hear(version, era)
            heard.append(in_force.heard_version)
        return heard

    assert run_virtually(scenario()) == [5, 5, 5, 3, 3]


def test_the_time_heard_of_is_that_of_the_first_time():
    async def scenario():
        clock = VirtualClock()
        in_force = InForce(clock)
        for _ in range(3):
            in_force.hear(5, 1)
            await clock.sleep(100.0)
        return in_force.begin(5, None)

    assert run_virtually(scenario()) == pytest.approx(300.0)


@pytest.mark.parametrize(("era", "named"), [(0, None), (era_named(0), 0), (era_named(7), 7)])
def test_an_era_is_told_as_the_store_names_it(era, named):
    assert named_era(position_of(era, 5)) == named
