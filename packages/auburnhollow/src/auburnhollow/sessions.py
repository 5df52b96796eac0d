"""Client sessions, which retry requests until they are answered."""

import asyncio
import itertools
import random
import secrets
import time

import aiohttp
import orjson

from .exceptions import (
    BadRequest,
    KeyExpired,
    KeyReused,
    NoShardMatched,
    OutcomeUnknown,
    QueryError,
    Ran,
    UnknownService,
)

NONE = "none"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

KNOWN_ERRORS = {error_type.code: error_type for error_type in QueryError.__subclasses__()}
PATIENCE_MS = 30_000.0
INITIAL_PAUSE_MS = 100.0
MAX_PAUSE_MS = 5_000.0
NOT_RETRIED = (BadRequest, KeyExpired, KeyReused, NoShardMatched, OutcomeUnknown, UnknownService)


class Unreachable(QueryError):
    """No node could be reached, or the connection was lost."""

    status = 0
    code = "unreachable"


class Response:
    """An answer to a caller; ``body`` is the JSON object, ``status`` the HTTP status."""

    __slots__ = ("body", "status")

    def __init__(self, status, body):
        self.status = status
        self.body = body

    def __repr__(self):
        return f"<Response [{self.status}]>"

    @property
    def rows(self):
        """The best rows, best first."""
        return self.body.get("rows", [])

    @property
    def snapshot(self):
        """The index version of all rows."""
        return self.body.get("snapshot")

    @property
    def complete(self):
        """Whether every shard answered in full."""
        return self.body.get("coverage", {}).get("complete", True)

    @property
    def missing(self):
        """Shards that did not answer in full, each with the reason."""
        return self.body.get("coverage", {}).get("missing", [])

    @property
    def outcome(self):
        """The outcome of an order."""
        return self.body.get("outcome")


def new_key():
    """Return a new idempotency key, which includes its issue time."""
    return f"{int(time.time() * 1000)}.{secrets.token_hex(12)}"


class AsyncSession:
    """Sends requests to nodes with retries, for use with ``asyncio``.

    Retries keep the request's id and idempotency key and wait as long as the node asks for. A
    session never reads an older index version than it has seen.

    :param urls: one base URL or several, such as ``http://10.0.0.5:8000``, used in turn.
    :param caller: name of the caller.
    :param patience_ms: how long to retry, in milliseconds.
    :param seed: seed of the retry jitter.
    """

    def __init__(self, urls, caller=None, patience_ms=PATIENCE_MS, seed=None):
        urls = [urls] if isinstance(urls, str) else list(urls)
        self._urls = itertools.cycle(url.rstrip("/") for url in urls)
        self._headers = {"Content-Type": "application/json"}
        if caller is not None:
            self._headers["Caller"] = caller
        self._patience_ms = patience_ms
        self._random = random.Random(seed)
        self._newest_versions = {}
        self._session = None

    async def __aenter__(self):
        self._session = aiohttp.ClientSession(headers=self._headers)
        return self

    async def __aexit__(self, *_error):
        await self._session.close()

    async def search(self, service, query, **options):
        """Search all shards of a service; options are fields of the request body."""
        return await self._read("/v1/search", service, query, options)

    async def check(self, service, query, **options):
        """Query one replica of a service with one shard."""
        return await self._read("/v1/check", service, query, options)

    async def order(self, service, order, key=None, **options):
        """Run a request that may not be repeated.

        :param key: the idempotency key, new by default; keep it to retry the same order.
        """
        # A key that the session has just created can't have been used before.
        earlier = UNKNOWN if key is not None else NONE
        key = key or new_key()
        body = {"service": service, "order": order, "earlier": earlier, **options}
        return await self._ask("/v1/orders", body, {"Idempotency-Key": key})

    async def _read(self, path, service, query, options):
        body = {"query": query, "request_id": secrets.token_hex(8), **options}
        if service is not None:
            body["service"] = service
        body.setdefault("at_least", self._newest_versions.get(service, 0))
        response = await self._ask(path, body, {})
        name = response.body.get("service")
        self._newest_versions[name] = max(
            self._newest_versions.get(name, 0), response.snapshot or 0
        )
        return response

    async def _ask(self, path, body, headers):
        deadline_s = time.monotonic() + self._patience_ms / 1000
        pause_ms = INITIAL_PAUSE_MS
        while True:
            try:
                return await self._ask_once(path, body, headers)
            except NOT_RETRIED:
                raise
            except QueryError as error:
                _update_earlier(body, error)
                wait_ms = error.retry_after_ms
                if wait_ms is None:
                    wait_ms = pause_ms * (0.5 + self._random.random())
                    pause_ms = min(MAX_PAUSE_MS, pause_ms * 2)
                if time.monotonic() + wait_ms / 1000 > deadline_s:
                    raise
            await asyncio.sleep(wait_ms / 1000)

    async def _ask_once(self, path, body, headers):
        url = next(self._urls) + path
        try:
            async with self._session.post(
                url, data=orjson.dumps(body), headers=headers
            ) as response:
                answer = orjson.loads(await response.read())
                if response.status < 300:
                    return Response(response.status, answer)
        except aiohttp.ClientConnectorError as error:
            raise Unreachable(str(error), Ran.NO, request=body) from error
        except (aiohttp.ClientError, TimeoutError, orjson.JSONDecodeError) as error:
            raise Unreachable(str(error), Ran.UNKNOWN, request=body) from error
        raise error_of(answer, body)


def _update_earlier(body, error):
    """Update ``earlier`` of an order for the next try."""
    if "earlier" not in body:
        return
    if error.ran is not Ran.NO:
        body["earlier"] = UNKNOWN
    elif body["earlier"] == NONE:
        body["earlier"] = NOT_RUN


def error_of(problem, request):
    """Return the :class:`QueryError` for a problem document."""
    error_type = KNOWN_ERRORS.get(problem.get("title", "").replace(" ", "-"), QueryError)
    return error_type(
        problem.get("detail", ""),
        ran=Ran(problem.get("ran", "unknown")),
        retry_after_ms=problem.get("retry_after_ms"),
        request=request,
        response=problem,
    )


class Session:
    """Sends requests to nodes with retries; the synchronous form of :class:`AsyncSession`.

    >>> with Session("http://127.0.0.1:8000") as session:
    ...     session.search("booking-desk", {"text": "jaw crusher"}).rows
    """

    def __init__(self, urls, **options):
        self._runner = asyncio.Runner()
        self._session = AsyncSession(urls, **options)

    def __enter__(self):
        self._runner.__enter__()
        self._runner.run(self._session.__aenter__())
        return self

    def __exit__(self, *error):
        self._runner.run(self._session.__aexit__(*error))
        self._runner.__exit__(*error)

    def search(self, service, query, **options):
        """Search all shards of a service."""
        return self._runner.run(self._session.search(service, query, **options))

    def check(self, service, query, **options):
        """Query one replica of a service with one shard."""
        return self._runner.run(self._session.check(service, query, **options))

    def order(self, service, order, key=None, **options):
        """Run a request that may not be repeated."""
        return self._runner.run(self._session.order(service, order, key, **options))
