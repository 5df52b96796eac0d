"""The platform's key-value store.

:class:`Store` is the interface that the rest of the project uses; :class:`HttpStore` uses the JSON
gateway of the etcd v3 API (``/v3/kv/range``, ``/v3/kv/txn``, ``/v3/watch``, ``/v3/lease/grant``).
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
# Revision of a key that does not exist.
ABSENT = 0
# A lease is shared by all writes during this part of its lifetime.
LEASE_REUSE_FRACTION = 0.05
WATCH_IDLE_TIMEOUT_MS = 60_000.0


class KeyValue(Record):
    """A value and the revision of its last change; revision 0 means that the key does not exist."""

    __slots__ = ("key", "value", "revision")


class Store:
    """Interface of a key-value store.

    Every method may raise :class:`StoreUnavailable`; writes also :class:`StoreOutcomeUnknown`.
    """

    __slots__ = ()

    async def get(self, key):
        """Return a :class:`KeyValue`; its ``value`` is ``None`` when the key does not exist."""
        raise NotImplementedError

    async def compare_and_swap(self, key, revision, value, also=(), lease_ms=None):
        """Write ``value`` if ``key`` is still at ``revision``.

        :param also: pairs of key and value that are written in the same transaction.
        :param lease_ms: time after which the keys expire, in milliseconds; ``None`` for never.
        :returns: the new revision, or ``None`` when the key has another revision.
        """
        raise NotImplementedError

    async def scan(self, prefix, limit=100):
        """Return up to ``limit`` :class:`KeyValue` with ``prefix``, highest key first."""
        raise NotImplementedError

    def watch(self, key, revision):
        """Iterate over changes of ``key`` after ``revision`` until the watch ends.

        A watch may end at any time, whether or not the key has changed.
        """
        raise NotImplementedError


def _encode(data):
    return base64.b64encode(data).decode()


def _encode_text(key):
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
    """A store that uses the JSON gateway of the etcd v3 API.

    :param session: an :class:`aiohttp.ClientSession`.
    :param url: base URL, such as ``http://10.0.0.9:2379``.
    :param clock: :class:`Clock`.
    :param idle_timeout_ms: a watch ends after this time without data, in milliseconds.

    >>> store = HttpStore(session, "http://127.0.0.1:2379")
    >>> await store.get("configuration/current")
    """

    __slots__ = ("_clock", "_idle_timeout_ms", "_leases", "_session", "_url")

    def __init__(self, session, url, clock=None, idle_timeout_ms=WATCH_IDLE_TIMEOUT_MS):
        self._session = session
        self._url = url.rstrip("/")
        self._clock = clock or Clock()
        self._idle_timeout_ms = idle_timeout_ms
        self._leases = {}

    async def get(self, key):
        """Return a :class:`KeyValue`."""
        answer = await self._read("/v3/kv/range", {"key": _encode_text(key)})
        entries = answer.get("kvs", ())
        if not entries:
            return KeyValue(key=key, value=None, revision=ABSENT)
        return _key_value(entries[0])

    async def scan(self, prefix, limit=100):
        """Return up to ``limit`` :class:`KeyValue` with ``prefix``, highest key first."""
        request = {
            "key": _encode_text(prefix),
            "range_end": _prefix_end(prefix),
            "limit": limit,
            "sort_order": "DESCEND",
            "sort_target": "KEY",
        }
        answer = await self._read("/v3/kv/range", request)
        return [_key_value(entry) for entry in answer.get("kvs", ())]

    async def compare_and_swap(self, key, revision, value, also=(), lease_ms=None):
        """Write ``value`` if ``key`` is still at ``revision``."""
        puts = [{"key": _encode_text(key), "value": _encode(value)}]
        for other_key, other_value in also:
            puts.append({"key": _encode_text(other_key), "value": _encode(other_value)})
        if lease_ms is not None:
            lease = await self._lease(lease_ms)
            for put in puts:
                put["lease"] = lease
        compare = {
            "key": _encode_text(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        request = {"compare": [compare], "success": [{"request_put": put} for put in puts]}
        answer = await self._write("/v3/kv/txn", request)
        if not answer.get("succeeded", False):
            return None
        return int(answer["header"]["revision"])

    async def watch(self, key, revision):
        """Iterate over changes of ``key`` after ``revision``."""
        create = {"key": _encode_text(key), "start_revision": str(revision + 1)}
        try:
            async with self._session.post(
                self._url + "/v3/watch",
                data=orjson.dumps({"create_request": create}),
                timeout=aiohttp.ClientTimeout(
                    total=None, sock_connect=2.0, sock_read=self._idle_timeout_ms / 1000
                ),
            ) as response:
                if response.status != 200:
                    raise StoreUnavailable(f"watch of {key}: status {response.status}")
                async for line in response.content:
                    result = orjson.loads(line).get("result", {})
                    if result.get("canceled"):
                        raise StoreUnavailable(f"watch of {key}: canceled by the store")
                    for event in result.get("events", ()):
                        yield _key_value(event["kv"])
        except aiohttp.SocketTimeoutError:
            return
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise StoreUnavailable(f"watch of {key}: {error!r}") from error

    async def _lease(self, lease_ms):
        """Return a lease with most of its time left, which several writes share."""
        granted_ms, lease = self._leases.get(lease_ms, (None, None))
        now_ms = self._clock.now_ms()
        if granted_ms is not None and now_ms - granted_ms < lease_ms * LEASE_REUSE_FRACTION:
            return lease
        seconds = max(1, int(lease_ms // 1000))
        answer = await self._read("/v3/lease/grant", {"TTL": str(seconds)})
        self._leases[lease_ms] = (now_ms, answer["ID"])
        return answer["ID"]

    async def _read(self, path, request):
        try:
            async with self._clock.timeout(READ_TIMEOUT_MS):
                return await self._post(path, request)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise StoreUnavailable(f"{path}: {error!r}") from error

    async def _write(self, path, request):
        try:
            async with self._clock.timeout(WRITE_TIMEOUT_MS):
                return await self._post(path, request)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailable(f"{path}: {error!r}") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            # The store may have lost the lease, which fails the write: use a new one next time.
            self._leases.clear()
            raise StoreOutcomeUnknown(f"{path}: {error!r}") from error

    async def _post(self, path, request):
        body = orjson.dumps(request)
        async with self._session.post(self._url + path, data=body) as response:
            data = await response.read()
            if response.status in (429, 503):
                raise StoreUnavailable(f"{path}: status {response.status}")
            if response.status != 200:
                raise ValueError(f"status {response.status}")
            return orjson.loads(data)


@asynccontextmanager
async def open_store(url, clock=None):
    """Open an :class:`HttpStore` at ``url`` for the duration of the block."""
    async with aiohttp.ClientSession() as session:
        yield HttpStore(session, url, clock)


async def resolve_swap(store, key, revision, value, is_ours, tries=3, **options):
    """Compare and swap; resolve a lost answer by reading the key and trying again.

    Retries with the same revision are safe: at most one of them can take effect.

    :param is_ours: function of the stored value that tells whether this call wrote it.
    :returns: ``(revision, None)`` when the write took effect, else ``(None, key_value)`` with
        the current :class:`KeyValue`.
    :raises StoreUnavailable: when nothing was written.
    :raises StoreOutcomeUnknown: when the write may have taken effect or may still do so.
    """
    lost_error = None
    for _ in range(tries):
        try:
            written = await store.compare_and_swap(key, revision, value, **options)
        except StoreOutcomeUnknown as error:
            lost_error = error
            written = None
        except StoreUnavailable:
            if lost_error is None:
                raise
            continue
        if written is not None:
            return written, None
        try:
            current = await store.get(key)
        except StoreUnavailable as error:
            lost_error = lost_error or error
            continue
        if current.value is not None and is_ours(current.value):
            return current.revision, None
        if current.revision != revision:
            return None, current
    raise StoreOutcomeUnknown(f"{key}: the write may have taken effect") from lost_error
