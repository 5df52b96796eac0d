"""Contract test of the backend server interface, for the owners of backend servers.

Run as ``python -m auburnhollow_standins.contract 10.0.0.7:9000 --service desk --shard 0
--version 1``; with ``--order`` it also runs one order.
"""

import argparse
import asyncio
import sys

from auburnhollow.backends import HttpBackendClient, OrderCall, ShardCall
from auburnhollow.configuration import Server
from auburnhollow.exceptions import (
    BackendCut,
    BackendError,
    BackendLacksVersion,
    BackendTimeout,
)
from auburnhollow.identifiers import new_id
from auburnhollow.records import Record

TIMEOUT_MS = 5_000.0
NONEXISTENT_VERSION = 999_999_999


class Result(Record):
    """One requirement of the contract; ``violation`` is ``None`` or says how it is violated."""

    __slots__ = ("requirement", "violation")


class ContractCheck:
    """Checks one server.

    :param address: ``host:port`` of the server.
    :param service: name of a service that it serves.
    :param shard: name of a shard that it holds.
    :param version: index version that it holds.
    """

    def __init__(self, address, service, shard, version):
        self._server = Server(id="server", address=address, data_centre="here", labels={})
        self._service = service
        self._shard = shard
        self._version = version
        self._client = HttpBackendClient("here")

    async def run(self, with_order=False):
        """Check all requirements and return a list of :class:`Result`.

        :param with_order: whether to run an order as well.
        """
        requirements = [
            ("answers a query with its own request id, shard and version", self._check_answer),
            (
                "answers two concurrent queries, each with its own request id",
                self._check_concurrent_answers,
            ),
            ("reports that it lacks a version", self._check_missing_version),
            ("continues to answer after a caller has cancelled a call", self._check_cancellation),
        ]
        if with_order:
            requirements.append(("runs an order and echoes its request id", self._check_order))
        results = []
        try:
            for requirement, check in requirements:
                results.append(
                    Result(requirement=requirement, violation=await self._find_violation(check))
                )
        finally:
            await self._client.close()
        return results

    async def _find_violation(self, check):
        try:
            return await check()
        except BackendError as error:
            return f"{type(error).__name__}: {error}"

    async def _check_answer(self):
        answer = await self._call(self._shard_call())
        if not isinstance(answer.incarnation, int) or answer.incarnation < 1:
            return "incarnation is not a positive integer"
        return None

    async def _check_concurrent_answers(self):
        calls = [self._call(self._shard_call()) for _ in range(2)]
        await asyncio.gather(*calls)

    async def _check_missing_version(self):
        try:
            await self._call(self._shard_call(version=NONEXISTENT_VERSION))
        except BackendLacksVersion:
            return None
        return "it answered for a version that does not exist"

    async def _check_cancellation(self):
        try:
            await self._call(self._shard_call(deadline_ms=1.0))
        except (BackendTimeout, BackendCut):
            pass
        await self._call(self._shard_call())

    async def _check_order(self):
        call = OrderCall(
            request_id=new_id(), service=self._service, deadline_ms=TIMEOUT_MS, order={}
        )
        await self._call(call)

    async def _call(self, call):
        return await self._client.call(self._server, call, TIMEOUT_MS)

    def _shard_call(self, version=None, deadline_ms=TIMEOUT_MS):
        return ShardCall(
            request_id=new_id(),
            service=self._service,
            shard=self._shard,
            version=self._version if version is None else version,
            deadline_ms=deadline_ms,
            query={},
        )


def main():
    """Check the server given on the command line; exit with 1 if a requirement is violated."""
    parser = argparse.ArgumentParser(description="contract test of a backend server")
    parser.add_argument("address")
    parser.add_argument("--service", required=True)
    parser.add_argument("--shard", required=True)
    parser.add_argument("--version", type=int, required=True)
    parser.add_argument("--order", action="store_true")
    options = parser.parse_args()
    contract = ContractCheck(options.address, options.service, options.shard, options.version)
    results = asyncio.run(contract.run(options.order))
    for result in results:
        print(f"{'holds' if result.violation is None else 'FAILS'}  {result.requirement}")
        if result.violation is not None:
            print(f"       {result.violation}")
    sys.exit(any(result.violation is not None for result in results))


if __name__ == "__main__":
    main()
