"""HTTP calls over connections that each serve one call at a time."""

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass

import anyio
import httpcore

#: Timeout of an attempt to connect, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Seconds after which an idle connection is no longer used.
IDLE_LIMIT_S = 4.0


class RequestNotSent(Exception):
    """The call failed before any byte of the request was sent."""


class ResponseLost(Exception):
    """The request was sent, but no complete response was received."""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete HTTP response."""

    status: int
    body: bytes


class SendTrace:
    """Records whether a connection has begun to send a request.

    Attributes
    ----------
    started : bool
        Whether any byte of the request may have been sent.
    """

    def __init__(self) -> None:
        self.started = False

    async def __call__(self, event: str, info: object) -> None:
        """Handle a trace event of httpcore."""
        if event.endswith("send_request_headers.started"):
            self.started = True


def new_connection(host: str, port: int) -> httpcore.AsyncHTTPConnection:
    """Return a connection to ``host`` that is not open yet."""
    return httpcore.AsyncHTTPConnection(
        origin=httpcore.Origin(b"http", host.encode(), port),
        keepalive_expiry=IDLE_LIMIT_S,
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class HttpClient:
    """Calls one address over a limited number of connections.

    Parameters
    ----------
    address : str
        ``host:port`` with an IP address.
    connections : int
        Maximum number of concurrent calls.
    timeout_s : float
        Timeout of a call, in seconds.
    """

    def __init__(self, address: str, connections: int, timeout_s: float):
        self.address = address
        self._host, self._port = split_address(address)
        self._timeout_s = timeout_s
        self._idle_connections = deque[httpcore.AsyncHTTPConnection]()
        self._call_limit = anyio.Semaphore(connections)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Sequence[tuple[bytes, bytes]] = (),
        timeout_s: float | None = None,
    ) -> Response:
        """Send a request and return the response.

        Parameters
        ----------
        method, path : str
            Method and path of the request.
        body : bytes
            Body of the request.
        headers : sequence of (bytes, bytes)
            Headers in addition to those that every call has.
        timeout_s : float or None
            Timeout of the call, in seconds; None for the client's timeout.

        Raises
        ------
        RequestNotSent
            If the request was not sent.
        ResponseLost
            If the request was sent and no complete response arrived in time.
        """
        trace = SendTrace()
        async with self._call_limit:
            connection = self._acquire_connection()
            response = None
            try:
                with anyio.fail_after(timeout_s or self._timeout_s):
                    response = await self._exchange(
                        connection, method, path, body, headers, trace
                    )
            except (TimeoutError, httpcore.TimeoutException) as error:
                # Other connections of the same age are likely to be unresponsive too.
                await self.aclose()
                raise self._classify(trace, error) from error
            except OSError as error:
                raise self._classify(trace, error) from error
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                raise self._classify(trace, error) from error
            finally:
                if response is None:
                    with anyio.CancelScope(shield=True):
                        await connection.aclose()
            self._idle_connections.append(connection)
            return response

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle_connections:
            await self._idle_connections.popleft().aclose()

    def _acquire_connection(self) -> httpcore.AsyncHTTPConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_available() and not connection.has_expired():
                return connection
        return new_connection(self._host, self._port)

    async def _exchange(
        self,
        connection: httpcore.AsyncHTTPConnection,
        method: str,
        path: str,
        body: bytes,
        headers: Sequence[tuple[bytes, bytes]],
        trace: SendTrace,
    ) -> Response:
        request = httpcore.Request(
            method,
            httpcore.URL(
                scheme=b"http",
                host=self._host.encode(),
                port=self._port,
                target=path.encode(),
            ),
            headers=[
                (b"Host", self.address.encode()),
                (b"Content-Length", str(len(body)).encode()),
                *headers,
            ],
            content=body,
            extensions={
                "trace": trace,
                "timeout": {"connect": CONNECT_TIMEOUT_S},
            },
        )
        response = await connection.handle_async_request(request)
        content = b"".join([part async for part in response.stream])
        await response.aclose()
        return Response(response.status, content)

    @staticmethod
    def _classify(trace: SendTrace, error: Exception) -> Exception:
        if trace.started:
            return ResponseLost(str(error))
        return RequestNotSent(str(error))
