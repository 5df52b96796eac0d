"""The demonstration: both deployments on this machine, asked the way their users would.

Run by ``make demo``; with ``--keep`` it goes on until it is interrupted.
"""

import argparse
import asyncio

from auburnhollow.sessions import AsyncSession

from .deployments import CO_OPERATIVE, FRANCHISE
from .fleet import running_fleet

NODES = 3
SETTINGS = {"linger_ms": 0}


class Tour:
    """What one user asks: a search, a single check, and an order."""

    __slots__ = ("check", "check_service", "order", "order_service", "search", "search_service")

    def __init__(self, **fields):
        for name, value in fields.items():
            setattr(self, name, value)


TOURS = {
    FRANCHISE.name: Tour(
        search_service="booking-desk",
        search={"text": "jaw crusher"},
        check_service="depot-portal",
        check={"text": "wear liner"},
        order_service="booking-desk",
        order={"machine": "jaw crusher, 45 t", "from": "2026-12-07", "to": "2026-12-11"},
    ),
    CO_OPERATIVE.name: Tour(
        search_service="catalogue-desk",
        search={"text": "exam paper"},
        check_service="press-orders",
        check={"text": "algebra"},
        order_service="press-orders",
        order={"title": "Algebra II, Terminale, exam paper", "copies": 14},
    ),
}


async def show(fleet, tour):
    """Ask and print as a person would want to read it."""
    urls = [node.url for node in fleet.nodes]
    async with AsyncSession(urls, caller="demo") as session:
        found = await session.search(tour.search_service, tour.search, rows=3)
        coverage = found.body["coverage"]
        print(f"  search of {tour.search_service} for '{tour.search['text']}':")
        for row in found.rows:
            print(f"    {row['score']:.2f}  {row['title']}")
        print(
            f"    from index version {found.snapshot}, "
            f"{coverage['answered']} of {coverage['asked']} shards answered"
        )
        found = await session.check(tour.check_service, tour.check, rows=1)
        answer = found.rows[0]["title"] if found.rows else "nothing"
        print(f"  check at {tour.check_service} for '{tour.check['text']}': {answer}")
        done = await session.order(tour.order_service, tour.order)
        wanted = ", ".join(f"{name} {value}" for name, value in tour.order.items())
        print(f"  order at {tour.order_service} ({wanted}): taken by {done.outcome['by']}")
        again = await session.order(tour.order_service, tour.order, key=done.body["key"])
        repeated = "the same outcome, not run again" if again.body["replayed"] else "run again"
        print(f"  the same order under the same key: {repeated}")


async def main(keep):
    """Run the demonstration."""
    async with (
        running_fleet(FRANCHISE, nodes=NODES, settings=SETTINGS) as franchise,
        running_fleet(CO_OPERATIVE, nodes=NODES, settings=SETTINGS) as co_operative,
    ):
        for fleet in (franchise, co_operative):
            servers = len(fleet.backends)
            print(f"{fleet.deployment.name}: {len(fleet.nodes)} nodes, {servers} backend servers")
            await show(fleet, TOURS[fleet.deployment.name])
            for node in fleet.nodes:
                print(f"  {node.id} in {node.data_centre}: {node.url}")
            print(f"  store: {fleet.store_url}  instance list: {fleet.instances_url}")
        if keep:
            print("running until interrupted (Ctrl-C)")
            await asyncio.Event().wait()
    print("everything is stopped")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="go on until interrupted")
    try:
        asyncio.run(main(parser.parse_args().keep))
    except KeyboardInterrupt:
        print("stopped")
