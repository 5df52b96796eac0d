"""The configuration that a node is running on."""

import logging

from ..exceptions import StoreError
from .model import Configuration
from .records import CURRENT_KEY, StoredConfiguration

log = logging.getLogger("configuration")

FROM_STORE = "store"
FROM_PEER = "peer"


class ConfigurationHolder:
    """Holds the newest accepted configuration; it only moves to higher revisions.

    :param events: :class:`~auburnhollow.events.Recorder`.
    :param on_change: functions called with the new :class:`StoredConfiguration` after each step.

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
        """The number of the revision in force; 0 for none."""
        return 0 if self._stored is None else self._stored.number

    @property
    def stored(self):
        """The :class:`StoredConfiguration` in force, or ``None``."""
        return self._stored

    @property
    def data(self):
        """The stored bytes in force, for peers that ask, or ``None``."""
        return self._data

    @property
    def source(self):
        """Where the revision in force came from: ``store`` or ``peer``."""
        return self._source

    def on_change(self, function):
        """Call ``function`` with the :class:`StoredConfiguration` after each change."""
        self._on_change.append(function)

    def offer(self, data, source):
        """Take a configuration if it is newer than the one in force.

        :param data: bytes of :meth:`StoredConfiguration.to_bytes`.
        :returns: whether it came into force.
        """
        try:
            stored = StoredConfiguration.from_bytes(data)
        except ValueError as error:
            log.warning("configuration: refused bytes from %s: %s", source, error)
            return False
        if stored.number <= self.number:
            return False
        try:
            # The full check was made before the write; it is too slow for a node that serves.
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
        """Read the store once; a store that is down changes nothing.

        :returns: the store's revision of the key, or ``None`` when it can't be read.
        """
        try:
            entry = await store.get(CURRENT_KEY)
        except StoreError as error:
            log.warning("configuration: the store can't be read: %s", error)
            return None
        if entry.value is not None:
            self.offer(entry.value, FROM_STORE)
        return entry.revision
