"""Admin endpoints of a relay node: readiness, metrics, status and route explanations."""

from urllib.parse import parse_qs

import orjson

from auburnhollow.exceptions import QueryError
from auburnhollow.exposition import exposition

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
EXPLAIN_PATH = "/explain"


def build_admin(node, ready_path):
    """Return the ASGI application of the admin endpoints.

    :param node: :class:`~auburnhollow_node.relay.node.RelayNode`.
    :param ready_path: path of the balancer's readiness check.
    """

    async def admin(scope, receive, send):
        status, content_type, body = _respond(node, scope, ready_path)
        headers = [(b"content-length", str(len(body)).encode()), (b"content-type", content_type)]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    return admin


def _respond(node, scope, ready_path):
    """Return status, content type and body."""
    path = scope["path"]
    if path == ready_path:
        document = {"ready": node.is_ready, **node.standing()}
        return (200 if node.is_ready else 503), b"application/json", orjson.dumps(document)
    if path == METRICS_PATH:
        return 200, b"text/plain", exposition(node.metrics, node.gauges())
    if path == STATUS_PATH:
        from .status import status_of

        return 200, b"application/json", orjson.dumps(status_of(node))
    if path == EXPLAIN_PATH:
        return _explain(node, scope["query_string"].decode("latin-1"))
    return 404, b"text/plain", b""


def _explain(node, query_string):
    from .status import explain

    parameters = parse_qs(query_string)
    host = parameters.get("host", [""])[0]
    target = parameters.get("path", ["/"])[0]
    try:
        explanation = explain(node, host, target)
    except QueryError as error:
        document = {"code": error.code, "detail": error.detail}
        return error.status, b"application/problem+json", orjson.dumps(document)
    return 200, b"application/json", orjson.dumps(explanation)
