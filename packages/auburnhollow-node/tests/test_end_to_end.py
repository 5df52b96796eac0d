"""End-to-end queries through nodes that run as processes."""

import asyncio

import pytest

from auburnhollow.exceptions import BadRequest, NoShardMatched, UnknownService
from auburnhollow.sessions import AsyncSession
from auburnhollow_standins.deployments import CO_OPERATIVE, FRANCHISE
from auburnhollow_standins.fleet import running_fleet


async def send_queries(fleet):
    urls = [node.url for node in fleet.nodes]
    async with AsyncSession(urls, caller="test") as session:
        yield await session.search("booking-desk", {"text": "jaw"})
        yield await session.search(None, {"text": ""}, selector={"desk": "booking", "half": "odd"})
        yield await session.check("depot-portal", {"text": "liner"})


def test_a_query_reaches_every_shard_its_selector_matches():
    async def run():
        async with running_fleet(FRANCHISE, nodes=2) as fleet:
            answers = [answer async for answer in send_queries(fleet)]
        whole, odd, check = answers
        assert whole.status == 200
        assert whole.complete
        assert whole.body["coverage"]["asked"] == 10
        assert all("jaw" in row["title"] for row in whole.rows)
        assert odd.body["coverage"]["shards"] == ["1", "3", "5", "7", "9"]
        assert check.body["coverage"]["asked"] == 1
        assert {answer.snapshot for answer in answers} == {1}

    asyncio.run(run())


BAD_REQUESTS = [
    ("search", "no-such-desk", {}, UnknownService),
    ("check", "booking-desk", {}, UnknownService),
    ("search", "catalogue-desk", {"selector": {"half": "neither"}}, NoShardMatched),
    ("search", None, {"selector": {"half": "odd"}}, NoShardMatched),
    ("search", "catalogue-desk", {"deadline_ms": -1}, BadRequest),
    ("search", "catalogue-desk", {"dead_line_ms": 5}, BadRequest),
    ("search", "catalogue-desk", {"class": "royal"}, BadRequest),
]


def test_bad_requests_get_a_specific_error_and_the_node_keeps_serving():
    async def run():
        async with (
            running_fleet(CO_OPERATIVE, nodes=1) as fleet,
            AsyncSession(fleet.nodes[0].url) as session,
        ):
            for verb, service, options, expected in BAD_REQUESTS:
                with pytest.raises(expected) as caught:
                    await getattr(session, verb)(service, {"text": ""}, **options)
                assert caught.value.ran.value == "no"
            answer = await session.search("catalogue-desk", {"text": "algebra"})
            assert answer.complete

    asyncio.run(run())
