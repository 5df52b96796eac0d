"""A fake backend server over HTTP with slots, a queue and injectable faults."""

import asyncio
import random

import orjson
from aiohttp import web

from . import catalogue

CRASH_MARK = "crash"
STRAGGLER_FACTOR = 20.0
QUEUE_PER_SLOT = 4
MAX_RECORDED_CALLS = 10_000


class Behaviour:
    """How a server behaves; can be changed while it runs.

    Times are in milliseconds, and chances are probabilities from 0 to 1. ``slots`` is the number of
    calls that run at once, ``mean_ms`` the median duration of a call. ``away_ms`` maps a caller's
    data centre to the one-way delay from there; others have none. A ``silent`` server accepts calls
    and never answers; one that is ``draining`` or ``cold`` refuses them. With ``crashes_on_mark``,
    a call whose query or order sets :data:`CRASH_MARK` stops the server. With ``forgets_partial``,
    answers are marked as partial.
    """

    __slots__ = (
        "away_ms",
        "cold",
        "connections",
        "connect_ms",
        "crashes_on_mark",
        "draining",
        "forgets_partial",
        "mean_ms",
        "silent",
        "slots",
        "straggler_chance",
        "versions",
    )

    def __init__(self, **changes):
        self.slots = 5
        self.connections = 40
        self.connect_ms = 0.0
        self.mean_ms = 2.0
        self.straggler_chance = 0.0
        self.away_ms = {}
        self.versions = [1]
        self.draining = False
        self.cold = False
        self.silent = False
        self.crashes_on_mark = True
        self.forgets_partial = False
        for name, value in changes.items():
            setattr(self, name, value)


class Refusal(Exception):
    """The server rejects a call without running it."""

    def __init__(self, status, body):
        super().__init__(status)
        self.status = status
        self.body = body


class BackendStandin:
    """One fake backend server.

    ``ran`` and ``orders`` list the request ids and orders that ran last, ``counts`` the number of
    calls by outcome.

    :param server_id: id of the server.
    :param service: name of the service.
    :param shards: names of the shards it holds.
    :param theme: kind of contents, see :mod:`~auburnhollow_standins.catalogue`.
    :param behaviour: :class:`Behaviour`.
    :param seed: seed of the durations of calls, together with the id.
    """

    def __init__(self, server_id, service, shards, theme, behaviour, incarnation=1, seed=0):
        self.id = server_id
        self.behaviour = behaviour
        self.incarnation = incarnation
        self.address = None
        self.ran = []
        self.orders = []
        self.counts = {"calls": 0, "ran": 0, "shed": 0, "cancelled": 0, "crashes": 0, "open": 0}
        self._rows = {shard: catalogue.make_rows(theme, service, shard) for shard in shards}
        self._random = random.Random(f"{seed}/{server_id}")
        self._running = 0
        self._waiting = 0
        self._slot_free = asyncio.Condition()
        self._runner = None
        self._host = None
        self._port = 0

    async def start(self, host, port=0):
        """Start listening; port 0 selects any free port."""
        app = web.Application()
        app.router.add_post("/v1/shard", self.on_shard)
        app.router.add_post("/v1/order", self.on_order)
        app.router.add_get("/v1/load", self.on_load)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, reuse_address=True)
        await site.start()
        self._host, self._port = host, self._runner.addresses[0][1]
        self.address = f"{host}:{self._port}"

    async def stop(self):
        """Stop listening and abort all connections."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for site in list(runner.sites):
            site._server.close()
        for connection in list(runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    async def restart(self):
        """Restart at the same address with the next incarnation."""
        await self.stop()
        self.incarnation += 1
        self._running = 0
        self._waiting = 0
        await self.start(self._host, self._port)

    async def on_shard(self, request):
        """Answer ``/v1/shard``."""
        return await self._serve(request, self._shard_body)

    async def on_order(self, request):
        """Answer ``/v1/order``."""
        return await self._serve(request, self._order_body)

    async def on_load(self, _request):
        """Answer ``/v1/load``."""
        body = {"load": self._running + self._waiting, "slots": self.behaviour.slots}
        return web.json_response({**body, "incarnation": self.incarnation})

    async def _serve(self, request, make_body):
        self.counts["calls"] += 1
        call = orjson.loads(await request.read())
        away_ms = self.behaviour.away_ms.get(request.headers.get("Data-Centre"), 0.0)
        if self.behaviour.silent:
            await asyncio.sleep(3600)
        await asyncio.sleep(away_ms / 1000)
        try:
            self._check_refusal(call)
            body = await self._run(call, make_body)
        except Refusal as refusal:
            await asyncio.sleep(away_ms / 1000)
            return web.json_response(refusal.body, status=refusal.status)
        except asyncio.CancelledError:
            self.counts["cancelled"] += 1
            raise
        await asyncio.sleep(away_ms / 1000)
        return web.Response(body=orjson.dumps(body), content_type="application/json")

    def _check_refusal(self, call):
        behaviour = self.behaviour
        if behaviour.draining:
            raise Refusal(503, self._refusal_body(call, "draining"))
        if behaviour.cold:
            raise Refusal(503, self._refusal_body(call, "cold"))
        if "version" in call and call["version"] not in behaviour.versions:
            body = {"request_id": call["request_id"], "held": behaviour.versions}
            raise Refusal(409, body)
        if self._waiting >= behaviour.slots * QUEUE_PER_SLOT:
            self.counts["shed"] += 1
            raise Refusal(503, self._refusal_body(call, "overload"))

    def _refusal_body(self, call, reason):
        return {
            "request_id": call["request_id"],
            "refused": reason,
            "incarnation": self.incarnation,
        }

    async def _run(self, call, make_body):
        self._waiting += 1
        try:
            async with self._slot_free:
                await self._slot_free.wait_for(lambda: self._running < self.behaviour.slots)
        finally:
            self._waiting -= 1
        self._running += 1
        self.counts["ran"] += 1
        try:
            self.ran.append(call["request_id"])
            del self.ran[:-MAX_RECORDED_CALLS]
            if "order" in call:
                self.orders.append(call["order"])
                del self.orders[:-MAX_RECORDED_CALLS]
            await self._crash_if_marked(call)
            await asyncio.sleep(self._duration_ms() / 1000)
            return make_body(call)
        finally:
            self._running -= 1
            async with self._slot_free:
                self._slot_free.notify()

    async def _crash_if_marked(self, call):
        payload = call.get("query", call.get("order", {}))
        if self.behaviour.crashes_on_mark and payload.get(CRASH_MARK):
            self.counts["crashes"] += 1
            asyncio.get_running_loop().create_task(self.stop())
            await asyncio.sleep(3600)

    def _duration_ms(self):
        behaviour = self.behaviour
        duration_ms = self._random.lognormvariate(0.0, 0.3) * behaviour.mean_ms
        if self._random.random() < behaviour.straggler_chance:
            duration_ms *= STRAGGLER_FACTOR
        return duration_ms

    def _shard_body(self, call):
        rows = catalogue.search_rows(self._rows[call["shard"]], call["query"])
        return {
            "request_id": call["request_id"],
            "shard": call["shard"],
            "version": call["version"],
            "rows": rows,
            "partial": self.behaviour.forgets_partial,
            "load": self._running + self._waiting,
            "incarnation": self.incarnation,
        }

    def _order_body(self, call):
        return {
            "request_id": call["request_id"],
            "outcome": {"accepted": True, "by": self.id, "order": call["order"]},
            "incarnation": self.incarnation,
        }
