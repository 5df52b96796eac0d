"""A revision of the configuration that no watch of the store delivers."""

from auburnhollow_standins.virtual import run_virtually
from auburnhollow_standins.virtual_fleet import virtual_fleet

IN_FORCE_MS = 5_000.0


def test_a_revision_that_no_watch_delivers_is_taken_from_the_store():
    async def run():
        async with virtual_fleet(nodes=7) as fleet:
            await fleet.clock.sleep(3_000)
            watchers, fleet.shared_store.watchers = fleet.shared_store.watchers, {}
            await fleet.change(fleet.document, base=1)
            fleet.shared_store.watchers = watchers
            await fleet.clock.sleep(IN_FORCE_MS)
            return fleet.revisions()

    assert run_virtually(run()) == {2}
