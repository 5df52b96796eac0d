"""The contract test against correct and faulty fake backend servers."""

import asyncio

import orjson

from auburnhollow.documents import check_schema
from auburnhollow_node.front.openapi import ANSWER, ORDER_RESULT, PROBLEM
from auburnhollow_standins.backend import BackendStandin, Behaviour
from auburnhollow_standins.contract import ContractCheck
from auburnhollow_standins.deployments import FRANCHISE
from auburnhollow_standins.fleet import running_fleet


async def violated_requirements(server):
    await server.start("127.0.0.1")
    try:
        results = await ContractCheck(server.address, "desk", "0", 1).run(with_order=True)
    finally:
        await server.stop()
    return [result.requirement for result in results if result.violation is not None]


def new_server(kind=BackendStandin, **behaviour):
    return kind("b", "desk", ["0"], "crushers", Behaviour(**behaviour))


def test_the_fake_server_fulfils_the_contract():
    assert asyncio.run(violated_requirements(new_server())) == []


class FixedRequestIdServer(BackendStandin):
    """Answers every call with the same request id."""

    def _shard_body(self, call):
        return {**super()._shard_body(call), "request_id": "always the same"}


def test_a_server_that_violates_the_contract_is_detected():
    violated = asyncio.run(violated_requirements(new_server(FixedRequestIdServer)))
    assert "answers a query with its own request id, shard and version" in violated
    assert len(asyncio.run(violated_requirements(new_server(draining=True)))) == 5


# Path, headers, body, and schema of the answer.
ANSWERS = [
    ("/v1/search", {}, {"service": "booking-desk", "query": {}}, ANSWER),
    ("/v1/check", {}, {"service": "depot-portal", "query": {}}, ANSWER),
    ("/v1/search", {}, {"service": "nowhere", "query": {}}, PROBLEM),
    ("/v1/orders", {"Idempotency-Key": "x"}, {"service": "booking-desk", "order": {}}, PROBLEM),
]


def test_answers_of_a_node_match_its_openapi_document():
    async def run():
        async with running_fleet(FRANCHISE, nodes=1, settings={"linger_ms": 0}) as fleet:
            url = fleet.nodes[0].url
            for path, headers, body, schema in ANSWERS:
                async with fleet.session.post(
                    url + path, data=orjson.dumps(body), headers=headers
                ) as response:
                    answer = orjson.loads(await response.read())
                assert check_schema(schema, answer) == []
            async with fleet.session.get(url + "/openapi.json") as response:
                document = orjson.loads(await response.read())
            assert set(document["paths"]) == {"/v1/search", "/v1/check", "/v1/orders"}
            assert ORDER_RESULT["required"]

    asyncio.run(run())
