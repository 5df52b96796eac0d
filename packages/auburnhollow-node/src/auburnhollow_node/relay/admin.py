"""What the balancer, a metrics collector and operators ask of a relay node."""

from urllib.parse import parse_qs

import orjson

from auburnhollow.exceptions import QueryError
from auburnhollow.exposition import exposition

METRICS_PATH = "/metrics"
STATUS_PATH = "/status"
EXPLAIN_PATH = "/explain"


def build_admin(node, ready_path):
    """Return the ASGI application for these questions.

    :param ready_path: what the balancer asks.
    """

    async def admin(scope, receive, send):
        status, kind, body = _answer(node, scope, ready_path)
        headers = [(b"content-length", str(len(body)).encode()), (b"content-type", kind)]
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})

    return admin


def _answer(node, scope, ready_path):
    """Return status, content type and body."""
    path = scope["path"]
    if path == ready_path:
        return (200 if node.is_ready else 503), b"text/plain", b""
    if path == METRICS_PATH:
        return 200, b"text/plain", exposition(node.metrics, node.gauges())
    if path == STATUS_PATH:
        from .status import status_of

        return 200, b"application/json", orjson.dumps(status_of(node))
    if path == EXPLAIN_PATH:
        return _explain(node, scope["query_string"].decode("latin-1"))
    return 404, b"text/plain", b""


def _explain(node, query):
    from .status import explain

    words = parse_qs(query)
    host = words.get("host", [""])[0]
    target = words.get("path", ["/"])[0]
    try:
        found = explain(node, host, target)
    except QueryError as error:
        document = {"code": error.code, "detail": error.detail}
        return error.status, b"application/problem+json", orjson.dumps(document)
    return 200, b"application/json", orjson.dumps(found)
