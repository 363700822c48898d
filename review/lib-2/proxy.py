"""A proxy before a runner, which delivers one order late and can be cut off."""

import asyncio
from collections.abc import Callable

from mini_http import Server, call

#: Longest time in seconds for which a call waits for the runner.
CALL_S = 4.0
#: Seconds for which a call that is lost stays open.
SILENT_S = 30.0


class Proxy:
    """Passes calls on to a runner.

    Parameters
    ----------
    loses : callable
        Takes the proxy, the path and the body of a call; returns whether it gets no
        response, and is kept to be delivered late.
    """

    def __init__(self, loses: Callable[["Proxy", str, dict], bool]):
        self._loses = loses
        self._server = Server(self._serve)
        self.port = 0
        self.runner_port = 0
        self.is_cut = False
        self.kept: list[tuple[str, dict]] = []

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start()
        self.port = self._server.port

    async def _serve(self, method: str, path: str, body: dict) -> tuple[int, dict]:
        if self._loses(self, path, body):
            self.kept.append((path, body))
            await asyncio.sleep(SILENT_S)
            raise ConnectionError
        if self.is_cut:
            await asyncio.sleep(SILENT_S)
            raise ConnectionError
        status, fields = await self._pass_on(method, path, body)
        if status is None or self.is_cut:
            await asyncio.sleep(SILENT_S if self.is_cut else 0)
            raise ConnectionError
        return status, fields

    async def deliver_late(self) -> list[tuple[str, dict, int | None, dict]]:
        """Deliver the calls that were kept; return them with what was answered."""
        delivered = []
        for path, body in self.kept:
            status, fields = await self._pass_on("POST", path, body)
            delivered.append((path, body, status, fields))
        self.kept.clear()
        return delivered

    async def _pass_on(self, method: str, path: str, body: dict):
        address = f"127.0.0.1:{self.runner_port}"
        return await call(address, method, path, body, timeout_s=CALL_S)
