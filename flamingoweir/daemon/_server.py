"""HTTP servers that uvicorn runs inside a task group."""

import contextlib
import socket

import anyio
import uvicorn
from anyio.abc import TaskStatus

from ._http_protocol import BoundedProtocol

BACKLOG = 2048
#: Longest head of a request, chunk header or trailers, in bytes.
MAX_HEAD_BYTES = 32_768


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

    Attributes
    ----------
    port : int
        The port that the server listens on.

    Raises
    ------
    OSError
        If the address can't be bound.
    """

    def __init__(self, app, host: str, port: int):
        config = uvicorn.Config(
            app,
            http=BoundedProtocol,
            h11_max_incomplete_event_size=MAX_HEAD_BYTES,
            log_config=None,
            # Warnings are about single clients, which could fill the log with them.
            log_level="error",
            access_log=False,
            lifespan="off",
            server_header=False,
            date_header=False,
            timeout_keep_alive=75,
            backlog=BACKLOG,
        )
        self._server = SignallessServer(config)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        # asyncio sets TCP_NODELAY only on sockets created with IPPROTO_TCP.
        self._socket = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self.port: int = self._socket.getsockname()[1]

    async def run(
        self, *, task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until `stop` is called; report the port once listening."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_started, task_status)
            await self._server.serve(sockets=[self._socket])
            tasks.cancel_scope.cancel()

    def stop(self) -> None:
        """Accept no new connections and let `run` return once all are closed."""
        self._server.should_exit = True

    async def _report_started(self, task_status: TaskStatus[int]) -> None:
        while not self._server.started:
            await anyio.sleep(0.005)
        task_status.started(self.port)
