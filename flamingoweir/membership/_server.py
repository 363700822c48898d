"""TCP server for requests of peers."""

import asyncio
import socket
import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskStatus

from ..listeners import ListenerConnections
from ..policy import Phase
from ._wire import (
    MAX_REQUEST_BYTES,
    BadFrame,
    Reply,
    Request,
    decode_message,
    encode_frame,
    read_frame,
)

#: Bytes that the system keeps of what a connection sends and the server has not read.
RECEIVE_BUFFER_BYTES = 16_384
#: Largest number of connections that the system has accepted and the server has not.
BACKLOG = 128
#: Seconds between checks for connections that wait for their peers.
CHECK_INTERVAL_S = 1.0

Answer = Callable[[Request], Awaitable[Reply]]


async def serve_peers(
    host: str,
    port: int,
    answer: Answer,
    connections: ListenerConnections,
    *,
    task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Answer requests of peers until cancelled.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free port.
    answer : callable
        Returns the reply to a request.
    connections : ListenerConnections
        Connections of the listener, and their limits.
    task_status : TaskStatus of int
        Receives the port when the server listens.
    """
    open_connections: set[PeerConnection] = set()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = PeerConnection(reader, writer, answer, connections)
        open_connections.add(connection)
        try:
            await connection.run()
        finally:
            open_connections.discard(connection)

    # Streams of anyio go on reading what arrives before their first receive.
    server = await asyncio.start_server(
        serve,
        host,
        port,
        limit=MAX_REQUEST_BYTES,
        backlog=min(BACKLOG, connections.budget.limits.connections),
    )
    (listener,) = server.sockets
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    task_status.started(listener.getsockname()[1])
    try:
        await _check_connections(connections)
    finally:
        server.close()
        for connection in list(open_connections):
            connection.abort()


async def _check_connections(connections: ListenerConnections) -> None:
    while True:
        await anyio.sleep(CHECK_INTERVAL_S)
        connections.check(time.monotonic())


class PeerConnection:
    """A connection that a peer has opened.

    Parameters
    ----------
    reader, writer : asyncio.StreamReader, asyncio.StreamWriter
        The two directions of the connection.
    answer : callable
        Returns the reply to a request.
    connections : ListenerConnections
        Connections of the listener.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        answer: Answer,
        connections: ListenerConnections,
    ):
        self._reader = reader
        self._writer = writer
        self._answer = answer
        self._connections = connections
        self._scope = anyio.CancelScope()

    def abort(self) -> None:
        """See `Connection.abort`."""
        self._scope.cancel()

    def waits_for_client(self) -> bool:
        """See `Connection.waits_for_client`."""
        return True

    async def run(self) -> None:
        """Answer requests until the connection is closed."""
        transport = self._writer.transport
        if not self._connections.open(self, time.monotonic()):
            transport.abort()
            return
        transport.set_write_buffer_limits(0)
        try:
            with self._scope:
                await self._serve()
        except BadFrame:
            self._connections.count("bad_frame")
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._connections.budget.remove(self)
            transport.abort()

    async def _serve(self) -> None:
        read = self._reader.readexactly
        while True:
            self._enter(Phase.IDLE, 0)
            body = await read_frame(read, MAX_REQUEST_BYTES, self._begin_body)
            self._enter(Phase.APPLICATION, len(body))
            reply = encode_frame(await self._answer(decode_message(Request(), body)))
            self._enter(Phase.RESPONSE, len(reply))
            self._writer.write(reply)
            await self._writer.drain()

    def _begin_body(self, length: int) -> None:
        self._enter(Phase.BODY, length)

    def _enter(self, phase: Phase, held_bytes: int) -> None:
        self._connections.budget.move(self, phase, time.monotonic())
        self._connections.hold(self, held_bytes)
