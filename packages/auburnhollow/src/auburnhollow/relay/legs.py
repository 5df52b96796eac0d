"""The part of a request that goes to one service."""


class Call:
    """One send to one backend server.

    ``late_ms`` is the time at which it counts as late, ``outcome`` what came of it so far,
    ``is_regular`` whether this node calls the server all the time, ``is_written`` whether the
    request may have reached it.
    """

    __slots__ = (
        "began_ms",
        "ended_ms",
        "is_regular",
        "is_written",
        "late_ms",
        "leg",
        "outcome",
        "server",
        "slowdown",
        "task",
    )

    def __init__(self, leg, server, slowdown, began_ms, late_ms):
        self.leg = leg
        self.server = server
        self.slowdown = slowdown
        self.began_ms = began_ms
        self.late_ms = late_ms
        self.ended_ms = None
        self.is_regular = False
        self.is_written = False
        self.outcome = "no answer yet"
        self.task = None

    def describe(self, received_ms):
        """Return the call as text; times count from the request's arrival, in milliseconds."""
        began = round(self.began_ms - received_ms)
        text = f"{self.leg.service} {self.server.id} at {began}: {self.outcome}"
        if self.ended_ms is not None:
            text += f" at {round(self.ended_ms - received_ms)}"
        return text

    def mark_written(self):
        """Note that the request is about to be written."""
        self.is_written = True

    def end(self, outcome, now_ms):
        """Note what came of the call."""
        self.outcome = outcome
        self.ended_ms = now_ms


class Leg:
    """What one service is asked, and what came of it.

    ``made`` lists all calls, ``calls`` those in progress. ``answer`` is the
    :class:`~auburnhollow.relay.Answer` that counts, ``error`` the last failure, ``run`` how many
    servers may have run the request, ``sent`` how often it was sent, ``tried`` the ids of the
    servers, ``hedge_ms`` when another server is to be asked, ``subquery`` the
    :class:`~auburnhollow.relay.subqueries.Subquery` that the service is being asked through.
    """

    __slots__ = (
        "answer",
        "calls",
        "error",
        "hedge_ms",
        "made",
        "run",
        "sent",
        "service",
        "subquery",
        "tried",
    )

    def __init__(self, service):
        self.service = service
        self.answer = None
        self.calls = []
        self.made = []
        self.error = None
        self.hedge_ms = None
        self.run = 0
        self.sent = 0
        self.subquery = None
        self.tried = []

    @property
    def may_have_run(self):
        """Whether a server may have run the request."""
        return self.run > sum(not call.is_written for call in self.calls)

    @property
    def is_over(self):
        """Whether nothing more will come of it."""
        return self.answer is not None or not (self.calls or self.subquery)
