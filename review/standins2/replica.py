"""A sound replica."""

import asyncio
import time

from .wire import address_of, build, read_message


class Replica:
    """Runs ``slots`` requests at a time and queues ``queue`` more; rejects what is beyond that.

    It drops a request, running or waiting, when its connection closes.

    :param record: function of the kind of an event and its fields.

    ``work_s`` is a function of a request that returns how long it takes, in seconds.
    """

    def __init__(self, name, service, zone, record, slots=5, queue=30):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = lambda _message: 0.03
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.address = None
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._server = None
        self._writers = set()

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0, limit=2**20)
        self.address = address_of(self._server)

    def close(self):
        """Stop listening and end all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def entry(self):
        """Return the replica's entry in the store."""
        self.seq += 1
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                data = await self._answer(message, reader)
                if data is None:
                    return
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message, reader):
        """Return the bytes of the answer, ``None`` if the caller has left."""
        method, target, _ = message.first.split(" ", 2)
        if method == "GET" and target == "/health":
            return build(
                "HTTP/1.1 200 OK", [("X-Auburnhollow-Instance-Id", self.name), self._load()]
            )
        request_id = message.headers.get("x-auburnhollow-request-id")
        if request_id is None:
            return build("HTTP/1.1 400 Bad Request", [("X-Auburnhollow-Not-Executed", "id")])
        echo = ("X-Auburnhollow-Request-Id", request_id)
        if message.headers.get("x-auburnhollow-target-instance", self.name) != self.name:
            return build("HTTP/1.1 421 Misdirected Request", [echo])
        self._record("arrived", id=request_id, replica=self.name)
        if self._running >= self.slots and self._waiting >= self.queue:
            self._record("rejected", id=request_id, replica=self.name)
            refusal = [echo, ("X-Auburnhollow-Not-Executed", "full"), self._load()]
            return build("HTTP/1.1 503 Service Unavailable", refusal)
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            if reader.at_eof():
                return None
            self._record(
                "run",
                id=request_id,
                replica=self.name,
                target=target,
                method=method,
                bytes=len(message.body),
                account=message.headers.get("x-auburnhollow-tenant"),
            )
            if not await self._work(reader, self.work_s(message)):
                self._record("dropped", id=request_id, replica=self.name)
                return None
        finally:
            self._running -= 1
            self._free.release()
        self._record("done", id=request_id, replica=self.name)
        stamp = ("X-Auburnhollow-Server-Stamp", f"{self.name}.{request_id}")
        body = f"{self.name} ran {request_id}".encode()
        return build("HTTP/1.1 200 OK", [echo, stamp, self._load()], body)

    async def _work(self, reader, work_s):
        """Work for a time; return whether the caller is still there."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + work_s
        while loop.time() < end_s:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(0.01, max(0.0, end_s - loop.time())))
        return True

    def _load(self):
        return ("X-Auburnhollow-Server-Load", f"{self._running},{self._waiting},{self.slots}")
