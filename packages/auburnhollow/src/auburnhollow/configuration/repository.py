"""Reads and changes the configuration in the platform's store."""

from ..backing.store import ABSENT, resolve_swap
from ..clock import Clock
from ..exceptions import ConfigurationError, ConflictError
from .check import check_document
from .records import CURRENT_KEY, HISTORY_PREFIX, StoredConfiguration, history_key, new_change_id


class Repository:
    """The configuration in the store, with its history.

    :param store: :class:`~auburnhollow.backing.Store`.

    >>> repository = Repository(store)
    >>> stored = await repository.change(document, base=41, author="ioana", note="add Iasi")
    """

    __slots__ = ("_clock", "_store")

    def __init__(self, store, clock=None):
        self._store = store
        self._clock = clock or Clock()

    async def current(self):
        """Return the :class:`StoredConfiguration`, or ``None`` before the first one."""
        entry = await self._store.get(CURRENT_KEY)
        return None if entry.value is None else StoredConfiguration.from_bytes(entry.value)

    async def revision(self, number):
        """Return the :class:`StoredConfiguration` of one revision, or ``None``."""
        entry = await self._store.get(history_key(number))
        return None if entry.value is None else StoredConfiguration.from_bytes(entry.value)

    async def history(self, limit=20):
        """Return the newest revisions, newest first."""
        entries = await self._store.scan(HISTORY_PREFIX, limit)
        return [StoredConfiguration.from_bytes(entry.value) for entry in entries]

    async def change(self, document, base, author, note, change_id=None):
        """Check a document and write it as the revision after ``base``.

        :param base: the revision that the author's change is based on; 0 for none.
        :returns: the :class:`StoredConfiguration`.
        :raises ConfigurationError: when the document has faults; nothing is written.
        :raises ConflictError: when another change came first.
        :raises StoreUnavailable: when nothing was written.
        :raises StoreOutcomeUnknown: when the write may have taken effect; a retry with the same
            ``change_id`` resolves it.
        """
        findings = check_document(document)
        if findings:
            raise ConfigurationError(findings)
        entry = await self._store.get(CURRENT_KEY)
        current = None if entry.value is None else StoredConfiguration.from_bytes(entry.value)
        existing = await self._existing_change(base + 1, change_id)
        if existing is not None:
            return existing
        number = 0 if current is None else current.number
        if number != base:
            raise ConflictError(f"the store has revision {number}, not {base}", current)
        new = StoredConfiguration(
            number=number + 1,
            change_id=change_id or new_change_id(),
            author=author,
            note=note,
            at_ms=self._clock.wall_ms(),
            document=document,
        )
        return await self._write(new, entry.revision)

    async def _write(self, new, store_revision):
        data = new.to_bytes()

        def is_ours(value):
            return StoredConfiguration.from_bytes(value).change_id == new.change_id

        written, other = await resolve_swap(
            self._store,
            CURRENT_KEY,
            store_revision or ABSENT,
            data,
            is_ours,
            also=[(history_key(new.number), data)],
        )
        if written is not None:
            return new
        current = StoredConfiguration.from_bytes(other.value)
        if await self._existing_change(new.number, new.change_id) is not None:
            return new
        raise ConflictError(f"revision {current.number} came first", current)

    async def _existing_change(self, number, change_id):
        """Return revision ``number`` if it was written by the change, or ``None``.

        Newer revisions may exist.
        """
        if change_id is None:
            return None
        stored = await self.revision(number)
        if stored is None or stored.change_id != change_id:
            return None
        return stored
