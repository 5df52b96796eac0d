"""Interface to the platform's store and the typed updates read from it."""

from ..exceptions import StoreError
from ..records import Record


class HistoryLost(StoreError):
    """The store no longer keeps the changes since the requested revision."""


class ConfigurationUpdate(Record):
    """The operators' configuration as read from the store.

    ``table`` is a :class:`~auburnhollow.routes.RouteTable`. ``position`` is that of the entry;
    ``None`` if it was delivered.
    """

    __slots__ = ("table", "position")
    DEFAULTS = {"position": None}


class ServerUpdate(Record):
    """The state that a backend server published in its entry.

    ``server`` is a :class:`~auburnhollow.servers.Server`.
    """

    __slots__ = ("server",)


class ServerRemoval(Record):
    """The entry of the backend server ``id`` was removed from the store."""

    __slots__ = ("id",)


class EvidenceUpdate(Record):
    """Saved evidence that a request crashes servers.

    ``entries`` are those of :meth:`~auburnhollow.quarantine.EvidenceStore.save`.
    """

    __slots__ = ("fingerprint", "entries")


class EvacuationUpdate(Record):
    """The operators have evacuated a data centre; ``revision`` is the position of the entry."""

    __slots__ = ("data_centre", "revision")


class EvacuationEnd(Record):
    """The operators have taken back the evacuation of a data centre, at ``revision``."""

    __slots__ = ("data_centre", "revision")


class UnreadableEntry(Record):
    """An entry whose value could not be decoded; ``reason`` is the decoding error."""

    __slots__ = ("key", "reason")


class StoreView(Record):
    """A list of updates and the store revision up to which they are complete.

    ``revision`` is a position, see :mod:`~auburnhollow.follow.positions`.
    ``has_evacuations`` is not set if the view comes from a node that knows of no evacuations.
    ``age_ms`` is how long ago the store confirmed the view, in milliseconds; ``None`` if the node
    that it comes from can't tell. ``is_complete`` is not set if there are newer changes that the
    answer should have held.
    """

    __slots__ = ("updates", "revision", "has_evacuations", "age_ms", "is_complete")
    DEFAULTS = {"has_evacuations": True, "age_ms": 0.0, "is_complete": True}


class Feed:
    """Read access to the platform's store: its whole content, and the changes after a revision.

    Each method may raise :class:`~auburnhollow.exceptions.StoreUnavailable`.
    """

    __slots__ = ()

    async def read(self):
        """Return a :class:`StoreView` of the store's current content."""
        raise NotImplementedError

    async def undelivered_configuration(self):
        """Return the store's configuration if it is not the last one delivered here.

        :returns: a :class:`ConfigurationUpdate` or ``None``.
        """
        raise NotImplementedError

    async def changes(self, revision, wait_ms):
        """Return a :class:`StoreView` of the changes after ``revision``.

        :param wait_ms: longest time to wait for the first change, in milliseconds.
        :raises HistoryLost: when the changes since ``revision`` are no longer kept, or when the
            store has come back from an older copy.
        """
        raise NotImplementedError
