"""HTTP calls over connections that each serve one call at a time."""

import contextlib
import re
from collections import deque
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import anyio
import httpcore

from ._call_limit import CallLimit
from ._call_timeout import CallTimeout, fail_after_own_time
from ._http_connection import HttpConnection, MalformedResponse

#: Timeout of an attempt to connect, in seconds.
CONNECT_TIMEOUT_S = 1.0
#: Seconds after which an idle connection is no longer used.
IDLE_LIMIT_S = 4.0

PORT = re.compile(r"[0-9]{1,5}")
MAX_PORT = 65_535
#: Method, target and version.
REQUEST_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [!-~]+ HTTP/1\.1")
HEADER_NAME = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
#: Printable characters, with spaces and tabs in between.
HEADER_VALUE = re.compile(rb"([!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?)?")

Result = TypeVar("Result")
#: Errors of a call on a connection.
CALL_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    MalformedResponse,
)


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
    """Return the host and the port of ``host:port``.

    Raises
    ------
    ValueError
        If the host is missing, or the port is no number from 0 to 65535.
    """
    host, _, port = address.rpartition(":")
    if not host or not PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(
            f"{address[:100]!r} is not an address; use 'host:port' with a port of at "
            f"most {MAX_PORT}"
        )
    return host.removeprefix("[").removesuffix("]"), int(port)


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
        self._host_line = b"Host: " + address.encode()
        self._timeout_s = timeout_s
        self._idle_connections = deque[HttpConnection]()
        self._call_limit = CallLimit(connections)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Sequence[tuple[bytes, bytes]] = (),
        timeout_s: float | None = None,
        transfer_s: float = 0.0,
        may_send: Callable[[], bool] | None = None,
        rank: int = 0,
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
        transfer_s : float
            Seconds that a call may take, if longer than its timeout, while parts of
            the response's body arrive within the client's timeout of each other.
        may_send : callable, optional
            Asked once there is a connection, for which the call may have waited;
            nothing is sent if it returns False.
        rank : int
            Calls with a lower rank get a connection first.

        Raises
        ------
        RequestNotSent
            If the request was not sent.
        ResponseLost
            If the request was sent and no complete response arrived in time.
        """
        request = self._encode_request(method, path, body, headers)

        async def exchange(
            connection: HttpConnection, timeout: CallTimeout
        ) -> Response:
            if may_send is not None and not may_send():
                raise RequestNotSent("the request is not wanted any more")
            on_part = self._extender(timeout, transfer_s) if transfer_s else None
            is_head = method == "HEAD"
            return Response(*await connection.exchange(request, is_head, on_part))

        return await self._run_on_connection(exchange, timeout_s, rank)

    async def call_all(
        self,
        path: str,
        bodies: Sequence[bytes],
        headers: Sequence[tuple[bytes, bytes]] = (),
        rank: int = 0,
        in_a_turn: int = 32,
    ) -> list[Response]:
        """Send POST requests in one write over one connection; return the responses.

        Parameters
        ----------
        path : str
            Path of the requests.
        bodies : sequence of bytes
            Body of each request.
        headers : sequence of (bytes, bytes)
            Headers of each, in addition to those that every call has.
        rank : int
            Calls with a lower rank get a connection first.
        in_a_turn : int
            Number of responses after which other coroutines run.

        Returns
        -------
        list of Response
            Responses to the first of the requests. If some are missing, any of the
            requests behind them may have been executed.

        Raises
        ------
        RequestNotSent
            If no request was sent.
        """
        requests = []
        for body in bodies:
            requests.append(self._encode_request("POST", path, body, headers))
        responses: list[Response] = []

        async def exchange(connection: HttpConnection, timeout: CallTimeout) -> None:
            async def record(status: int, body: bytes) -> None:
                responses.append(Response(status, body))
                if len(responses) % in_a_turn == 0:
                    # The next response may have arrived.
                    timeout.deadline = float("inf")
                    await anyio.sleep(0)
                # The timeout is that of each response.
                timeout.deadline = anyio.current_time() + self._timeout_s

            await connection.exchange_all(b"".join(requests), len(requests), record)

        with contextlib.suppress(ResponseLost):
            await self._run_on_connection(exchange, None, rank)
        return responses

    async def _run_on_connection(
        self,
        exchange: Callable[[HttpConnection, CallTimeout], Awaitable[Result]],
        timeout_s: float | None,
        rank: int,
    ) -> Result:
        """Run an exchange on a connection, once there is one; see `call`."""
        await self._call_limit.acquire(rank)
        try:
            connection = None
            try:
                with fail_after_own_time(timeout_s or self._timeout_s) as timeout:
                    connection = await self._acquire_connection()
                    result = await exchange(connection, timeout)
            except TimeoutError as error:
                # Other connections of the same age are likely to be unresponsive too.
                await self.aclose()
                raise _classify(connection, error) from error
            except CALL_ERRORS as error:
                raise _classify(connection, error) from error
            finally:
                if connection is not None:
                    await self._give_back(connection)
            return result
        finally:
            self._call_limit.release()

    async def _give_back(self, connection: HttpConnection) -> None:
        """Keep a connection for another call, or close it."""
        if connection.reusable:
            self._idle_connections.append(connection)
            return
        with anyio.CancelScope(shield=True):
            await connection.aclose()

    async def aclose(self) -> None:
        """Close all idle connections."""
        while self._idle_connections:
            await self._idle_connections.popleft().aclose()

    def _extender(self, timeout: CallTimeout, transfer_s: float) -> Callable[[], None]:
        """Return a function that gives a call time for the next part of a response."""
        longest_until_s = anyio.current_time() + transfer_s

        def extend() -> None:
            until_s = min(anyio.current_time() + self._timeout_s, longest_until_s)
            timeout.deadline = max(timeout.deadline, until_s)

        return extend

    async def _acquire_connection(self) -> HttpConnection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_usable(IDLE_LIMIT_S):
                return connection
            await connection.aclose()
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(self._host, self._port)
        return HttpConnection(stream)

    def _encode_request(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> bytes:
        """Return the whole request, so that one write sends it."""
        line = f"{method} {path} HTTP/1.1".encode()
        if not REQUEST_LINE.fullmatch(line):
            raise RequestNotSent(f"the request line {line!r} is invalid")
        lines = [line, self._host_line, b"Content-Length: %d" % len(body)]
        for name, value in headers:
            if not HEADER_NAME.fullmatch(name) or not HEADER_VALUE.fullmatch(value):
                raise RequestNotSent(f"the header {name!r}: {value!r} is invalid")
            lines.append(b"%b: %b" % (name, value))
        lines += (b"", body)
        return b"\r\n".join(lines)


def _classify(connection: HttpConnection | None, error: Exception) -> Exception:
    """Return the error of a call: nothing was sent if there is no connection."""
    text = f"{type(error).__name__}: {error}"
    return RequestNotSent(text) if connection is None else ResponseLost(text)
