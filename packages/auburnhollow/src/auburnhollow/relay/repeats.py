"""Decides whether a request may be sent to a service again, as a retry or a hedge."""

from ..exceptions import Ran

# Servers that refused the request do not count as attempts; this bounds the sends to them.
MAX_REFUSED_SENDS = 2
# A call with less time left is not sent.
MIN_CALL_MS = 5.0


class Repeats:
    """Limits the repeats of one request; a repeat is a retry or a hedge.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param request: :class:`~auburnhollow.relay.Request`.
    :param route: its :class:`~auburnhollow.routes.Route`.
    :param fingerprint: the request's fingerprint for the quarantine.
    """

    __slots__ = ("_attempts", "_dispatcher", "_fingerprint", "_request", "_route")

    def __init__(self, dispatcher, request, route, fingerprint):
        self._dispatcher = dispatcher
        self._request = request
        self._route = route
        self._fingerprint = fingerprint
        self._attempts = route.attempts

    @property
    def is_suspect(self):
        """Whether the request is suspected of crashing servers."""
        return self._dispatcher.quarantine.is_suspect(self._fingerprint)

    def set_attempts(self, attempts):
        """Let each service run the request on at most ``attempts`` servers."""
        self._attempts = attempts

    def is_used_up(self, subrequest):
        """Return whether the service has run the request on as many servers as the route allows."""
        return not self._route.repeatable or subrequest.runs >= self._route.attempts

    def may_repeat(self, subrequest):
        """Return whether the subrequest may be sent again, regardless of the budget."""
        if self.is_suspect:
            # A request that crashes servers must not be sent to another one.
            return False
        if not self._route.repeatable and getattr(subrequest.error, "ran", Ran.YES) is not Ran.NO:
            return False
        if (
            subrequest.runs >= self._attempts
            or subrequest.sends >= self._attempts + MAX_REFUSED_SENDS
        ):
            return False
        return self._request.limit_ms - self._dispatcher.clock.now_ms() > MIN_CALL_MS

    def try_spend(self, subrequest):
        """Take one repeat from the service's budget; return whether it is allowed.

        Sends that reached no server don't count: the next one is the first that arrives.
        """
        servers = self._dispatcher.gate.servers_for(self._request, subrequest.service)
        if all(server.id in subrequest.tried for server in servers):
            return False
        if subrequest.has_reached_no_server:
            return True
        if self._dispatcher.budget(subrequest.service).try_spend():
            return True
        self._dispatcher.metrics.incr("relay.budget_refusals")
        return False
