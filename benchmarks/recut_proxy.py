"""A proxy before a runner that keeps calls under way while the runner restarts."""

import random
from collections import Counter

import anyio
from anyio.abc import SocketStream, TaskGroup

from benchmarks.process_fleet import HOST

#: Seconds after which a call without a response is carried out.
LATE_S = (2.0, 12.0)
MAX_HEAD_BYTES = 65_536
START_PATH = b"/-/run-start "
HOLD_PATH = b"/-/hold "
BROKEN = (OSError, anyio.EndOfStream, anyio.BrokenResourceError)


class MessageReader:
    """Reads whole HTTP messages with a content length from a stream."""

    def __init__(self, stream: SocketStream):
        self._stream = stream
        self._data = b""

    async def read(self) -> bytes:
        """Return the next message; raise one of `BROKEN` if there is none."""
        while b"\r\n\r\n" not in self._data:
            if len(self._data) > MAX_HEAD_BYTES:
                raise anyio.BrokenResourceError
            self._data += await self._stream.receive()
        head, _, _ = self._data.partition(b"\r\n\r\n")
        end = len(head) + 4
        for line in head.split(b"\r\n")[1:]:
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                end += int(value)
        while len(self._data) < end:
            self._data += await self._stream.receive()
        message, self._data = self._data[:end], self._data[end:]
        return message


class RunnerProxy:
    """Passes calls to the process that is a runner at the moment.

    While there is none, connections are accepted and requests are kept for the next
    process, also those whose client has given up meanwhile. A request that a process
    has got and not answered stays without a response, or is handed on to the next one.

    Parameters
    ----------
    source : random.Random
        Draws which calls are late.
    late : dict of bytes to float
        Share of the calls that get no response and are carried out late, for start
        orders (`START_PATH`) and for others (empty).
    handed_on : float
        Share of the calls without a response at the end of a process that its next one
        gets, too.

    Attributes
    ----------
    port : int
        Port that the proxy listens on.
    loses_reports : bool
        Whether polls, renewals and probes are carried out without a response.
    counts : Counter
        Number of calls by what became of them: ``passed``, ``kept``, ``late``,
        ``handed on``.
    """

    def __init__(
        self, source: random.Random, late: dict[bytes, float], handed_on: float = 0.0
    ):
        self.port = 0
        self.loses_reports = False
        self.counts: Counter[str] = Counter()
        self._source = source
        self._late = late
        self._handed_on = handed_on
        self._process_port = 0
        self._up = anyio.Event()
        self._open = anyio.Event()
        self._open.set()

    async def serve(self, tasks: TaskGroup) -> None:
        """Listen, and serve connections in a task group."""
        listener = await anyio.create_tcp_listener(local_host=HOST)
        self.port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self._tasks = tasks
        tasks.start_soon(listener.serve, self._serve_client)

    def darken(self) -> None:
        """Keep requests from now on, as the process is gone."""
        self._up = anyio.Event()

    def pass_to(self, port: int) -> None:
        """Pass what was kept, and all that follows, to a process."""
        self._process_port = port
        self._up.set()

    def cut(self) -> None:
        """Let nothing through in either direction."""
        self._open = anyio.Event()

    def heal(self) -> None:
        """Let all through again."""
        self._open.set()

    async def _serve_client(self, client: SocketStream) -> None:
        async with client:
            reader = MessageReader(client)
            try:
                while True:
                    request = await reader.read()
                    await self._open.wait()
                    if self._is_late(request):
                        self._tasks.start_soon(self._pass_late, request)
                        continue
                    response = await self._exchange(request)
                    if response is None or self._is_lost(request):
                        continue
                    await self._open.wait()
                    await client.send(response)
            except BROKEN:
                return

    def _is_late(self, request: bytes) -> bool:
        is_start = START_PATH in request.partition(b"\r\n")[0]
        share = self._late[START_PATH if is_start else b""]
        return self._source.random() < share

    def _is_lost(self, request: bytes) -> bool:
        is_hold = HOLD_PATH in request.partition(b"\r\n")[0]
        return self.loses_reports and is_hold

    async def _pass_late(self, request: bytes) -> None:
        await anyio.sleep(self._source.uniform(*LATE_S))
        self.counts["late"] += 1
        await self._exchange(request)

    async def _exchange(self, request: bytes) -> bytes | None:
        """Return the response, or None if the process has ended before."""
        self.counts["passed" if self._up.is_set() else "kept"] += 1
        while True:
            await self._up.wait()
            up = self._up
            try:
                stream = await anyio.connect_tcp(HOST, self._process_port)
                async with stream:
                    await stream.send(request)
                    response = await MessageReader(stream).read()
            except BROKEN:
                response = None
            if response is not None and up is self._up:
                return response
            if up is self._up or self._source.random() >= self._handed_on:
                return None
            self.counts["handed on"] += 1
