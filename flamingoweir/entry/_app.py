"""Divides HTTP requests between the applications of callers and operators."""

from collections.abc import Awaitable, Callable

from ._callers import CALL_PATH_PREFIX

Asgi = Callable[..., Awaitable[None]]


class EntryApp:
    """ASGI application of an entry instance.

    Parameters
    ----------
    callers : callable
        ASGI application for paths below ``/call/``.
    operators : callable
        ASGI application for all other paths.
    """

    def __init__(self, callers: Asgi, operators: Asgi):
        self._callers = callers
        self._operators = operators

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if scope["raw_path"].startswith(CALL_PATH_PREFIX):
            await self._callers(scope, receive, send)
            return
        await self._operators(scope, receive, send)
