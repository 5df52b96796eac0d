"""Giving work again to servers that took no connections."""

import asyncio
import logging

from ..decisions import decide

log = logging.getLogger("relay")

# A crashed server is back after some seconds; a trial connection costs far less than a request
# that has to be repeated.
FIRST_TRIAL_MS = 400.0
LONGEST_PAUSE_MS = 2_000.0


class Readmission:
    """Tries servers that took no connection, without a request, until they take one.

    :param client: :class:`~auburnhollow.relay.ServerClient`.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param choice: :class:`~auburnhollow.relay.choice.ServerChoice`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_choice", "_client", "_clock", "_registry", "_tasks")

    def __init__(self, client, registry, choice, clock):
        self._client = client
        self._registry = registry
        self._choice = choice
        self._clock = clock
        self._tasks = {}

    def watch(self, server):
        """Give the server no work until it takes connections again."""
        self._choice.view(server).take_down()
        if server.incarnation in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(self._try(server))
        self._tasks[server.incarnation] = task
        task.add_done_callback(lambda _task: self._tasks.pop(server.incarnation))

    async def _try(self, server):
        view = self._choice.view(server)
        pause_ms = FIRST_TRIAL_MS
        while True:
            await self._clock.sleep(pause_ms)
            if not view.is_down or not self._registry.knows(server):
                return
            if await self._client.can_connect(server):
                view.bring_up()
                decide(log, "server takes connections again", server=server.id)
                return
            pause_ms = min(LONGEST_PAUSE_MS, pause_ms * 2)
