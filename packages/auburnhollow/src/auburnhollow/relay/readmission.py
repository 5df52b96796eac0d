"""Readmits servers once they accept connections again."""

import asyncio
import logging

from ..decisions import log_decision

log = logging.getLogger("relay")

# A crashed server is back after some seconds; probing with a connection costs far less than
# repeating a request.
FIRST_PROBE_DELAY_MS = 400.0
MAX_PROBE_DELAY_MS = 2_000.0


class Readmission:
    """Probes unreachable servers with connections, without a request, until they accept one.

    :param gate: :class:`~auburnhollow.gate.Gate`.
    :param registry: :class:`~auburnhollow.servers.ServerRegistry`.
    :param choice: :class:`~auburnhollow.relay.choice.ServerChoice`.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    """

    __slots__ = ("_choice", "_clock", "_gate", "_registry", "_tasks")

    def __init__(self, gate, registry, choice, clock):
        self._gate = gate
        self._registry = registry
        self._choice = choice
        self._clock = clock
        self._tasks = {}

    def watch(self, server):
        """Mark the server as down and probe it until it accepts connections again."""
        self._choice.view(server).mark_down()
        if server.incarnation in self._tasks:
            return
        task = asyncio.get_running_loop().create_task(self._probe(server))
        self._tasks[server.incarnation] = task
        task.add_done_callback(lambda _task: self._tasks.pop(server.incarnation))

    async def _probe(self, server):
        view = self._choice.view(server)
        delay_ms = FIRST_PROBE_DELAY_MS
        while True:
            await self._clock.sleep(delay_ms)
            if not view.is_down or not self._registry.knows(server):
                return
            if await self._gate.can_connect(server):
                view.mark_up()
                log_decision(log, "server takes connections again", server=server.id)
                return
            delay_ms = min(MAX_PROBE_DELAY_MS, delay_ms * 2)
