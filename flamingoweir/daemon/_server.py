"""HTTP servers that uvicorn runs inside a task group."""

import contextlib
import dataclasses
import functools
import resource
import socket
import time

import anyio
import uvicorn
from anyio.abc import TaskStatus

from ..listeners import ListenerConnections
from ..metrics import Metrics, NoMetrics
from ..policy import ConnectionLimits, share_machine
from ._http_protocol import BoundedProtocol

#: Largest number of connections that the system has accepted and the server has not.
BACKLOG = 2048
#: Number of file descriptors of a process without a limit.
MAX_DESCRIPTORS = 65_536
#: Bytes that the system keeps of what a connection sends and the server has not read;
#: also the largest read.
RECEIVE_BUFFER_BYTES = 32_768
#: Seconds between checks for connections that wait for their clients.
CHECK_INTERVAL_S = 1.0


def share_limits(
    memory_mb: float,
    descriptors: int,
    share_by_listener: dict[str, float],
    limits: ConnectionLimits,
) -> dict[str, ConnectionLimits]:
    """Return the limits of each listener of this process.

    Parameters
    ----------
    memory_mb : float
        Memory of the process, in megabytes.
    descriptors : int
        Largest number of file descriptors; 0 for the limit of the process, which also
        applies if it is lower.
    share_by_listener : dict of str to float
        Shares of the listeners by their names; the sum is 1.
    limits : ConnectionLimits
        Limits of each connection.
    """
    process_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if process_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors or process_limit, process_limit)
    shares = share_machine(memory_mb, descriptors or MAX_DESCRIPTORS, share_by_listener)
    return {
        name: dataclasses.replace(limits, connections=connections, held_bytes=held)
        for name, (connections, held) in shares.items()
    }


class SignallessServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers; the daemon has its own."""

    @contextlib.contextmanager
    def capture_signals(self):
        """Replace uvicorn's handlers by none."""
        yield


class HttpServer:
    """An HTTP server for one ASGI application on one port.

    Parameters
    ----------
    app : ASGI application
        The application to serve.
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 chooses a free port.
    name : str
        Name of the listener in logs and metrics.
    limits : ConnectionLimits
        Limits of all connections of the listener.
    metrics : Metrics
        Receives counters of closed connections.

    Attributes
    ----------
    port : int
        The port that the server listens on.

    Raises
    ------
    OSError
        If the address can't be bound.
    """

    def __init__(
        self,
        app,
        host: str,
        port: int,
        name: str = "http",
        limits: ConnectionLimits | None = None,
        metrics: Metrics | None = None,
    ):
        limits = limits or ConnectionLimits()
        self._connections = ListenerConnections(name, limits, metrics or NoMetrics())
        config = uvicorn.Config(
            app,
            http=functools.partial(BoundedProtocol, self._connections),
            h11_max_incomplete_event_size=limits.head_bytes,
            log_config=None,
            # Warnings are about single clients, which could fill the log with them.
            log_level="error",
            access_log=False,
            lifespan="off",
            server_header=False,
            date_header=False,
            timeout_keep_alive=limits.idle_s,
            backlog=min(BACKLOG, limits.connections),
        )
        self._server = SignallessServer(config)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
        self._socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((host, port))
        self.port: int = self._socket.getsockname()[1]

    async def run(
        self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is called; report the port once listening."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_started, task_status)
            tasks.start_soon(self._check_connections)
            await self._server.serve(sockets=[self._socket])
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Accept no new connections and let `run` return once all are closed."""
        self._server.should_exit = True

    async def _check_connections(self) -> None:
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self._connections.check(time.monotonic())

    async def _report_started(self, task_status: TaskStatus[int]) -> None:
        while not self._server.started:
            await anyio.sleep(0.005)
        task_status.started(self.port)
