"""The platform's metadata store, as far as the nodes use it."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from .wire import address_of, build, read_message

MAX_WAIT_MS = 30_000
PAGE = 500


class Store:
    """Serves range reads, watches, writes and leases over HTTP, with one revision counter.

    Leases do not end while the store runs, which is shorter than those that nodes take.
    """

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.events = []
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()
        self.address = None

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = address_of(self._server)

    def close(self):
        """Stop listening and end all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def put(self, key, value):
        """Write a value as JSON; the return of this call acknowledges it."""
        self._write(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def delete(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "revision": self.revision, "deleted": True})

    def _write(self, key, text, lease):
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": lease,
        }
        self._append(self.items[key])

    def _append(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                status, document = await self._answer(message)
                headers = [("Content-Type", "application/json")]
                writer.write(build(f"HTTP/1.1 {status}", headers, json.dumps(document).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message):
        _method, target, _ = message.first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path.removeprefix("/auburnhollow/")
        if call == "kv-range":
            return self._range(query)
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-key":
            item = self.items.get(query.get("key"))
            if item is None:
                return "404 Not Found", {"current_rev": self.revision}
            return "200 OK", {**item, "current_rev": self.revision}
        document = json.loads(message.body or b"{}")
        if call == "kv-lease":
            return "200 OK", {"lease": 1, "ttl_ms": document["ttl_ms"]}
        if call == "kv-txn":
            for write in document["writes"]:
                self._write(write["key"], write["value"], write.get("lease", 0))
            for key in document["deletes"]:
                self.delete(key)
            return "200 OK", {"revision": self.revision}
        return "404 Not Found", {}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return "200 OK", {
            "items": [self.items[key] for key in keys[:PAGE]],
            "has_more": len(keys) > PAGE,
            "current_rev": self.revision,
        }

    async def _watch(self, query):
        after, wait_ms = int(query["after"]), int(query["wait_ms"])
        if wait_ms > MAX_WAIT_MS:
            return "400 Bad Request", {}
        if after >= self.revision:
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), wait_ms / 1000)
            except TimeoutError:
                return "200 OK", {"events": [], "current_rev": self.revision}
        prefix = query.get("prefix", "")
        events = []
        for event in self.events:
            if event["revision"] > after and event["key"].startswith(prefix):
                events.append(event)
        return "200 OK", {"events": events, "current_rev": self.revision}
