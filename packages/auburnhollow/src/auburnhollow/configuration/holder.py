"""The configuration in force on a node."""

import logging

from ..exceptions import StoreError
from .model import Configuration
from .records import CURRENT_KEY, StoredConfiguration

log = logging.getLogger("configuration")

FROM_STORE = "store"
FROM_PEER = "peer"


class ConfigurationHolder:
    """Holds the newest valid configuration; its revision never decreases.

    :param events: :class:`~auburnhollow.events.Recorder`.
    :param on_change: functions called with the new :class:`StoredConfiguration` after each change.

    >>> configuration_holder.offer(stored, FROM_PEER)
    True
    """

    __slots__ = ("_configuration", "_data", "_events", "_on_change", "_source", "_stored")

    def __init__(self, events, on_change=()):
        self._events = events
        self._on_change = list(on_change)
        self._stored = None
        self._data = None
        self._configuration = None
        self._source = None

    @property
    def configuration(self):
        """The :class:`Configuration` in force, or ``None``."""
        return self._configuration

    @property
    def number(self):
        """The revision in force; 0 for none."""
        return 0 if self._stored is None else self._stored.number

    @property
    def stored(self):
        """The :class:`StoredConfiguration` in force, or ``None``."""
        return self._stored

    @property
    def data(self):
        """The bytes of the stored configuration in force, or ``None``; sent to peers."""
        return self._data

    @property
    def source(self):
        """Where the revision in force came from: ``store`` or ``peer``."""
        return self._source

    def on_change(self, function):
        """Call ``function`` with the :class:`StoredConfiguration` after each change."""
        self._on_change.append(function)

    def offer(self, data, source):
        """Put a configuration into force if it is newer than the current one.

        :param data: bytes of :meth:`StoredConfiguration.to_bytes`.
        :param source: ``store`` or ``peer``.
        :returns: whether it is in force now.
        """
        try:
            stored = StoredConfiguration.from_bytes(data)
        except ValueError as error:
            log.warning("configuration: rejected data from %s: %s", source, error)
            return False
        if stored.number <= self.number:
            return False
        try:
            # The full check ran before the write; it is too slow for a node that serves requests.
            configuration = Configuration.from_document(stored.document)
        except (AttributeError, KeyError, TypeError) as error:
            log.error("configuration: revision %d is not valid: %r", stored.number, error)
            self._events.record("configuration-refused", revision=stored.number)
            return False
        self._configuration = configuration
        self._stored = stored
        self._data = data
        self._source = source
        log.info("configuration: revision %d is in force, from %s", stored.number, source)
        self._events.record("configuration-in-force", revision=stored.number, source=source)
        for function in self._on_change:
            function(stored)
        return True

    async def read_store(self, store):
        """Read the configuration from the store and offer it.

        :returns: the store's revision of the key, or ``None`` when the store can't be read.
        """
        try:
            entry = await store.get(CURRENT_KEY)
        except StoreError as error:
            log.warning("configuration: the store can't be read: %s", error)
            return None
        if entry.value is not None:
            self.offer(entry.value, FROM_STORE)
        return entry.revision
