"""Asking nodes over HTTP on behalf of an operator."""

import asyncio
from urllib.parse import urlencode

import aiohttp
import orjson

from auburnhollow.exceptions import AuburnhollowError
from auburnhollow.records import Record

ASK_TIMEOUT_S = 5.0


class NodeUnreachable(AuburnhollowError):
    """A node did not answer the operator."""


class Confirmation(Record):
    """Which live nodes run at least a revision, and which do not, by id."""

    __slots__ = ("revision", "confirmed", "waiting")

    @property
    def is_complete(self):
        """Whether every live node has confirmed."""
        return not self.waiting


class FleetView:
    """The fleet as one or more nodes tell of it.

    :param session: an :class:`aiohttp.ClientSession`.
    :param urls: addresses of nodes.
    """

    __slots__ = ("_session", "_urls")

    def __init__(self, session, urls):
        self._session = session
        self._urls = [url.rstrip("/") for url in urls]

    async def first_status(self):
        """Return the status of the first node that answers.

        :raises NodeUnreachable: when none does.
        """
        failures = []
        for url in self._urls:
            try:
                return await self.get(url, "/operator/status")
            except NodeUnreachable as error:
                failures.append(str(error))
        raise NodeUnreachable("; ".join(failures) or "no node is named")

    async def statuses(self):
        """Return the status of each node that answers, by address."""
        return await self._from_all("/operator/status")

    async def events(self, since_ms):
        """Return all events of the nodes that answer, oldest first, and who did not answer."""
        answers = await self._from_all(f"/operator/events?since_ms={since_ms}")
        events = []
        for answer in answers.values():
            events += answer["events"]
        events.sort(key=lambda event: (event["at_ms"], event["process"], event["sequence"]))
        silent = [url for url in self._urls if url not in answers]
        return events, silent

    async def route(self, question):
        """Return a node's explanation of where a request would go."""
        return await self._post(self._urls[0], "/operator/route", question)

    async def relay_statuses(self):
        """Return the status of each relay node that answers, by address."""
        return await self._from_all("/status")

    async def relay_route(self, host, path):
        """Return a relay node's explanation of where a request would go."""
        return await self.get(self._urls[0], f"/explain?{urlencode({'host': host, 'path': path})}")

    async def confirmation(self, revision):
        """Return the :class:`Confirmation` of a revision as the first node sees it."""
        status = await self.first_status()
        confirmed = []
        waiting = []
        for member in status["members"]:
            if member["state"] not in ("alive", "suspect"):
                continue
            group = confirmed if member["revision"] >= revision else waiting
            group.append(member["id"])
        return Confirmation(revision=revision, confirmed=confirmed, waiting=waiting)

    async def get(self, url, path):
        """Return the JSON answer of one node."""
        return await self._ask(self._session.get(url + path, timeout=_timeout()), url)

    async def _post(self, url, path, body):
        request = self._session.post(url + path, data=orjson.dumps(body), timeout=_timeout())
        return await self._ask(request, url)

    async def _ask(self, request, url):
        try:
            async with request as response:
                answer = orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise NodeUnreachable(f"{url}: {error!r}") from error
        if response.status >= 300:
            raise NodeUnreachable(f"{url}: {answer.get('detail', response.status)}")
        return answer

    async def _from_all(self, path):
        asks = [self.get(url, path) for url in self._urls]
        answers = await asyncio.gather(*asks, return_exceptions=True)
        found = {}
        for url, answer in zip(self._urls, answers, strict=True):
            if isinstance(answer, NodeUnreachable):
                continue
            if isinstance(answer, BaseException):
                raise answer
            found[url] = answer
        return found


def _timeout():
    return aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
