"""A stand-in of the key-value service: the JSON gateway of the etcd v3 API, in memory.

Beyond the published calls it has ``/standin/fault``, which sets an outage, a delay or lost
answers, and ``/standin/counts``.
"""

import asyncio
import base64

import orjson
from aiohttp import web

MAX_VALUE_BYTES = 1_048_576
WRITES_PER_S = 400.0
READS_PER_S = 2000.0


class Entry:
    """A value with the revision of its last change."""

    __slots__ = ("expires_s", "revision", "value")

    def __init__(self, value, revision, expires_s):
        self.value = value
        self.revision = revision
        self.expires_s = expires_s


class Bucket:
    """A token bucket: ``rate`` calls a second, one second's worth at once."""

    __slots__ = ("_at_s", "_rate", "_tokens")

    def __init__(self, rate):
        self._rate = rate
        self._tokens = rate
        self._at_s = None

    def try_take(self, now_s):
        """Return whether one more call goes now."""
        if self._at_s is not None:
            self._tokens = min(self._rate, self._tokens + (now_s - self._at_s) * self._rate)
        self._at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Faults:
    """What goes wrong just now. Delays are in milliseconds."""

    __slots__ = ("delay_ms", "down", "lose_answers")

    def __init__(self):
        self.down = False
        self.delay_ms = 0.0
        self.lose_answers = 0


class StoreStandin:
    """Keys with revisions, compare-and-swap transactions, leases and watches.

    :param delay_ms: time that each call takes, in milliseconds.
    """

    def __init__(self, delay_ms=2.0, writes_per_s=WRITES_PER_S, reads_per_s=READS_PER_S):
        self.faults = Faults()
        self.counts = {"reads": 0, "writes": 0, "watches": 0, "refused": 0, "conflicts": 0}
        self._delay_ms = delay_ms
        self._reads = Bucket(reads_per_s)
        self._writes = Bucket(writes_per_s)
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
        refusal = await self._enter("reads", self._reads)
        if refusal is not None:
            return refusal
        question = orjson.loads(await request.read())
        key = base64.b64decode(question["key"])
        self._expire()
        if "range_end" in question:
            end = base64.b64decode(question["range_end"])
            found = sorted(name for name in self._entries if key <= name < end)
            if question.get("sort_order") == "DESCEND":
                found.reverse()
            limit = int(question.get("limit", 0))
            found = found[:limit] if limit else found
        else:
            found = [key] if key in self._entries else []
        entries = [self._shown(name) for name in found]
        return self._answer({"kvs": entries, "count": str(len(entries))})

    async def on_txn(self, request):
        """Answer ``/v3/kv/txn``."""
        refusal = await self._enter("writes", self._writes)
        if refusal is not None:
            return refusal
        question = orjson.loads(await request.read())
        self._expire()
        succeeded = all(self._holds(compare) for compare in question.get("compare", ()))
        if succeeded:
            self._revision += 1
            for operation in question.get("success", ()):
                put = operation["request_put"]
                if len(base64.b64decode(put["value"])) > MAX_VALUE_BYTES:
                    return web.json_response({"error": "value is too large"}, status=400)
                self._put(put)
        else:
            self.counts["conflicts"] += 1
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            request.transport.abort()
            return web.Response(status=500)
        return self._answer({"succeeded": succeeded})

    async def on_grant(self, request):
        """Answer ``/v3/lease/grant``."""
        refusal = await self._enter("writes", self._writes)
        if refusal is not None:
            return refusal
        question = orjson.loads(await request.read())
        lease = str(len(self._leases) + 1)
        self._leases[lease] = float(question["TTL"])
        return self._answer({"ID": lease, "TTL": question["TTL"]})

    async def on_watch(self, request):
        """Answer ``/v3/watch`` with a line for each change."""
        refusal = await self._enter("watches", self._reads)
        if refusal is not None:
            return refusal
        question = orjson.loads(await request.read())["create_request"]
        key = base64.b64decode(question["key"])
        queue = asyncio.Queue()
        self._watchers.setdefault(key, set()).add(queue)
        response = web.StreamResponse()
        await response.prepare(request)
        entry = self._entries.get(key)
        if entry is not None and entry.revision >= int(question.get("start_revision", 0)):
            queue.put_nowait(self._shown(key))
        try:
            while True:
                shown = await queue.get()
                line = orjson.dumps({"result": {"events": [{"kv": shown}]}}) + b"\n"
                await response.write(line)
        finally:
            self._watchers[key].discard(queue)

    async def on_fault(self, request):
        """Set faults: ``{"down": true, "delay_ms": 100, "lose_answers": 2}``."""
        for name, value in orjson.loads(await request.read()).items():
            setattr(self.faults, name, value)
        return web.json_response({})

    async def on_counts(self, _request):
        """Tell how many calls came."""
        watching = sum(len(queues) for queues in self._watchers.values())
        return web.json_response({**self.counts, "watching": watching})

    async def _enter(self, kind, bucket):
        self.counts[kind] += 1
        await asyncio.sleep((self._delay_ms + self.faults.delay_ms) / 1000)
        now_s = asyncio.get_running_loop().time()
        if self.faults.down or not bucket.try_take(now_s):
            self.counts["refused"] += 1
            return web.json_response({"error": "unavailable"}, status=503)
        return None

    def _holds(self, compare):
        entry = self._entries.get(base64.b64decode(compare["key"]))
        return int(compare["mod_revision"]) == (0 if entry is None else entry.revision)

    def _put(self, put):
        key = base64.b64decode(put["key"])
        expires_s = None
        if "lease" in put:
            expires_s = asyncio.get_running_loop().time() + self._leases[put["lease"]]
        value = base64.b64decode(put["value"])
        self._entries[key] = Entry(value, self._revision, expires_s)
        for queue in self._watchers.get(key, ()):
            queue.put_nowait(self._shown(key))

    def _expire(self):
        now_s = asyncio.get_running_loop().time()
        for key in [key for key, entry in self._entries.items() if _is_over(entry, now_s)]:
            del self._entries[key]

    def _shown(self, key):
        entry = self._entries[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": base64.b64encode(entry.value).decode(),
            "mod_revision": str(entry.revision),
        }

    def _answer(self, body):
        return web.json_response({"header": {"revision": str(self._revision)}, **body})


def _is_over(entry, now_s):
    return entry.expires_s is not None and entry.expires_s <= now_s
