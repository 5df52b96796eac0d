"""Keeps the background tasks of a node running after unexpected errors."""

import logging

log = logging.getLogger("node")

RESTART_PAUSE_MS = 500.0


async def keep_running(run, clock, on_error=None):
    """Await ``run()`` until it returns, and again some time after each unexpected error.

    A node whose task has ended would go on answering with what it last knew of its servers, its
    peers and its configuration.

    :param run: coroutine function without arguments that may be called again after an error.
    :param clock: :class:`~auburnhollow.clock.Clock`.
    :param on_error: function that is called with each such error, or ``None``.
    """
    while True:
        try:
            return await run()
        except Exception as error:  # any error: the task must not end
            log.exception("node: background task failed, it is started again")
            if on_error is not None:
                on_error(error)
        await clock.sleep(RESTART_PAUSE_MS)
