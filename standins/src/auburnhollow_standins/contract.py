"""The contract test of the backend servers' interface, for owners of such servers.

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

PATIENCE_MS = 5_000.0
NO_SUCH_VERSION = 999_999_999


class Result(Record):
    """One point of the contract and what was seen; ``fault`` is ``None`` when it holds."""

    __slots__ = ("point", "fault")


class Contract:
    """Checks one server.

    :param address: ``host:port``.
    """

    def __init__(self, address, service, shard, version):
        self._server = Server(id="server", address=address, data_centre="here", labels={})
        self._service = service
        self._shard = shard
        self._version = version
        self._client = HttpBackendClient("here")

    async def run(self, with_order=False):
        """Return a list of :class:`Result`."""
        points = [
            ("answers a query with its own request id, shard and version", self._answers),
            ("answers two queries at once, each with its own id", self._answers_both),
            ("says that it lacks a version", self._lacks_version),
            ("goes on after a caller has gone away", self._survives_cancellation),
        ]
        if with_order:
            points.append(("runs an order and echoes its request id", self._runs_order))
        results = []
        try:
            for point, check in points:
                results.append(Result(point=point, fault=await self._fault_of(check)))
        finally:
            await self._client.close()
        return results

    async def _fault_of(self, check):
        try:
            return await check()
        except BackendError as error:
            return f"{type(error).__name__}: {error}"

    async def _answers(self):
        answer = await self._call(self._shard_call())
        if not isinstance(answer.incarnation, int) or answer.incarnation < 1:
            return "incarnation is not a positive integer"
        return None

    async def _answers_both(self):
        calls = [self._call(self._shard_call()) for _ in range(2)]
        await asyncio.gather(*calls)

    async def _lacks_version(self):
        try:
            await self._call(self._shard_call(version=NO_SUCH_VERSION))
        except BackendLacksVersion:
            return None
        return "it answered for a version that does not exist"

    async def _survives_cancellation(self):
        try:
            await self._call(self._shard_call(deadline_ms=1.0))
        except (BackendTimeout, BackendCut):
            pass
        await self._call(self._shard_call())

    async def _runs_order(self):
        call = OrderCall(
            request_id=new_id(), service=self._service, deadline_ms=PATIENCE_MS, order={}
        )
        await self._call(call)

    async def _call(self, call):
        return await self._client.call(self._server, call, PATIENCE_MS)

    def _shard_call(self, version=None, deadline_ms=PATIENCE_MS):
        return ShardCall(
            request_id=new_id(),
            service=self._service,
            shard=self._shard,
            version=self._version if version is None else version,
            deadline_ms=deadline_ms,
            query={},
        )


def main():
    """Check the server that the command line names; exit with 1 when a point does not hold."""
    parser = argparse.ArgumentParser(description="contract test of a backend server")
    parser.add_argument("address")
    parser.add_argument("--service", required=True)
    parser.add_argument("--shard", required=True)
    parser.add_argument("--version", type=int, required=True)
    parser.add_argument("--order", action="store_true")
    words = parser.parse_args()
    contract = Contract(words.address, words.service, words.shard, words.version)
    results = asyncio.run(contract.run(words.order))
    for result in results:
        print(f"{'holds' if result.fault is None else 'FAILS'}  {result.point}")
        if result.fault is not None:
            print(f"       {result.fault}")
    sys.exit(any(result.fault is not None for result in results))


if __name__ == "__main__":
    main()
