"""Sends requests to runners over HTTP; docs/STANDINS.md lists the headers.

Each connection carries one request at a time. It is reused only after a complete
response that matches its request, so that no response can reach another caller.
"""

from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Protocol

import anyio
import httpcore

from ..clock import Clock
from ..errors import Verdict
from ..transport import CONNECT_TIMEOUT_S, SendTrace, new_connection, split_address
from ._request import CallerRequest, Header, ResponseHead

REQUEST_ID_HEADER = b"x-request-id"
REFUSED_HEADER = b"x-runner-refused"
LOAD_HEADER = b"x-runner-load"
LEAVING_HEADER = b"x-runner-leaving"
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
#: Largest idle time, in seconds, of a connection that is reused for a non-idempotent
#: request. No runner closes a connection that was idle for less (RFC 9112, 9.3).
NON_IDEMPOTENT_MAX_IDLE_S = 0.5


class RunnerError(Exception):
    """A runner did not return a complete response.

    Parameters
    ----------
    message : str
        Description of the failure.
    verdict : Verdict
        Whether the request may have run.
    leaving : bool
        Whether the runner reported that it is leaving.
    at_fault : bool
        Whether the error counts as a failure of the runner.
    """

    def __init__(
        self,
        message: str,
        verdict: Verdict,
        leaving: bool = False,
        at_fault: bool = True,
    ):
        super().__init__(message)
        self.verdict = verdict
        self.leaving = leaving
        self.at_fault = at_fault


class RunnerResponse(Protocol):
    """Response whose head has arrived.

    Attributes
    ----------
    head : ResponseHead
        Status and headers.
    """

    head: ResponseHead

    def parts(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body.

        Raises
        ------
        RunnerError
            If the body is truncated.
        """
        ...

    async def aclose(self) -> None:
        """Return the connection for reuse; close it if the body is incomplete."""
        ...


class RunnerLink(Protocol):
    """Client of one runner."""

    async def send(self, request: CallerRequest) -> RunnerResponse:
        """Send a request and wait for the head of the response.

        Raises
        ------
        RunnerError
            If the runner refuses the request or sends no valid head.
        """
        ...

    async def aclose(self) -> None:
        """Close idle connections."""
        ...


@dataclass(slots=True)
class IdleConnection:
    """Connection that is open and not in use.

    Attributes
    ----------
    connection : httpcore.AsyncHTTPConnection
        The connection.
    idle_since_s : float
        When its last response ended, on this instance's clock.
    """

    connection: httpcore.AsyncHTTPConnection
    idle_since_s: float


class HttpRunnerLink:
    """Client of one runner over HTTP; each connection serves one request at a time.

    Parameters
    ----------
    address : str
        ``host:port`` of the runner.
    keepalive_s : float
        Seconds after which an idle connection is closed.
    clock : Clock
        Monotonic clock of this instance.
    """

    def __init__(self, address: str, keepalive_s: float, clock: Clock):
        self._host, self._port = split_address(address)
        self._keepalive_s = keepalive_s
        self._clock = clock
        self._idle: deque[IdleConnection] = deque()

    async def send(self, request: CallerRequest) -> "HttpRunnerResponse":
        """See `RunnerLink.send`."""
        connection = await self._acquire_connection(request.idempotent)
        trace = SendTrace()
        response = None
        try:
            response = await connection.handle_async_request(
                self._build_request(request, trace)
            )
            head = _read_head(response)
            _check_head(request, response, head)
        except RunnerError:
            response = None
            raise
        except (OSError, httpcore.TimeoutException) as error:
            raise _classify_error(trace, error) from error
        except (httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise _classify_error(trace, error) from error
        finally:
            if response is None:
                await _close(connection)
        return HttpRunnerResponse(self, connection, response, head)

    async def aclose(self) -> None:
        """See `RunnerLink.aclose`."""
        while self._idle:
            await _close(self._idle.popleft().connection)

    def return_connection(self, connection: httpcore.AsyncHTTPConnection) -> None:
        """Keep a connection for reuse after a complete response."""
        self._idle.append(IdleConnection(connection, self._clock.now()))

    async def _acquire_connection(
        self, idempotent: bool
    ) -> httpcore.AsyncHTTPConnection:
        now_s = self._clock.now()
        limit_s = self._keepalive_s if idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        while self._idle and now_s - self._idle[0].idle_since_s > self._keepalive_s:
            await _close(self._idle.popleft().connection)
        while self._idle:
            idle = self._idle.pop()
            if now_s - idle.idle_since_s > limit_s:
                self._idle.append(idle)
                break
            if idle.connection.is_available() and not idle.connection.has_expired():
                return idle.connection
            await _close(idle.connection)
        return new_connection(self._host, self._port)

    def _build_request(
        self, request: CallerRequest, trace: SendTrace
    ) -> httpcore.Request:
        headers = [*request.headers, (REQUEST_ID_HEADER, request.id.encode("latin-1"))]
        names = {name for name, _ in request.headers}
        if b"host" not in names:
            headers.append((b"host", f"{self._host}:{self._port}".encode()))
        if b"content-length" not in names:
            headers.append((b"transfer-encoding", b"chunked"))
        return httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b"http",
                host=self._host.encode(),
                port=self._port,
                target=request.target,
            ),
            headers=headers,
            content=request.body.parts(),
            extensions={"trace": trace, "timeout": {"connect": CONNECT_TIMEOUT_S}},
        )


class HttpRunnerResponse:
    """Response of a runner over HTTP; implements `RunnerResponse`.

    Parameters
    ----------
    link : HttpRunnerLink
        Client that the connection is returned to.
    connection : httpcore.AsyncHTTPConnection
        Connection that carries the response.
    response : httpcore.Response
        Response with an unread body.
    head : ResponseHead
        Status and headers.
    """

    def __init__(
        self,
        link: HttpRunnerLink,
        connection: httpcore.AsyncHTTPConnection,
        response: httpcore.Response,
        head: ResponseHead,
    ):
        self.head = head
        self._link = link
        self._connection = connection
        self._response = response
        self._is_complete = False

    async def parts(self) -> AsyncIterator[bytes]:
        """See `RunnerResponse.parts`."""
        try:
            async for part in self._response.stream:
                yield part
        except (OSError, httpcore.NetworkError, httpcore.ProtocolError) as error:
            raise RunnerError(
                f"the response was truncated: {error}", Verdict.MAY_HAVE_RUN
            ) from error
        self._is_complete = True

    async def aclose(self) -> None:
        """See `RunnerResponse.aclose`."""
        if not self._is_complete:
            await _close(self._connection)
            return
        await self._response.aclose()
        if self._connection.is_idle():
            self._link.return_connection(self._connection)
            return
        await _close(self._connection)


async def _close(connection: httpcore.AsyncHTTPConnection) -> None:
    with anyio.CancelScope(shield=True):
        await connection.aclose()


def _read_head(response: httpcore.Response) -> ResponseHead:
    headers: list[Header] = []
    length, load = None, None
    for name, value in response.headers:
        lower_name = name.lower()
        if lower_name == b"content-length":
            length = int(value)
        if lower_name == LOAD_HEADER and value.isdigit():
            load = int(value)
        if lower_name not in HOP_BY_HOP:
            headers.append((name, value))
    return ResponseHead(response.status, headers, length, load)


def _check_head(
    request: CallerRequest, response: httpcore.Response, head: ResponseHead
) -> None:
    """Raise RunnerError if the runner refused the request or answered another."""
    value_by_name = {name.lower(): value for name, value in response.headers}
    if REFUSED_HEADER in value_by_name:
        raise RunnerError(
            "the runner refused the request",
            Verdict.NOT_RUN,
            leaving=LEAVING_HEADER in value_by_name,
            at_fault=False,
        )
    response_id = value_by_name.get(REQUEST_ID_HEADER)
    if response_id is not None and response_id != request.id.encode("latin-1"):
        raise RunnerError("the runner answered another request", Verdict.MAY_HAVE_RUN)


def _classify_error(trace: SendTrace, error: Exception) -> RunnerError:
    """Return the error with a verdict: NOT_RUN if sending had not started."""
    text = f"{type(error).__name__}: {error}"
    if trace.started:
        return RunnerError(text, Verdict.MAY_HAVE_RUN)
    return RunnerError(text, Verdict.NOT_RUN)
