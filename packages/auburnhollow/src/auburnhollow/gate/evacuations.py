"""The data centres that operators have evacuated."""

import logging

from ..decisions import log_decision
from ..records import Record

log = logging.getLogger("gate")


class Evacuation(Record):
    """What is known of the evacuation of a data centre.

    ``revision`` is the store's revision of the entry or of its removal; facts are ordered by it,
    not by their arrival. ``learned_ms`` is the time of the node's clock at which it was learned.
    """

    __slots__ = ("data_centre", "revision", "is_active", "source", "learned_ms")


class Evacuations:
    """The evacuated data centres: their servers get nothing until the operator takes it back.

    Answers evacuations and their ends that arrive late, twice or out of order, from the store and
    from other nodes. Ends are kept too: a node that is behind can't bring the evacuation back.

    :param clock: :class:`~auburnhollow.clock.Clock`.

    ``version`` changes with every fact that changes which data centres are evacuated. ``on_change``
    is a function that is called with each newer :class:`Evacuation`, or ``None``.

    >>> evacuations.apply("cluj", revision=17, is_active=True, source="store")
    >>> "cluj" in evacuations
    True
    """

    __slots__ = ("_active", "_clock", "_known", "on_change", "version")

    def __init__(self, clock):
        self._clock = clock
        self._known = {}
        self._active = frozenset()
        self.version = 0
        self.on_change = None

    def __contains__(self, data_centre):
        return data_centre in self._active

    def __len__(self):
        return len(self._active)

    @property
    def active(self):
        """The names of the evacuated data centres, as a frozen set."""
        return self._active

    def known(self):
        """Return what is known, as lists of data centre, revision and whether it is evacuated."""
        return [[one.data_centre, one.revision, one.is_active] for one in self._known.values()]

    def find(self, data_centre):
        """Return the :class:`Evacuation` of a data centre, or ``None``."""
        return self._known.get(data_centre)

    def age_ms(self, data_centre):
        """Return how long ago this node learned the newest fact of a data centre."""
        return self._clock.now_ms() - self._known[data_centre].learned_ms

    def apply(self, data_centre, revision, is_active, source):
        """Apply a fact unless a newer one is known; return whether it was newer."""
        known = self._known.get(data_centre)
        if known is not None and revision <= known.revision:
            return False
        fact = Evacuation(
            data_centre=data_centre,
            revision=revision,
            is_active=is_active,
            source=source,
            learned_ms=self._clock.now_ms(),
        )
        self._known[data_centre] = fact
        was_active = data_centre in self._active
        if was_active != is_active:
            self._active = self._active ^ {data_centre}
            self.version += 1
            log_decision(
                log,
                "data centre evacuated" if is_active else "evacuation ended",
                data_centre=data_centre,
                revision=revision,
                source=source,
                before=None if known is None else known.revision,
                lasted_ms=None
                if is_active or known is None
                else round(fact.learned_ms - known.learned_ms),
            )
        if self.on_change is not None:
            self.on_change(fact)
        return True

    def replace(self, listed, revision, source):
        """Apply the complete content of the store at ``revision``.

        :param listed: dictionary of data centres to the revisions of their entries; an evacuation
            that is not listed has ended, unless it is newer.
        """
        for data_centre, entry_revision in listed.items():
            self.apply(data_centre, entry_revision, True, source)
        for data_centre in self._active - listed.keys():
            self.apply(data_centre, revision, False, source)
