"""The platform's metadata store, as far as the nodes use it."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, unquote, urlsplit

from .http import address_of, build, read_message

MAX_WAIT_MS = 30_000
PAGE = 500


class Store:
    """Serves range reads, watches, writes and leases over HTTP, with one revision counter.

    Each answer has the header ``Store-Era``, which :meth:`restore` raises. ``is_down`` makes all
    calls end without an answer, as those to a store that is not there. A watch that has waited for
    ``cut_watches_s`` seconds is cut, ``None`` for none.
    """

    def __init__(self):
        self.revision = 1
        self.era = 1
        self.items = {}
        self.events = []
        self.is_down = False
        self.cut_watches_s = None
        self._changed = asyncio.Event()
        self._servers = []
        self._writers = set()
        self.address = None

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self.address = await self.listen(host)

    async def listen(self, host="127.0.0.1", links=None):
        """Listen on one more free port; return the address.

        :param links: maps the address of a replica to that of the link to it, for one node only.
        """
        server = await asyncio.start_server(
            lambda reader, writer: self._serve(reader, writer, links or {}), host, 0
        )
        self._servers.append(server)
        return address_of(server)

    def close(self):
        """Stop listening and end all connections."""
        for server in self._servers:
            server.close()
        self._abort_all()

    def put(self, key, value):
        """Write a JSON value; return the revision, which acknowledges it."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self._write(key, text, 0)

    def delete(self, key):
        """Remove a key; return the revision."""
        self.revision += 1
        self.items.pop(key, None)
        self._append({"key": key, "revision": self.revision, "deleted": True})
        return self.revision

    def copy(self):
        """Return a copy of the content, to come back from."""
        return self.revision, dict(self.items), list(self.events)

    def go_down(self):
        """End all connections and answer nothing any more."""
        self.is_down = True
        self._abort_all()

    def come_back(self):
        """Answer calls again."""
        self.is_down = False

    def restore(self, copied):
        """Come back from a copy: later revisions are given out again, and the era rises."""
        self.revision, self.items, self.events = copied[0], dict(copied[1]), list(copied[2])
        self.era += 1
        self.is_down = False

    def _abort_all(self):
        for writer in list(self._writers):
            writer.transport.abort()

    def _write(self, key, text, lease):
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created_rev": known["created_rev"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._append(item)
        return self.revision

    def _append(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer, links):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if self.is_down:
                    writer.transport.abort()
                    return
                status, document = await self._answer(message)
                if self.is_down or status is None:
                    writer.transport.abort()
                    return
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                body = json.dumps(_through(links, document)).encode()
                writer.write(build(f"HTTP/1.1 {status}", headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message):
        method, target, _ = message.first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        call = parts.path.removeprefix("/auburnhollow/")
        if call == "kv-range":
            return self._range(query)
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-key":
            item = self.items.get(unquote(query["key"]))
            if item is None:
                return "404 Not Found", {"current_rev": self.revision}
            return "200 OK", {**item, "current_rev": self.revision}
        if call == "kv-lease" and method == "POST":
            return "200 OK", {"lease": 1, "ttl_ms": json.loads(message.body)["ttl_ms"]}
        if call == "kv-txn" and method == "POST":
            document = json.loads(message.body)
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
        prefix = query.get("prefix", "")
        if wait_ms > MAX_WAIT_MS:
            return "400 Bad Request", {}
        if after > self.revision:
            # A revision that this store does not have.
            return "410 Gone", {}
        if after == self.revision:
            cut_s = self.cut_watches_s
            is_cut = cut_s is not None and cut_s < wait_ms / 1000
            try:
                await asyncio.wait_for(self._changed.wait(), cut_s if is_cut else wait_ms / 1000)
            except TimeoutError:
                if is_cut:
                    return None, None
                return "200 OK", {"events": [], "current_rev": self.revision}
        found = [
            event
            for event in self.events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        return "200 OK", {"events": found, "current_rev": self.revision}


def _through(links, document):
    """Return an answer with the addresses of links in place of those of replicas."""
    if not links:
        return document
    changed = dict(document)
    for name in ("items", "events"):
        if name in document:
            changed[name] = [_item_through(links, item) for item in document[name]]
    return changed


def _item_through(links, item):
    if not item["key"].startswith("servers/") or "value" not in item:
        return item
    entry = json.loads(base64.b64decode(item["value"]))
    entry["addr"] = links.get(entry["addr"], entry["addr"])
    return {**item, "value": base64.b64encode(json.dumps(entry).encode()).decode()}
