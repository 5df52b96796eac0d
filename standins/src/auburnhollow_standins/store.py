"""An in-memory fake of the key-value store: the JSON gateway of the etcd v3 API.

In addition to the API, ``/standin/fault`` injects an outage, a delay or lost answers, and
``/standin/counts`` returns the numbers of calls.
"""

import asyncio
import base64

import orjson
from aiohttp import web

MAX_VALUE_BYTES = 1_048_576
WRITES_PER_S = 400.0
READS_PER_S = 2000.0


class Entry:
    """A value, the revision of its last change, and when its lease expires."""

    __slots__ = ("expires_s", "revision", "value")

    def __init__(self, value, revision, expires_s):
        self.value = value
        self.revision = revision
        self.expires_s = expires_s


class TokenBucket:
    """A token bucket with a capacity of one second's worth of calls.

    :param rate: calls per second.
    """

    __slots__ = ("_at_s", "_rate", "_tokens")

    def __init__(self, rate):
        self._rate = rate
        self._tokens = rate
        self._at_s = None

    def try_take(self, now_s):
        """Take a token and return whether there was one."""
        if self._at_s is not None:
            self._tokens = min(self._rate, self._tokens + (now_s - self._at_s) * self._rate)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Faults:
    """Injected faults: an outage, a delay of each call, and a number of answers to lose."""

    __slots__ = ("delay_ms", "down", "lose_answers")

    def __init__(self):
        self.down = False
        self.delay_ms = 0.0
        self.lose_answers = 0


class StoreStandin:
    """Keys with revisions, compare-and-swap transactions, leases and watches.

    :param delay_ms: duration of each call, in milliseconds.
    :param writes_per_s: rate limit of writes.
    :param reads_per_s: rate limit of reads and watches.
    """

    def __init__(self, delay_ms=2.0, writes_per_s=WRITES_PER_S, reads_per_s=READS_PER_S):
        self.faults = Faults()
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "refused": 0, "conflicts": 0}
        self._delay_ms = delay_ms
        self._reads = TokenBucket(reads_per_s)
        self._writes = TokenBucket(writes_per_s)
        self._entries = {}
        self._leases = {}
        self._revision = 0
        self._watchers = {}

    def app(self):
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 * MAX_VALUE_BYTES)
        app.router.add_post("/v3/kv/range", self.on_range)
        app.router.add_post("/v3/kv/txn", self.on_txn)
        app.router.add_post("/v3/lease/grant", self.on_grant)
        app.router.add_post("/v3/watch", self.on_watch)
        app.router.add_post("/standin/fault", self.on_fault)
        app.router.add_get("/standin/counts", self.on_counts)
        return app

    async def on_range(self, request):
        """Answer ``/v3/kv/range``."""
        refusal = await self._begin_call("reads", self._reads)
        if refusal is not None:
            return refusal
        query = orjson.loads(await request.read())
        key = base64.b64decode(query["key"])
        self._remove_expired()
        if "range_end" in query:
            end = base64.b64decode(query["range_end"])
            found = sorted(name for name in self._entries if key <= name < end)
            if query.get("sort_order") == "DESCEND":
                found.reverse()
            limit = int(query.get("limit", 0))
            found = found[:limit] if limit else found
        else:
            found = [key] if key in self._entries else []
        entries = [self._encode_entry(name) for name in found]
        return self._answer({"kvs": entries, "count": str(len(entries))})

    async def on_txn(self, request):
        """Answer ``/v3/kv/txn``."""
        refusal = await self._begin_call("writes", self._writes)
        if refusal is not None:
            return refusal
        query = orjson.loads(await request.read())
        self._remove_expired()
        succeeded = all(self._compare_holds(compare) for compare in query.get("compare", ()))
        if succeeded:
            self._revision += 1
            for operation in query.get("success", ()):
                put = operation["request_put"]
                if len(base64.b64decode(put["value"])) > MAX_VALUE_BYTES:
                    return web.json_response({"error": "value is too large"}, status=400)
                self._apply_put(put)
        else:
            self.counts["conflicts"] += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
            return web.Response(status=500)
        return self._answer({"succeeded": succeeded})

    async def on_grant(self, request):
        """Answer ``/v3/lease/grant``."""
        refusal = await self._begin_call("writes", self._writes)
        if refusal is not None:
            return refusal
        query = orjson.loads(await request.read())
        lease = str(len(self._leases) + 1)
        self._leases[lease] = float(query["TTL"])
        return self._answer({"ID": lease, "TTL": query["TTL"]})

    async def on_watch(self, request):
        """Answer ``/v3/watch`` with one JSON line for each change."""
        refusal = await self._begin_call("watches", self._reads)
        if refusal is not None:
            return refusal
        query = orjson.loads(await request.read())["create_request"]
        key = base64.b64decode(query["key"])
        queue = asyncio.Queue()
        self._watchers.setdefault(key, set()).add(queue)
        response = web.StreamResponse()
        await response.prepare(request)
        entry = self._entries.get(key)
        if entry is not None and entry.revision >= int(query.get("start_revision", 0)):
            queue.put_nowait(self._encode_entry(key))
        try:
            while True:
                encoded = await queue.get()
                line = orjson.dumps({"result": {"events": [{"kv": encoded}]}}) + b"\n"
                await response.write(line)
        finally:
            self._watchers[key].discard(queue)

    async def on_fault(self, request):
        """Set faults, such as ``{"down": true, "delay_ms": 100, "lose_answers": 2}``."""
        for name, value in orjson.loads(await request.read()).items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def on_counts(self, _request):
        """Answer ``/standin/counts``."""
        watching = sum(len(queues) for queues in self._watchers.values())
        return web.json_response({**self.counts, "watching": watching})

    async def _begin_call(self, kind, bucket):
        self.counts[kind] += 1
        await asyncio.sleep((self._delay_ms + self.faults.delay_ms) / 1000)
        now_s = asyncio.get_running_loop().time()
        if self.faults.down or not bucket.try_take(now_s):
            self.counts["refused"] += 1
            return web.json_response({"error": "unavailable"}, status=503)
        return None

    def _compare_holds(self, compare):
        entry = self._entries.get(base64.b64decode(compare["key"]))
        return int(compare["mod_revision"]) == (0 if entry is None else entry.revision)

    def _apply_put(self, put):
        key = base64.b64decode(put["key"])
        expires_s = None
        if "lease" in put:
            expires_s = asyncio.get_running_loop().time() + self._leases[put["lease"]]
        value = base64.b64decode(put["value"])
        self._entries[key] = Entry(value, self._revision, expires_s)
        for queue in self._watchers.get(key, ()):
            queue.put_nowait(self._encode_entry(key))

    def _remove_expired(self):
        now_s = asyncio.get_running_loop().time()
        for key in [key for key, entry in self._entries.items() if _is_expired(entry, now_s)]:
            del self._entries[key]

    def _encode_entry(self, key):
        entry = self._entries[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(entry.value).decode(),
            "mod_revision": str(entry.revision),
        }

    def _answer(self, body):
        return web.json_response({"header": {"revision": str(self._revision)}, **body})


def _is_expired(entry, now_s):
    return entry.expires_s is not None and entry.expires_s <= now_s
