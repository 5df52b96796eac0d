"""The order in which waiting requests start."""

from .decision import Verdict

# A node that holds more has been told of a surge that no queue can absorb.
MAX_WAITING = 256
# A caller who is refused later has no time for a second attempt.
MAX_WAIT_SHARE = 0.25


class Waiting:
    """A request in the queue: its :class:`~auburnhollow.admission.Ask` and its place in the order.

    ``begin`` and ``finish`` are times on the scale of served work.
    """

    __slots__ = ("ask", "begin", "finish")

    def __init__(self, ask, begin, finish):
        self.ask = ask
        self.begin = begin
        self.finish = finish

    @property
    def place(self):
        """Sorts waiting requests; the least one starts first."""
        return (self.ask.urgency, self.finish)


class Queue:
    """Holds requests until they start, the most urgent first, and fair between client accounts.

    It answers accounts that ask for more than their part. Among requests of one urgency, each
    account gets the same work (start-time fair queueing: P. Goyal, H. Vin, H. Cheng, 1996): a
    request finishes by the work of its account before it, so that an account that asks little
    never waits behind all requests of one that asks much. Repeats count as requests of their
    account. A request that came back when it was told to goes before new ones of its account.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param admission: :class:`~auburnhollow.admission.Admission`.
    """

    __slots__ = ("_admission", "_clock", "_finishes", "_served", "_waiting")

    def __init__(self, clock, admission):
        self._clock = clock
        self._admission = admission
        self._waiting = []
        self._finishes = {}
        self._served = 0.0

    def __len__(self):
        return len(self._waiting)

    def ahead(self, ask):
        """Return how many waiting requests would start before this one."""
        place = self._placed(ask).place
        return sum(1 for waiting in self._waiting if waiting.place < place)

    def must_wait(self, ask):
        """Return whether requests that are as urgent wait for the same services."""
        for waiting in self._waiting:
            if waiting.ask.urgency <= ask.urgency and _meet(waiting.ask, ask):
                return True
        return False

    def charge(self, ask):
        """Count the work of a request that starts without waiting."""
        placed = self._placed(ask)
        self._finishes[ask.account] = placed.finish

    def add(self, ask):
        """Add a request; return the :class:`Ask` that has to leave as the queue is full."""
        placed = self._placed(ask)
        if not ask.is_returning:
            self._finishes[ask.account] = placed.finish
        self._waiting.append(placed)
        self._waiting.sort(key=lambda waiting: waiting.place)
        return self._waiting.pop().ask if len(self._waiting) > MAX_WAITING else None

    def discard(self, ask):
        """Remove a request whose caller has left."""
        self._waiting = [waiting for waiting in self._waiting if waiting.ask is not ask]

    def release(self):
        """Remove the requests that start or are refused now; return pairs of ask and verdict."""
        released = []
        kept = []
        for waiting in self._waiting:
            verdict = self._verdict(waiting.ask, kept)
            if verdict is Verdict.WAIT:
                kept.append(waiting)
                continue
            if verdict is Verdict.START:
                self._admission.started(waiting.ask)
                self._served = max(self._served, waiting.begin)
            released.append((waiting.ask, verdict))
        self._waiting = kept
        if not kept:
            self._finishes = {
                account: finish
                for account, finish in self._finishes.items()
                if finish > self._served
            }
        return released

    def _verdict(self, ask, kept):
        verdict = self._admission.decide(ask)
        if verdict is Verdict.START and any(_meet(waiting.ask, ask) for waiting in kept):
            verdict = Verdict.WAIT
        if verdict is Verdict.WAIT:
            waited_ms = self._clock.now_ms() - ask.received_ms
            if waited_ms > ask.objective_ms * MAX_WAIT_SHARE:
                return Verdict.REFUSE
        return verdict

    def _placed(self, ask):
        begin = max(self._served, self._finishes.get(ask.account, 0.0))
        return Waiting(ask, begin, begin if ask.is_returning else begin + ask.cost)


def _meet(ask, other):
    """Return whether two requests go to a common service."""
    return not set(ask.services).isdisjoint(other.services)
