"""The platform's list of live and leaving instances, which may be out of date."""

import aiohttp
import orjson

from ..clock import Clock
from ..exceptions import StoreUnavailable
from ..records import Record

LIST_TIMEOUT_MS = 2_000
LIVE = "live"
LEAVING = "leaving"


class Instance(Record):
    """One entry of the list.

    ``incarnation`` grows with each replacement under the same id; ``address`` is ``host:port``.
    """

    __slots__ = ("id", "role", "address", "data_centre", "state", "incarnation")


class InstanceList:
    """Reads the instance list over HTTP.

    :param session: an :class:`aiohttp.ClientSession`.
    :param url: base URL of the instance list.

    >>> instances = await InstanceList(session, url).read()
    """

    __slots__ = ("_clock", "_session", "_url")

    def __init__(self, session, url, clock=None):
        self._session = session
        self._url = url.rstrip("/")
        self._clock = clock or Clock()

    async def read(self):
        """Return a list of :class:`Instance`.

        :raises StoreUnavailable: when the list can't be read.
        """
        try:
            async with (
                self._clock.timeout(LIST_TIMEOUT_MS),
                self._session.get(self._url + "/v1/instances") as response,
            ):
                body = orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise StoreUnavailable(f"instance list: {error!r}") from error
        return [Instance(**entry) for entry in body["instances"]]
