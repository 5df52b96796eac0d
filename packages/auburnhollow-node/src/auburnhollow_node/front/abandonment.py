"""Ends the work on a request whose caller has gone away."""

import asyncio

REQUEST = "http.request"


class EndsAbandoned:
    """ASGI wrapper: cancels the application when the caller closes its connection.

    A search then closes its connections to the backend servers; an order goes on, since what
    holds a claim is never cut short.

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
        whole = asyncio.Event()
        answering = asyncio.Event()

        async def receive_body():
            message = await receive()
            if message["type"] != REQUEST or not message.get("more_body", False):
                whole.set()
            return message

        async def send_answer(message):
            answering.set()
            await send(message)

        work = asyncio.create_task(self._app(scope, receive_body, send_answer))
        gone = asyncio.create_task(_wait_gone(receive, whole))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done() and not answering.is_set():
            work.cancel()
        gone.cancel()
        await asyncio.gather(gone, return_exceptions=True)
        try:
            await work
        except asyncio.CancelledError:
            return


async def _wait_gone(receive, whole):
    """Return once the body is whole and the connection has ended after it."""
    await whole.wait()
    while (await receive())["type"] == REQUEST:
        continue
