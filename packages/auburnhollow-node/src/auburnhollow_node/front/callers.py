"""HTTP resources for callers and the balancer."""

import orjson

from auburnhollow import __version__
from auburnhollow.configuration.schema import CHECK, SEARCH
from auburnhollow.exceptions import NotReady, QueryError
from auburnhollow.metrics import timed
from auburnhollow.routing.plan import find_by_labels, find_service

from . import bodies, openapi

JSON = "application/json"
PARTIAL_STATUS = 207


def caller_of(request):
    """Return the name of the caller: its ``Caller`` header, or else its address."""
    return request.get_header("Caller") or request.remote_addr or "unknown"


class Queries:
    """Answers searches or checks, depending on ``kind``.

    :param node: :class:`~auburnhollow_node.node.Node`.
    :param kind: ``search`` or ``check``.
    """

    __slots__ = ("_kind", "_node")

    def __init__(self, node, kind):
        self._node = node
        self._kind = kind

    async def on_post(self, request, response):
        """Answer one search or check."""
        node = self._node
        settings = node.settings
        with timed(node.metrics, node.clock, f"front.{self._kind}_ms"):
            body = await bodies.read_body(request, settings.max_body_bytes, settings.body_ms)
            request.context.request_id = body.get("request_id")
            bodies.check_body(bodies.SEARCH, body)
            search = bodies.read_search(body, self._kind, caller_of(request), self._policy(body))
            request.context.request_id = search.request_id
            answer = await self._answer(search, body.get("trace", False))
        _write_answer(response, answer)

    def _policy(self, body):
        configuration = self._node.components.configuration()
        name = body.get("service")
        if name is not None:
            return find_service(configuration, name, self._kind).policy
        return find_by_labels(configuration, body["selector"], self._kind).policy

    async def _answer(self, search, trace):
        events = self._node.events
        try:
            answer = await self._node.delegation.search(search)
        except QueryError as error:
            events.record(
                "request-refused",
                request_id=search.request_id,
                code=error.code,
                ran=error.ran.value,
            )
            raise
        if trace or not answer.coverage.is_complete:
            events.record(
                "request-answered",
                request_id=search.request_id,
                service=answer.service,
                snapshot=answer.snapshot,
                answered=answer.coverage.answered,
                asked=answer.coverage.asked,
            )
        return answer


def _write_answer(response, answer):
    coverage = answer.coverage
    response.status = 200 if coverage.is_complete else PARTIAL_STATUS
    response.content_type = JSON
    response.set_header("Coverage", f"{coverage.answered}/{coverage.asked}")
    body = answer.to_map()
    body["coverage"] = coverage.to_map()
    response.data = orjson.dumps(body)


class Orders:
    """Runs orders.

    :param node: :class:`~auburnhollow_node.node.Node`.
    """

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    async def on_post(self, request, response):
        """Run one order, at most once per key."""
        node = self._node
        settings = node.settings
        with timed(node.metrics, node.clock, "front.order_ms"):
            body = await bodies.read_body(request, settings.max_body_bytes, settings.body_ms)
            request.context.request_id = body.get("request_id")
            bodies.check_body(bodies.ORDER, body)
            key = request.get_header("Idempotency-Key")
            order = bodies.read_order(body, key, caller_of(request))
            result = await self._run(order)
        response.content_type = JSON
        response.data = orjson.dumps({"request_id": body.get("request_id"), **result.to_map()})

    async def _run(self, order):
        try:
            return await self._node.delegation.run(order)
        except QueryError as error:
            self._node.events.record(
                "order-refused", key=order.key, code=error.code, ran=error.ran.value
            )
            raise


class Readiness:
    """Readiness check: whether the balancer should send requests to this node."""

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    async def on_get(self, _request, response):
        """Answer 200 if the node takes new requests, and 503 otherwise."""
        if not self._node.is_ready:
            raise NotReady("this node takes no new requests", retry_after_ms=1000)
        response.media = {"ready": True}


class Liveness:
    """Liveness check: whether the process runs."""

    __slots__ = ()

    async def on_get(self, _request, response):
        """Answer 200."""
        response.media = {"alive": True}


class OpenApiDocument:
    """Serves the OpenAPI document."""

    __slots__ = ("_data",)

    def __init__(self):
        self._data = orjson.dumps(openapi.document(__version__))

    async def on_get(self, _request, response):
        """Answer with the OpenAPI document."""
        response.content_type = JSON
        response.data = self._data


class ConnectionCloser:
    """Middleware that asks callers to close their connections while the node shuts down.

    :param node: :class:`~auburnhollow_node.node.Node`.
    """

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    async def process_response(self, _request, response, _resource, _succeeded):
        """Add ``Connection: close`` while the node shuts down."""
        if self._node.is_stopping:
            response.set_header("Connection", "close")


def add_routes(app, node):
    """Add the callers' routes to ``app``."""
    app.add_route("/v1/search", Queries(node, SEARCH))
    app.add_route("/v1/check", Queries(node, CHECK))
    app.add_route("/v1/orders", Orders(node))
    app.add_route("/readyz", Readiness(node))
    app.add_route("/healthz", Liveness())
    app.add_route("/openapi.json", OpenApiDocument())
    app.add_middleware(ConnectionCloser(node))
