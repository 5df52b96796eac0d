"""HTTP client for the nodes' operator endpoints."""

import asyncio
from urllib.parse import urlencode

import aiohttp
import orjson

from auburnhollow.exceptions import AuburnhollowError
from auburnhollow.records import Record

REQUEST_TIMEOUT_S = 5.0


class NodeUnreachable(AuburnhollowError):
    """A node did not answer, or answered with an error."""


class Confirmation(Record):
    """The ids of the live nodes that use a revision or a newer one, and of those that do not."""

    __slots__ = ("revision", "confirmed", "waiting")

    @property
    def is_complete(self):
        """Whether every live node has confirmed."""
        return not self.waiting


class FleetClient:
    """Queries one or more nodes for the state of the fleet.

    :param session: an :class:`aiohttp.ClientSession`.
    :param urls: base URLs of nodes.
    """

    __slots__ = ("_session", "_urls")

    def __init__(self, session, urls):
        self._session = session
        self._urls = [url.rstrip("/") for url in urls]

    async def first_status(self):
        """Return the status of the first node that answers.

        :raises NodeUnreachable: if none answers.
        """
        failures = []
        for url in self._urls:
            try:
                return await self.get(url, "/operator/status")
            except NodeUnreachable as error:
                failures.append(str(error))
        raise NodeUnreachable("; ".join(failures) or "no nodes were given")

    async def statuses(self):
        """Return the status of each node that answers, by URL."""
        return await self._get_from_all("/operator/status")

    async def events(self, since_ms):
        """Return the events since a wall time, oldest first, and the URLs of unreachable nodes."""
        answers = await self._get_from_all(f"/operator/events?since_ms={since_ms}")
        events = []
        for answer in answers.values():
            events += answer["events"]
        events.sort(key=lambda event: (event["at_ms"], event["process"], event["sequence"]))
        unreachable = [url for url in self._urls if url not in answers]
        return events, unreachable

    async def route(self, query):
        """Return the first node's explanation of where a request would be sent."""
        return await self._post(self._urls[0], "/operator/route", query)

    async def relay_statuses(self):
        """Return the status of each relay node that answers, by URL."""
        return await self._get_from_all("/status")

    async def relay_route(self, host, path):
        """Return the first relay node's explanation of where a request would be sent."""
        return await self.get(self._urls[0], f"/explain?{urlencode({'host': host, 'path': path})}")

    async def confirmation(self, revision):
        """Return the :class:`Confirmation` of a revision, as seen by the first node to answer."""
        status = await self.first_status()
        confirmed = []
        waiting = []
        for member in status["members"]:
            if member["state"] not in ("alive", "suspect"):
                continue
            node_ids = confirmed if member["revision"] >= revision else waiting
            node_ids.append(member["id"])
        return Confirmation(revision=revision, confirmed=confirmed, waiting=waiting)

    async def get(self, url, path):
        """Return the JSON answer of one node.

        :raises NodeUnreachable: if it does not answer or answers with an error.
        """
        return await self._read_json(self._session.get(url + path, timeout=_timeout()), url)

    async def _post(self, url, path, body):
        request = self._session.post(url + path, data=orjson.dumps(body), timeout=_timeout())
        return await self._read_json(request, url)

    async def _read_json(self, request, url):
        try:
            async with request as response:
                answer = orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise NodeUnreachable(f"{url}: {error!r}") from error
        if response.status >= 300:
            raise NodeUnreachable(f"{url}: {answer.get('detail', response.status)}")
        return answer

    async def _get_from_all(self, path):
        requests = [self.get(url, path) for url in self._urls]
        answers = await asyncio.gather(*requests, return_exceptions=True)
        answers_by_url = {}
        for url, answer in zip(self._urls, answers, strict=True):
            if isinstance(answer, NodeUnreachable):
                continue
            if isinstance(answer, BaseException):
                raise answer
            answers_by_url[url] = answer
        return answers_by_url


def _timeout():
    return aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
