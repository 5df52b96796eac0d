"""Reading and changing the configuration in the platform's store."""

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
        """Check and write a new revision on top of revision ``base``.

        :param base: number of the revision that the author saw; 0 for none.
        :returns: the :class:`StoredConfiguration`.
        :raises ConfigurationError: when the document has faults; nothing is written.
        :raises ConflictError: when another change came first.
        :raises StoreUnavailable: when nothing was written.
        :raises StoreOutcomeUnknown: when the write may have taken effect; asking again with the
            same ``change_id`` resolves it.
        """
        findings = check_document(document)
        if findings:
            raise ConfigurationError(findings)
        entry = await self._store.get(CURRENT_KEY)
        seen = None if entry.value is None else StoredConfiguration.from_bytes(entry.value)
        accepted = await self._accepted(base + 1, change_id)
        if accepted is not None:
            return accepted
        number = 0 if seen is None else seen.number
        if number != base:
            raise ConflictError(f"revision {number} is in the store, not {base}", seen)
        wanted = StoredConfiguration(
            number=number + 1,
            change_id=change_id or new_change_id(),
            author=author,
            note=note,
            at_ms=self._clock.wall_ms(),
            document=document,
        )
        return await self._write(wanted, entry.revision)

    async def _write(self, wanted, store_revision):
        data = wanted.to_bytes()

        def is_ours(value):
            return StoredConfiguration.from_bytes(value).change_id == wanted.change_id

        written, other = await resolve_swap(
            self._store,
            CURRENT_KEY,
            store_revision or ABSENT,
            data,
            is_ours,
            also=[(history_key(wanted.number), data)],
        )
        if written is not None:
            return wanted
        current = StoredConfiguration.from_bytes(other.value)
        if await self._accepted(wanted.number, wanted.change_id) is not None:
            return wanted
        raise ConflictError(f"revision {current.number} came first", current)

    async def _accepted(self, number, change_id):
        """Return revision ``number`` if the change made it, even when others came after."""
        if change_id is None:
            return None
        kept = await self.revision(number)
        if kept is None or kept.change_id != change_id:
            return None
        return kept
