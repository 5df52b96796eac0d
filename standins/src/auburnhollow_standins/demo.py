"""Demo: runs both deployments on this machine and sends typical queries of their users.

Run by ``make demo``; with ``--keep`` it runs until it is interrupted.
"""

import argparse
import asyncio

from auburnhollow.sessions import AsyncSession

from .deployments import CO_OPERATIVE, FRANCHISE
from .fleet import running_fleet

NODES = 3
SETTINGS = {"linger_ms": 0}


class DemoQueries:
    """The queries of one deployment: a search, a check of a single service, and an order."""

    __slots__ = ("check", "check_service", "order", "order_service", "search", "search_service")

    def __init__(self, **fields):
        for name, value in fields.items():
            setattr(self, name, value)


QUERIES_BY_DEPLOYMENT = {
    FRANCHISE.name: DemoQueries(
        search_service="booking-desk",
        search={"text": "jaw crusher"},
        check_service="depot-portal",
        check={"text": "wear liner"},
        order_service="booking-desk",
        order={"machine": "jaw crusher, 45 t", "from": "2026-12-07", "to": "2026-12-11"},
    ),
    CO_OPERATIVE.name: DemoQueries(
        search_service="catalogue-desk",
        search={"text": "exam paper"},
        check_service="press-orders",
        check={"text": "algebra"},
        order_service="press-orders",
        order={"title": "Algebra II, Terminale, exam paper", "copies": 14},
    ),
}


async def run_queries(fleet, queries):
    """Send the queries to a fleet and print the answers."""
    urls = [node.url for node in fleet.nodes]
    async with AsyncSession(urls, caller="demo") as session:
        found = await session.search(queries.search_service, queries.search, rows=3)
        coverage = found.body["coverage"]
        print(f"  search of {queries.search_service} for '{queries.search['text']}':")
        for row in found.rows:
            print(f"    {row['score']:.2f}  {row['title']}")
        print(
            f"    from index version {found.snapshot}, "
            f"{coverage['answered']} of {coverage['asked']} shards answered"
        )
        found = await session.check(queries.check_service, queries.check, rows=1)
        answer = found.rows[0]["title"] if found.rows else "nothing"
        print(f"  check at {queries.check_service} for '{queries.check['text']}': {answer}")
        done = await session.order(queries.order_service, queries.order)
        wanted = ", ".join(f"{name} {value}" for name, value in queries.order.items())
        print(f"  order at {queries.order_service} ({wanted}): taken by {done.outcome['by']}")
        again = await session.order(queries.order_service, queries.order, key=done.body["key"])
        repeated = "the same outcome, not run again" if again.body["replayed"] else "run again"
        print(f"  the same order under the same key: {repeated}")


async def main(keep):
    """Run the demo.

    :param keep: whether to keep running until interrupted.
    """
    async with (
        running_fleet(FRANCHISE, nodes=NODES, settings=SETTINGS) as franchise,
        running_fleet(CO_OPERATIVE, nodes=NODES, settings=SETTINGS) as co_operative,
    ):
        for fleet in (franchise, co_operative):
            servers = len(fleet.backends)
            print(f"{fleet.deployment.name}: {len(fleet.nodes)} nodes, {servers} backend servers")
            await run_queries(fleet, QUERIES_BY_DEPLOYMENT[fleet.deployment.name])
            for node in fleet.nodes:
                print(f"  {node.id} in {node.data_centre}: {node.url}")
            print(f"  store: {fleet.store_url}  instance list: {fleet.instances_url}")
        if keep:
            print("running until interrupted (Ctrl-C)")
            await asyncio.Event().wait()
    print("everything is stopped")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="keep running until interrupted")
    try:
        asyncio.run(main(parser.parse_args().keep))
    except KeyboardInterrupt:
        print("stopped")
