"""A fake of the platform's instance list, which shows changes with a delay."""

import asyncio

import orjson
from aiohttp import web


class InstancesStandin:
    """The instance list.

    :param lag_ms: delay until a change is visible, in milliseconds.
    """

    def __init__(self, lag_ms=0.0):
        self._lag_ms = lag_ms
        self._visible = {}

    def app(self):
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/instances", self.on_list)
        app.router.add_post("/standin/instances", self.on_set)
        return app

    async def on_list(self, _request):
        """Answer with all entries."""
        return web.json_response({"instances": list(self._visible.values())})

    async def on_set(self, request):
        """Set entries, visible after the lag; an entry in state ``gone`` is removed."""
        entries = orjson.loads(await request.read())["instances"]
        loop = asyncio.get_running_loop()
        for entry in entries:
            loop.call_later(self._lag_ms / 1000, self.show, entry)
        return web.json_response({})

    def show(self, entry):
        """Make an entry visible immediately."""
        if entry["state"] == "gone":
            self._visible.pop(entry["id"], None)
            return
        self._visible[entry["id"]] = entry
