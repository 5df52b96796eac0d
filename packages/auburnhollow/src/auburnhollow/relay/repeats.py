"""Whether a request may be sent once more to a service."""

from ..exceptions import Ran

# Servers that did not run the request do not count as attempts, but the sends are bounded.
REFUSED_SENDS = 2
# A call that has less time than this is not worth sending.
LEAST_CALL_MS = 5.0


class Repeats:
    """Bounds the further sends of one request.

    :param dispatcher: :class:`~auburnhollow.relay.Dispatcher`.
    :param request: :class:`~auburnhollow.relay.Request`.
    :param route: its :class:`~auburnhollow.routes.Route`.
    :param fingerprint: of the request, for quarantine.
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
        """Whether servers have died under the request."""
        return self._dispatcher.quarantine.is_suspect(self._fingerprint)

    def bound(self, attempts):
        """Let each service run the request on ``attempts`` servers."""
        self._attempts = attempts

    def is_used_up(self, leg):
        """Return whether the leg has run on as many servers as the route ever allows."""
        return not self._route.repeatable or leg.run >= self._route.attempts

    def may_repeat(self, leg):
        """Return whether the leg may be sent once more, its budget left out."""
        if self.is_suspect:
            # What crashes servers must not be given another one.
            return False
        if not self._route.repeatable and getattr(leg.error, "ran", Ran.YES) is not Ran.NO:
            return False
        if leg.run >= self._attempts or leg.sent >= self._attempts + REFUSED_SENDS:
            return False
        return self._request.limit_ms - self._dispatcher.clock.now_ms() > LEAST_CALL_MS

    def try_spend(self, leg):
        """Take one repeat from the budget of the leg's service; returns whether there was one."""
        servers = self._dispatcher.registry.usable(leg.service)
        if all(server.id in leg.tried for server in servers):
            return False
        if self._dispatcher.budget(leg.service).try_spend():
            return True
        self._dispatcher.metrics.incr("relay.budget_refusals")
        return False
