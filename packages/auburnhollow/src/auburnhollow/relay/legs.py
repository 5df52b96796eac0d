"""The part of a request that goes to one service."""


class Call:
    """One send to one backend server."""

    __slots__ = ("began_ms", "leg", "number", "server", "speed", "task")

    def __init__(self, leg, server, number, speed, began_ms):
        self.leg = leg
        self.server = server
        self.number = number
        self.speed = speed
        self.began_ms = began_ms
        self.task = None


class Leg:
    """What one service is asked, and what came of it.

    ``answer`` is the :class:`~auburnhollow.relay.Answer` that counts, ``error`` the last failure,
    ``run`` how many servers may have run the request, ``sent`` how often it was sent, ``tried``
    the ids of the servers, ``hedge_ms`` when another server is to be asked.
    """

    __slots__ = ("answer", "calls", "error", "hedge_ms", "run", "sent", "service", "tried")

    def __init__(self, service):
        self.service = service
        self.answer = None
        self.calls = []
        self.error = None
        self.hedge_ms = None
        self.run = 0
        self.sent = 0
        self.tried = []

    @property
    def is_over(self):
        """Whether nothing more will come of it."""
        return self.answer is not None or not self.calls
