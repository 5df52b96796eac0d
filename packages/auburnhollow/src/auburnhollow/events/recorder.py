"""Records events in a bounded list."""

from collections import deque

from ..records import Record

CAPACITY = 4_000


class Event(Record):
    """An event in ``process`` at wall time ``at_ms``.

    ``details`` is a dictionary of strings and numbers, such as ``request_id`` and ``revision``.
    """

    __slots__ = ("at_ms", "process", "sequence", "kind", "details")


class Recorder:
    """Keeps the newest events of this process.

    :param process: id of the process.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param capacity: how many events are kept.

    >>> recorder.record("server-ejected", server="bd-3")
    """

    __slots__ = ("_clock", "_counts", "_events", "_process", "_sequence")

    def __init__(self, process, clock, capacity=CAPACITY):
        self._process = process
        self._clock = clock
        self._events = deque(maxlen=capacity)
        self._sequence = 0
        self._counts = {}

    @property
    def counts(self):
        """Number of events of each kind since the start."""
        return dict(self._counts)

    def record(self, kind, **details):
        """Add an event of ``kind``."""
        self._sequence += 1
        self._counts[kind] = self._counts.get(kind, 0) + 1
        self._events.append(
            Event(
                at_ms=self._clock.wall_ms(),
                process=self._process,
                sequence=self._sequence,
                kind=kind,
                details=details,
            )
        )

    def since(self, at_ms=0):
        """Return the stored events from wall time ``at_ms`` on, oldest first."""
        return [event for event in self._events if event.at_ms >= at_ms]
