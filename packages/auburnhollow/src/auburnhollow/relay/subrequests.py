"""Subrequests: a request is split into one for each service that it is sent to."""


class Call:
    """One attempt of a subrequest: one send to one backend server.

    ``late_ms`` is the time at which the call counts as late, ``outcome`` its result so far as
    text, ``keep_alive`` whether its connection is kept open afterwards, ``is_written`` whether the
    request may have reached the server.
    """

    __slots__ = (
        "began_ms",
        "ended_ms",
        "keep_alive",
        "is_written",
        "late_ms",
        "subrequest",
        "outcome",
        "server",
        "slowdown",
        "task",
    )

    def __init__(self, subrequest, server, slowdown, began_ms, late_ms):
        self.subrequest = subrequest
        self.server = server
        self.slowdown = slowdown
        self.began_ms = began_ms
        self.late_ms = late_ms
        self.ended_ms = None
        self.keep_alive = False
        self.is_written = False
        self.outcome = "no answer yet"
        self.task = None

    def describe(self, received_ms):
        """Return the call as text; times are milliseconds since the request was received."""
        began = round(self.began_ms - received_ms)
        text = f"{self.subrequest.service} {self.server.id} at {began}: {self.outcome}"
        if self.ended_ms is not None:
            text += f" at {round(self.ended_ms - received_ms)}"
        return text

    def mark_written(self):
        """Mark the request as about to be written."""
        self.is_written = True

    def end(self, outcome, now_ms):
        """Record how the call ended."""
        self.outcome = outcome
        self.ended_ms = now_ms


class Subrequest:
    """The part of a request that is sent to one service, with its calls and its result.

    ``all_calls`` lists all calls, ``calls`` those in progress. ``answer`` is the accepted
    :class:`~auburnhollow.relay.Answer`, ``error`` the last failure, ``runs`` the number of servers
    that may have run the request, ``lost_runs`` how many of these it has hardly reached, since this
    node was cut off, ``sends`` how often it was sent, ``tried`` the ids of the
    servers that were tried, ``hedge_ms`` the time to send a hedge, ``subquery`` the
    :class:`~auburnhollow.relay.subqueries.Subquery` in progress that covers the service.
    """

    __slots__ = (
        "answer",
        "calls",
        "error",
        "hedge_ms",
        "all_calls",
        "lost_runs",
        "runs",
        "sends",
        "service",
        "subquery",
        "tried",
    )

    def __init__(self, service):
        self.service = service
        self.answer = None
        self.calls = []
        self.all_calls = []
        self.error = None
        self.hedge_ms = None
        self.lost_runs = 0
        self.runs = 0
        self.sends = 0
        self.subquery = None
        self.tried = []

    @property
    def may_have_run(self):
        """Whether a server may have run the request."""
        return self.runs > sum(not call.is_written for call in self.calls)

    @property
    def has_reached_no_server(self):
        """Whether each send has ended before anything was written to a server."""
        if self.calls or self.subquery or self.sends > len(self.all_calls):
            return False
        return not any(call.is_written for call in self.all_calls)

    def was_sent_to(self, server):
        """Return whether a call to the server was made, whatever became of it."""
        return any(call.server.id == server.id for call in self.all_calls)

    @property
    def is_over(self):
        """Whether it is answered, or has neither calls nor a subquery in progress."""
        return self.answer is not None or not (self.calls or self.subquery)


def choose_trial(subrequests, lost_shards):
    """Return the subrequest to try first, of a shard that lost a server if there is one."""
    for subrequest in subrequests:
        if subrequest.service in lost_shards:
            return subrequest
    return subrequests[0]
