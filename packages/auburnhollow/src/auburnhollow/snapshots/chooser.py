"""Chooses the index version of a request before its fan-out."""

from ..exceptions import NotReady
from .messages import Snapshot

NEWER_VERSION_RETRY_MS = 500
LACKING_TTL_MS = 5_000


class SnapshotChooser:
    """Chooses the newest version that no shard is known to lack.

    A version that no server of some shard held is skipped for ``LACKING_TTL_MS`` if an older one
    is still configured and not older than what the caller has seen.

    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_clock", "_lacking_until_ms")

    def __init__(self, clock):
        self._clock = clock
        self._lacking_until_ms = {}

    def choose(self, service, at_least=0):
        """Return the :class:`Snapshot` for a request.

        :param service: :class:`~auburnhollow.configuration.Service`.
        :param at_least: the newest version that the caller has seen.
        :raises NotReady: when this node's configuration has no version as new as ``at_least``.
        """
        known = sorted((entry.version for entry in service.versions), reverse=True)
        usable = [number for number in known if number >= at_least]
        if not usable:
            raise NotReady(
                f"the newest version here is {known[0]}, the caller has seen {at_least}",
                retry_after_ms=NEWER_VERSION_RETRY_MS,
            )
        for number in usable:
            if not self._is_lacking(service.name, number):
                return _snapshot(service, number)
        return _snapshot(service, usable[0])

    def for_version(self, service, number):
        """Return the :class:`Snapshot` of one version.

        :raises NotReady: when this node does not know the version.
        """
        if service.version(number) is None:
            raise NotReady(f"version {number} of {service.name} is not known here")
        return _snapshot(service, number)

    def mark_lacking(self, service_name, number):
        """Record that no server of some shard holds version ``number``."""
        self._lacking_until_ms[service_name, number] = self._clock.now_ms() + LACKING_TTL_MS

    def _is_lacking(self, service_name, number):
        until_ms = self._lacking_until_ms.get((service_name, number))
        if until_ms is None:
            return False
        if self._clock.now_ms() < until_ms:
            return True
        del self._lacking_until_ms[service_name, number]
        return False


def _snapshot(service, number):
    return Snapshot(
        service=service.name, version=number, shards=list(service.version(number).shards)
    )
