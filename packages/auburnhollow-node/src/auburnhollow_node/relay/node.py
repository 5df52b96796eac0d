"""One node that passes requests on: its parts and how they are wired."""

import asyncio
import logging
import math
import random

from auburnhollow.clock import Clock
from auburnhollow.decisions import decide
from auburnhollow.exceptions import NoRoute, NotReady, QueryError, TooLarge
from auburnhollow.follow import Follower
from auburnhollow.metrics import Metrics
from auburnhollow.relay import Dispatcher, DispatchSettings
from auburnhollow.relay.choice import Choice
from auburnhollow.relay.fanout import ANSWER_MS
from auburnhollow.retry import spread_ms
from auburnhollow.servers import ServerRegistry

log = logging.getLogger("node")

NOT_READY_RETRY_MS = 300.0


class RelayNode:
    """The parts of one node.

    :param settings: :class:`~auburnhollow_node.relay.settings.RelaySettings`.
    :param feed: :class:`~auburnhollow.follow.Feed`.
    :param client: :class:`~auburnhollow.relay.ServerClient`.

    >>> node = RelayNode(settings, feed, client)
    >>> answer = await node.handle(request)
    """

    __slots__ = (
        "_in_progress",
        "_random",
        "_tasks",
        "clock",
        "dispatcher",
        "follower",
        "is_stopping",
        "metrics",
        "registry",
        "settings",
    )

    def __init__(self, settings, feed, client, clock=None):
        self.settings = settings
        self.clock = clock or Clock()
        self.is_stopping = False
        self.metrics = Metrics()
        self._random = random.Random(settings.seed)
        self._tasks = []
        self._in_progress = 0
        self.registry = ServerRegistry(self.clock)
        self.dispatcher = Dispatcher(
            client,
            self.registry,
            Choice(settings.data_centre, settings.regions, self.clock, self._random),
            self.clock,
            self._random,
            self.metrics,
            DispatchSettings(
                retry_ratio=settings.retry_ratio, retry_window_ms=settings.retry_window_ms
            ),
        )
        self.follower = Follower(
            feed, self.registry, self.clock, self._random, self.dispatcher.forget
        )

    @property
    def routes(self):
        """The :class:`~auburnhollow.routes.RouteTable` in force, or ``None``."""
        return self.follower.routes

    @property
    def is_ready(self):
        """Whether the balancer should send callers here."""
        return not self.is_stopping and self.routes is not None and len(self.registry) > 0

    @property
    def in_progress(self):
        """How many requests are being answered."""
        return self._in_progress

    def start(self):
        """Begin to follow the store."""
        self._tasks.append(asyncio.get_running_loop().create_task(self.follower.run()))

    async def stop(self):
        """End all tasks."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def handle(self, request):
        """Answer one request.

        :param request: :class:`~auburnhollow.relay.Request`.
        :returns: an :class:`~auburnhollow.relay.Answer` or :class:`~auburnhollow.relay.Merged`.
        :raises QueryError: with ``ran`` true to what servers may have done.
        """
        self._in_progress += 1
        route = None
        try:
            route = self._route(request)
            answer = await self._dispatch(request, route)
        except QueryError as error:
            self._log_error(request, route, error)
            raise
        except asyncio.CancelledError:
            self.metrics.incr("front.abandoned")
            decide(log, "caller left", request.id, route=getattr(route, "name", None))
            raise
        finally:
            self._in_progress -= 1
        self.metrics.incr("front.answered")
        return answer

    def _route(self, request):
        table = self.routes
        if table is None:
            raise NotReady(
                "no configuration is known yet",
                retry_after_ms=spread_ms(self._random, NOT_READY_RETRY_MS),
            )
        if len(request.body) > table.limits.body_bytes:
            raise TooLarge(f"the body is larger than {table.limits.body_bytes} bytes")
        route = table.find(request.host, request.path)
        if route is None:
            raise NoRoute(f"no route for {request.host} in version {table.version}")
        return route

    async def _dispatch(self, request, route):
        limit_ms = request.received_ms + route.time_limit_ms
        request.limit_ms = min(limit_ms, request.limit_ms - ANSWER_MS)
        if route.shards:
            return await self.dispatcher.gather(request, route)
        service = self.routes.branch(route, self._random)
        return await self.dispatcher.pass_on(request, route, service)

    def _log_error(self, request, route, error):
        self.metrics.incr(f"front.{error.code}")
        decide(
            log,
            "request failed",
            request.id,
            level=logging.WARNING,
            route=getattr(route, "name", None),
            code=error.code,
            ran=error.ran,
            detail=error.detail,
            retry_after_ms=error.retry_after_ms,
            age_ms=round(self.clock.now_ms() - request.received_ms),
            left_ms=_finite(request.limit_ms - self.clock.now_ms()),
            version=None if self.routes is None else self.routes.version,
        )


def _finite(duration_ms):
    return None if math.isinf(duration_ms) else round(duration_ms)
