"""HTTP resources for operators, used by the ``auburnhollow`` command."""

from auburnhollow.configuration.schema import KINDS, SEARCH

from .. import status
from . import bodies

ROUTE = {
    "type": "object",
    "additionalProperties": False,
    "anyOf": [{"required": ["service"]}, {"required": ["selector"]}],
    "properties": {
        "kind": {"enum": KINDS},
        "service": {"type": "string"},
        "selector": {"type": "object"},
    },
}


class Events:
    """Returns the events that this node has recorded."""

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    async def on_get(self, request, response):
        """Answer with the events since the wall time ``since_ms``, in milliseconds."""
        since_ms = request.get_param_as_int("since_ms", default=0)
        events = self._node.events.since(since_ms)
        response.media = {"events": [event.to_map() for event in events]}


class Status:
    """Returns the state of this node and its view of the fleet."""

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    async def on_get(self, _request, response):
        """Answer with the status."""
        response.media = self._node.status()


class Route:
    """Explains where a request would be sent."""

    __slots__ = ("_node",)

    def __init__(self, node):
        self._node = node

    async def on_post(self, request, response):
        """Answer with the shards and their replicas, with costs and reasons to pass one over."""
        settings = self._node.settings
        body = await bodies.read_body(request, settings.max_body_bytes, settings.body_ms)
        bodies.check_body(ROUTE, body)
        response.media = status.explain_route(
            self._node, body.get("kind", SEARCH), body.get("service"), body.get("selector", {})
        )


def add_routes(app, node):
    """Add the operators' routes to ``app``."""
    app.add_route("/operator/status", Status(node))
    app.add_route("/operator/events", Events(node))
    app.add_route("/operator/route", Route(node))
