"""The platform's key-value service.

:class:`Store` is the interface; :class:`HttpStore` speaks the JSON gateway of the etcd v3 API
(``/v3/kv/range``, ``/v3/kv/txn``, ``/v3/watch``, ``/v3/lease/grant``). Every other part of the
project sees the interface only.
"""

import base64
from contextlib import asynccontextmanager

import aiohttp
import orjson

from ..clock import Clock
from ..exceptions import StoreOutcomeUnknown, StoreUnavailable
from ..records import Record

READ_TIMEOUT_MS = 2_000
WRITE_TIMEOUT_MS = 2_000
ABSENT = 0
LEASE_REUSE = 0.05
WATCH_QUIET_MS = 60_000.0


class KeyValue(Record):
    """A value and the revision of its last change; revision 0 means that the key is absent."""

    __slots__ = ("key", "value", "revision")


class Store:
    """What the project needs of a key-value service.

    Every method may raise :class:`StoreUnavailable`; writes also :class:`StoreOutcomeUnknown`.
    """

    __slots__ = ()

    async def get(self, key):
        """Return a :class:`KeyValue`; ``value`` is ``None`` when the key is absent."""
        raise NotImplementedError

    async def compare_and_swap(self, key, revision, value, also=(), lease_ms=None):
        """Write ``value`` if ``key`` is still at ``revision``.

        :param also: pairs of key and value that are written in the same step.
        :param lease_ms: the key vanishes after this time, in milliseconds; ``None`` for never.
        :returns: the new revision, or ``None`` when another write came first.
        """
        raise NotImplementedError

    async def scan(self, prefix, limit=100):
        """Return up to ``limit`` :class:`KeyValue` below ``prefix``, highest key first."""
        raise NotImplementedError

    def watch(self, key, revision):
        """Iterate over changes of ``key`` after ``revision`` for as long as the call lasts.

        The end of the iteration says nothing about the key.
        """
        raise NotImplementedError


def _encode(data):
    return base64.b64encode(data).decode()


def _text(key):
    return _encode(key.encode())


def _prefix_end(prefix):
    raw = bytearray(prefix.encode())
    raw[-1] += 1
    return _encode(bytes(raw))


def _key_value(entry):
    return KeyValue(
        key=base64.b64decode(entry["key"]).decode(),
        value=base64.b64decode(entry.get("value", "")),
        revision=int(entry["mod_revision"]),
    )


class HttpStore(Store):
    """A key-value service that speaks the JSON gateway of the etcd v3 API.

    :param session: an :class:`aiohttp.ClientSession`.
    :param url: base address, such as ``http://10.0.0.9:2379``.
    :param clock: :class:`Clock`.

    >>> store = HttpStore(session, "http://127.0.0.1:2379")
    >>> await store.get("configuration/current")
    """

    __slots__ = ("_clock", "_leases", "_quiet_ms", "_session", "_url")

    def __init__(self, session, url, clock=None, quiet_ms=WATCH_QUIET_MS):
        self._session = session
        self._url = url.rstrip("/")
        self._clock = clock or Clock()
        self._quiet_ms = quiet_ms
        self._leases = {}

    async def get(self, key):
        """Return a :class:`KeyValue`."""
        answer = await self._read("/v3/kv/range", {"key": _text(key)})
        entries = answer.get("kvs", ())
        if not entries:
            return KeyValue(key=key, value=None, revision=ABSENT)
        return _key_value(entries[0])

    async def scan(self, prefix, limit=100):
        """Return up to ``limit`` :class:`KeyValue` below ``prefix``, highest key first."""
        question = {
            "key": _text(prefix),
            "range_end": _prefix_end(prefix),
            "limit": limit,
            "sort_order": "DESCEND",
            "sort_target": "KEY",
        }
        answer = await self._read("/v3/kv/range", question)
        return [_key_value(entry) for entry in answer.get("kvs", ())]

    async def compare_and_swap(self, key, revision, value, also=(), lease_ms=None):
        """Write ``value`` if ``key`` is still at ``revision``."""
        puts = [{"key": _text(key), "value": _encode(value)}]
        for other_key, other_value in also:
            puts.append({"key": _text(other_key), "value": _encode(other_value)})
        if lease_ms is not None:
            lease = await self._lease(lease_ms)
            for put in puts:
                put["lease"] = lease
        compare = {
            "key": _text(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        question = {"compare": [compare], "success": [{"request_put": put} for put in puts]}
        answer = await self._write("/v3/kv/txn", question)
        if not answer.get("succeeded", False):
            return None
        return int(answer["header"]["revision"])

    async def watch(self, key, revision):
        """Iterate over changes of ``key`` after ``revision``."""
        create = {"key": _text(key), "start_revision": str(revision + 1)}
        try:
            async with self._session.post(
                self._url + "/v3/watch",
                data=orjson.dumps({"create_request": create}),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=2.0, sock_read=self._quiet_ms / 1000
                ),
            ) as response:
                if response.status != 200:
                    raise StoreUnavailable(f"watch of {key}: status {response.status}")
                async for line in response.content:
                    for event in orjson.loads(line).get("result", {}).get("events", ()):
                        yield _key_value(event["kv"])
        except aiohttp.SocketTimeoutError:
            return
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise StoreUnavailable(f"watch of {key}: {error!r}") from error

    async def _lease(self, lease_ms):
        """Return a lease of which most is left; one is shared by all writes of a while."""
        granted_ms, lease = self._leases.get(lease_ms, (None, None))
        now_ms = self._clock.now_ms()
        if granted_ms is not None and now_ms - granted_ms < lease_ms * LEASE_REUSE:
            return lease
        seconds = max(1, int(lease_ms // 1000))
        answer = await self._read("/v3/lease/grant", {"TTL": str(seconds)})
        self._leases[lease_ms] = (now_ms, answer["ID"])
        return answer["ID"]

    async def _read(self, path, question):
        try:
            async with self._clock.timeout(READ_TIMEOUT_MS):
                return await self._post(path, question)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise StoreUnavailable(f"{path}: {error!r}") from error

    async def _write(self, path, question):
        try:
            async with self._clock.timeout(WRITE_TIMEOUT_MS):
                return await self._post(path, question)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailable(f"{path}: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            # A lease that the store has forgotten fails a write too: take a fresh one next time.
            self._leases.clear()
            raise StoreOutcomeUnknown(f"{path}: {error!r}") from error

    async def _post(self, path, question):
        body = orjson.dumps(question)
        async with self._session.post(self._url + path, data=body) as response:
            data = await response.read()
            if response.status in (429, 503):
                raise StoreUnavailable(f"{path}: status {response.status}")
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            return orjson.loads(data)


@asynccontextmanager
async def open_store(url, clock=None):
    """Open an :class:`HttpStore` at ``url`` for the length of the block."""
    async with aiohttp.ClientSession() as session:
        yield HttpStore(session, url, clock)


async def resolve_swap(store, key, revision, value, is_ours, tries=3, **options):
    """Swap, and resolve a lost answer by reading back and trying again.

    A second try with the same revision is safe: at most one of the two can take effect.

    :param is_ours: function of the stored value that tells whether it holds this write.
    :returns: ``(revision, None)`` when the write took effect, else ``(None, key_value)`` with
        what is stored now.
    :raises StoreUnavailable: when nothing was written.
    :raises StoreOutcomeUnknown: when the write may have taken effect or may still do so.
    """
    lost = None
    for _ in range(tries):
        try:
            written = await store.compare_and_swap(key, revision, value, **options)
        except StoreOutcomeUnknown as error:
            lost = error
            written = None
        except StoreUnavailable:
            if lost is None:
                raise
            continue
        if written is not None:
            return written, None
        try:
            current = await store.get(key)
        except StoreUnavailable as error:
            lost = lost or error
            continue
        if current.value is not None and is_ours(current.value):
            return current.revision, None
        if current.revision != revision:
            return None, current
    raise StoreOutcomeUnknown(f"{key}: the write may have taken effect") from lost
