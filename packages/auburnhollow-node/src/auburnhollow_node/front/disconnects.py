"""Cancels requests whose caller has disconnected."""

import asyncio

REQUEST = "http.request"


class CancelOnDisconnect:
    """ASGI middleware that cancels the application when the caller closes its connection.

    A cancelled search closes its connections to the backend servers. An order continues, because a
    request that holds a claim must run to its end.

    :param app: the ASGI application.
    """

    __slots__ = ("_app",)

    def __init__(self, app):
        self._app = app

    async def __call__(self, scope, receive, send):
        """Answer one request."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        body_received = asyncio.Event()
        response_started = asyncio.Event()

        async def receive_body():
            message = await receive()
            if message["type"] != REQUEST or not message.get("more_body", False):
                body_received.set()
            return message

        async def send_response(message):
            response_started.set()
            await send(message)

        handling = asyncio.create_task(self._app(scope, receive_body, send_response))
        disconnected = asyncio.create_task(_wait_for_disconnect(receive, body_received))
        await asyncio.wait({handling, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if not handling.done() and not response_started.is_set():
            handling.cancel()
        disconnected.cancel()
        await asyncio.gather(disconnected, return_exceptions=True)
        try:
            await handling
        except asyncio.CancelledError:
            return


async def _wait_for_disconnect(receive, body_received):
    """Return when the connection is closed after the whole body has been received."""
    await body_received.wait()
    while (await receive())["type"] == REQUEST:
        continue
