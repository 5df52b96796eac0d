"""HTTP client for backend servers."""

import asyncio
from functools import singledispatch

import aiohttp
import orjson

from ..clock import Clock
from ..exceptions import (
    BackendCut,
    BackendDied,
    BackendFault,
    BackendLacksVersion,
    BackendMismatch,
    BackendRefused,
    BackendSilent,
    BackendTimeout,
    BackendUnreachable,
)
from .connections import AnswerMemory, BoundedResponseHandler, use_handler
from .messages import OrderCall, ShardCall, read_notice, read_order_answer, read_shard_answer
from .probe import Probe, probe, probe_to_end

CONNECT_TIMEOUT_MS = 1_000
PROBE_TIMEOUT_MS = 200
MAX_ANSWER_BYTES = 8 * 1024 * 1024
# Most bytes of all answers that are being received.
MAX_HELD_BYTES = 64 * 1024 * 1024
KEEPALIVE_S = 30.0


@singledispatch
def path_of(call):
    """Return the path that a call is posted to."""
    raise TypeError(type(call).__name__)


@singledispatch
def read_answer(call, body):
    """Parse and check the answer to ``call`` in ``body``."""
    raise TypeError(type(call).__name__)


path_of.register(ShardCall, lambda call: "/v1/shard")
path_of.register(OrderCall, lambda call: "/v1/order")
read_answer.register(ShardCall, read_shard_answer)
read_answer.register(OrderCall, read_order_answer)


class BackendClient:
    """Interface for calls to backend servers."""

    __slots__ = ()

    async def call(self, server, call, silent_ms):
        """Send ``call`` to ``server`` and return its checked answer.

        :param silent_ms: longest time without received data on the connection, in milliseconds.
        :raises BackendError: ``ran`` says whether the server may have run the call.
        """
        raise NotImplementedError

    async def can_connect(self, server):
        """Return whether ``server`` accepts a connection; nothing is sent on it."""
        raise NotImplementedError


class HttpBackendClient(BackendClient):
    """Calls backend servers, with one connection pool for each server.

    With separate pools all connections to a server can be dropped as soon as one is unresponsive.

    :param data_centre: name of this node's data centre, sent to servers.

    >>> client = HttpBackendClient("cluj")
    >>> answer = await client.call(server, call, silent_ms=2000)
    """

    __slots__ = ("_clock", "_headers", "_memory", "_pools")

    def __init__(self, data_centre, clock=None):
        self._clock = clock or Clock()
        self._headers = {"Content-Type": "application/json", "Data-Centre": data_centre}
        self._memory = AnswerMemory(MAX_HELD_BYTES)
        self._pools = {}

    async def close(self):
        """Close all connections."""
        pools, self._pools = self._pools, {}
        for pool in pools.values():
            await pool.close()

    async def call(self, server, call, silent_ms):
        """Send ``call`` to ``server`` and return its checked answer."""
        pool = self._pool(server.address)
        body = orjson.dumps(call.to_map())
        try:
            async with self._clock.timeout(call.deadline_ms):
                status, data = await self._exchange(pool, server, path_of(call), body, silent_ms)
        except TimeoutError as error:
            raise BackendTimeout(f"{server.id}: no answer in {call.deadline_ms:.0f} ms") from error
        except aiohttp.ClientConnectorError as error:
            raise BackendUnreachable(f"{server.id}: {error!r}") from error
        except (aiohttp.ClientError, OSError) as error:
            raise await self._connection_lost_error(server, error) from error
        return _read(server, call, status, data)

    async def can_connect(self, server):
        """Return whether ``server`` is reachable, by opening a connection without sending."""
        result = await probe(self._clock, server.address, CONNECT_TIMEOUT_MS)
        return result in (Probe.ACCEPTED, Probe.FULL)

    async def _exchange(self, pool, server, path, body, silent_ms):
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_MS / 1000, sock_read=silent_ms / 1000
        )
        url = f"http://{server.address}{path}"
        try:
            async with pool.post(url, data=body, timeout=timeout) as response:
                return response.status, await response.read()
        except aiohttp.ConnectionTimeoutError as error:
            raise BackendUnreachable(f"{server.id}: no connection") from error
        except aiohttp.SocketTimeoutError as error:
            self._drop_pool(server.address)
            raise BackendSilent(f"{server.id}: silent for {silent_ms:.0f} ms") from error

    async def _connection_lost_error(self, server, error):
        """Return the error for a lost connection.

        A server that accepts a new connection is alive, so only the connection was lost.

        :raises asyncio.CancelledError: if the call is cancelled meanwhile; the error is its cause.
        """
        probed, cancellation = await probe_to_end(self._clock, server.address, PROBE_TIMEOUT_MS)
        if probed in (Probe.ACCEPTED, Probe.FULL):
            found = BackendCut(f"{server.id}: connection lost: {error!r}")
        else:
            found = BackendDied(f"{server.id}: died under the request: {error!r}")
        if cancellation is not None:
            raise cancellation from found
        return found

    def _pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
            use_handler(
                connector,
                lambda loop: BoundedResponseHandler(loop, MAX_ANSWER_BYTES, self._memory),
            )
            pool = aiohttp.ClientSession(
                connector=connector,
                headers=self._headers,
                auto_decompress=False,
                cookie_jar=aiohttp.DummyCookieJar(),
                read_bufsize=MAX_ANSWER_BYTES,
            )
            self._pools[address] = pool
        return pool

    def _drop_pool(self, address):
        """Close all connections to a server; calls in progress on them fail."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            asyncio.get_running_loop().create_task(pool.close())


def _read(server, call, status, data):
    try:
        body = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise BackendMismatch(f"{server.id}: not JSON: {error}") from error
    if not isinstance(body, dict):
        raise BackendMismatch(f"{server.id}: not a JSON object")
    if status == 200:
        return read_answer(call, body)
    if status == 503 and body.get("request_id") == call.request_id:
        reason = body.get("refused", "overload")
        raise BackendRefused(
            f"{server.id}: {reason}",
            reason,
            retry_after_ms=body.get("retry_after_ms"),
            incarnation=body.get("incarnation"),
            notice=read_notice(server.id, body.get("rate_per_s")),
        )
    if status == 409 and body.get("request_id") == call.request_id:
        raise BackendLacksVersion(f"{server.id}: lacks the version", body.get("held", ()))
    raise BackendFault(f"{server.id}: status {status}: {body.get('detail', '')}")
