"""The HTTP application of one node."""

import falcon.asgi

from . import callers, operators, problems
from .disconnects import CancelOnDisconnect


def build_app(node):
    """Return the ASGI application of a :class:`~auburnhollow_node.node.Node`."""
    app = falcon.asgi.App()
    app.req_options.strip_url_path_trailing_slash = True
    problems.add_error_handlers(app)
    callers.add_routes(app, node)
    operators.add_routes(app, node)
    return CancelOnDisconnect(app)
