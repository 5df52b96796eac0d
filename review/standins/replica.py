"""A sound replica, which tests let misbehave within what the pages allow."""

import asyncio
import time

from .http import address_of, build, read_message

REQUEST_ID = "x-auburnhollow-request-id"
TARGET = "x-auburnhollow-target-instance"
DEADLINE = "x-auburnhollow-deadline"


class Replica:
    """Runs ``slots`` requests at a time and queues ``queue`` more; refuses what is beyond that.

    :param record: function of the kind of an event and its fields.
    :param delay_s: one-way delay of its link.

    ``work_s`` is a function of a request that returns how long it takes. ``on_answer`` is called
    with the connection and the bytes of each answer that was sent, ``before_request`` with the
    connection when a request arrives on it.
    """

    def __init__(self, name, service, zone, record, slots=3, queue=3, delay_s=0.0):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.delay_s = delay_s
        self.work_s = lambda _message: 0.03
        self.on_answer = None
        self.before_request = None
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.extra_headers = []
        self.address = None
        self._record = record
        self._free = asyncio.Semaphore(slots)
        self._running = 0
        self._waiting = 0
        self._server = None
        self._writers = set()

    async def start(self, host="127.0.0.1", port=0):
        """Listen on a port."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = address_of(self._server)

    def close(self):
        """Stop listening and end all connections, as a process that ends."""
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
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if self.before_request is not None:
                    self.before_request(self, writer)
                data = await self._answer(message, reader)
                if data is None:
                    return
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
                if self.on_answer is not None:
                    self.on_answer(self, writer, data)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message, reader):
        method, target, _ = message.first.split(" ", 2)
        if method == "GET" and target == "/health":
            headers = [("X-Auburnhollow-Instance-Id", self.name), self._load()]
            return build("HTTP/1.1 200 OK", headers)
        request_id = message.headers.get(REQUEST_ID)
        if request_id is None:
            return build("HTTP/1.1 400 Bad Request", [("X-Auburnhollow-Not-Executed", "id")])
        echo = ("X-Auburnhollow-Request-Id", request_id)
        if message.headers.get(TARGET, self.name) != self.name:
            return build("HTTP/1.1 421 Misdirected Request", [echo])
        if self._running >= self.slots and self._waiting >= self.queue:
            self._record("refused", id=request_id, replica=self.name)
            return build(
                "HTTP/1.1 503 Service Unavailable",
                [echo, ("X-Auburnhollow-Not-Executed", "full"), self._load(), *self.extra_headers],
            )
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            if reader.at_eof():
                # The caller has left while the request waited: it does not run.
                return None
            self._record("run", id=request_id, replica=self.name, target=target)
            await asyncio.sleep(self.work_s(message))
        finally:
            self._running -= 1
            self._free.release()
        stamp = ("X-Auburnhollow-Server-Stamp", f"{self.name}.{request_id}")
        body = f"{self.name} ran {request_id}".encode()
        return build("HTTP/1.1 200 OK", [echo, stamp, self._load(), *self.extra_headers], body)

    def _load(self):
        return ("X-Auburnhollow-Server-Load", f"{self._running},{self._waiting},{self.slots}")
