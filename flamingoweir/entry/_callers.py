"""Serves ``/call/SERVICE/...``: parses and routes requests, forwards responses."""

import contextlib
import re
import uuid
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from ..asgi import (
    REQUEST_ID_HEADER,
    VERDICT_HEADER,
    error_body,
    error_headers,
    send_response,
)
from ..clock import Clock
from ..errors import ErrorCode, FlamingoweirError, Verdict
from ..logs import get_logger
from ..metrics import Metrics
from ..routing import (
    CallerRequest,
    IdempotencyKeys,
    RequestBody,
    Router,
    RunnerError,
    ServedResponse,
    StoredResponse,
)
from ..settings import RequestSettings

log = get_logger()

CALL_PATH_PREFIX = b"/call/"
#: Methods that are idempotent unless the caller's header says otherwise.
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"})
SERVICE_NAME = re.compile(rb"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
#: Form of request ids, idempotency keys and team names.
HEADER_TOKEN = re.compile(rb"[\x21-\x7e]{1,200}")
#: Headers that are not sent to the runner.
NOT_FORWARDED_HEADERS = frozenset(
    {
        b"x-flamingoweir-team",
        b"x-flamingoweir-idempotent",
        b"x-flamingoweir-timeout-ms",
        b"x-request-id",
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)


class CallerDisconnected(Exception):
    """The caller closed its connection."""


class CallerApp:
    """ASGI application for callers.

    Parameters
    ----------
    router : Router
        Routes requests to runners.
    keys : IdempotencyKeys
        Stored responses by idempotency key.
    settings : RequestSettings
        Limits and timeouts of requests.
    is_draining : callable
        Returns whether new requests are refused.
    clock : Clock
        Monotonic clock of this instance.
    metrics : Metrics
        Receives counters and times.
    """

    def __init__(
        self,
        router: Router,
        keys: IdempotencyKeys,
        settings: RequestSettings,
        is_draining: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
    ):
        self._router = router
        self._keys = keys
        self._settings = settings
        self._is_draining = is_draining
        self._clock = clock
        self._metrics = metrics

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        started_s = self._clock.now()
        headers = dict(scope["headers"])
        request_id = uuid.uuid4().hex
        sender = ResponseSender(send)
        try:
            request_id = _read_request_id(headers) or request_id
            request = self._parse_request(scope, headers, receive, request_id)
            await self._serve_while_connected(request, receive, sender)
        except FlamingoweirError as error:
            await self._send_error(sender, error, request_id)
        except CallerDisconnected:
            self._metrics.incr("requests.caller_gone")
            log.info("caller_gone", request=request_id)
        duration_ms = (self._clock.now() - started_s) * 1000
        self._metrics.timing("requests.time", duration_ms)

    async def _send_error(
        self, sender: "ResponseSender", error: FlamingoweirError, request_id: str
    ) -> None:
        self._metrics.incr(f"requests.errors.{error.code}")
        log.info(
            "request_failed",
            request=request_id,
            code=str(error.code),
            verdict=str(error.verdict),
            detail=error.message,
        )
        if sender.started:
            raise ConnectionAbortedError("the response to the caller was truncated")
        headers = [
            *error_headers(error),
            (REQUEST_ID_HEADER, request_id.encode("latin-1")),
        ]
        body = error_body(error, request_id)
        await sender.send_complete(error.http_status, headers, body)

    def _parse_request(self, scope, headers, receive, request_id: str) -> CallerRequest:
        if self._is_draining():
            raise FlamingoweirError(
                ErrorCode.DRAINING,
                "this instance is shutting down; send the request to another instance",
                retry_after_s=0.0,
            )
        service, target = _read_target(scope)
        team = headers.get(b"x-flamingoweir-team", b"default")
        key = headers.get(b"idempotency-key", b"")
        _check_token("x-flamingoweir-team", team)
        if key:
            _check_token("idempotency-key", key)
        self._check_length(headers)
        timeout_s = self._read_timeout(headers)
        forwarded = [
            pair for pair in scope["headers"] if pair[0] not in NOT_FORWARDED_HEADERS
        ]
        return CallerRequest(
            request_id,
            service,
            team.decode("ascii"),
            scope["method"],
            target,
            forwarded,
            RequestBody(
                BodyReader(receive, self._settings.header_timeout_s),
                self._settings.max_body_bytes,
            ),
            _read_idempotent(scope["method"], headers),
            self._clock.now() + timeout_s,
            key.decode("ascii"),
        )

    def _check_length(self, headers: dict[bytes, bytes]) -> None:
        length = headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._settings.max_body_bytes:
            raise FlamingoweirError(
                ErrorCode.BODY_TOO_LARGE,
                f"the body exceeds {self._settings.max_body_bytes} bytes",
            )

    def _read_timeout(self, headers: dict[bytes, bytes]) -> float:
        text = headers.get(b"x-flamingoweir-timeout-ms")
        if text is None:
            return self._settings.timeout_s
        if not text.isdigit() or not 0 < int(text) <= 3_600_000:
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                "x-flamingoweir-timeout-ms must be a whole number from 1 to 3600000",
            )
        return int(text) / 1000

    async def _serve_while_connected(
        self, request: CallerRequest, receive, sender: "ResponseSender"
    ) -> None:
        """Serve a request; cancel it when the caller closes its connection."""
        await request.body.prefetch()
        failures: list[FlamingoweirError] = []

        async def watch_connection(tasks: TaskGroup) -> None:
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    failures.append(CallerDisconnected())
                    tasks.cancel_scope.cancel()
                    return

        async with anyio.create_task_group() as tasks:
            if request.body.is_complete:
                tasks.start_soon(watch_connection, tasks)
            try:
                await self._serve(request, sender)
            except (FlamingoweirError, CallerDisconnected) as error:
                failures.append(error)
            tasks.cancel_scope.cancel()
        if failures and not sender.finished:
            raise failures[0]

    async def _serve(self, request: CallerRequest, sender: "ResponseSender") -> None:
        """Forward a request, or send the stored response to its idempotency key.

        A key of an idempotent request is ignored.
        """
        if not request.key or request.idempotent:
            await self._forward(request, sender)
            return
        claim = await self._keys.claim(request.team, request.key, request.id)
        if isinstance(claim, StoredResponse):
            replayed = [*claim.headers, (b"x-flamingoweir-replayed", b"1")]
            await sender.send_complete(claim.status, replayed, claim.body)
            return
        try:
            response = await self._forward(request, sender)
        except FlamingoweirError as error:
            if error.verdict is Verdict.NOT_RUN:
                with anyio.CancelScope(shield=True):
                    await self._keys.release(claim)
            raise
        if response.body is not None:
            stored = StoredResponse(response.head.status, sender.headers, response.body)
            with anyio.CancelScope(shield=True):
                await self._keys.store_response(claim, stored)

    async def _forward(
        self, request: CallerRequest, sender: "ResponseSender"
    ) -> ServedResponse:
        """Route a request and send its response to the caller."""
        response = await self._router.serve(request)
        try:
            await self._send_response(request, response, sender)
        finally:
            self._router.finish(request)
        return response

    async def _send_response(
        self, request: CallerRequest, response: ServedResponse, sender: "ResponseSender"
    ) -> None:
        headers = [
            pair
            for pair in response.head.headers
            if pair[0].lower() != REQUEST_ID_HEADER
        ]
        headers.append((REQUEST_ID_HEADER, request.id.encode("latin-1")))
        headers.append((VERDICT_HEADER, str(Verdict.RAN).encode()))
        if response.body is not None:
            await sender.send_complete(response.head.status, headers, response.body)
            return
        async with contextlib.aclosing(response.parts) as parts:
            await sender.send_head(response.head.status, headers)
            try:
                async for part in parts:
                    await sender.send_part(part)
            except RunnerError as error:
                raise FlamingoweirError(
                    ErrorCode.RUNNER_FAILED, str(error), error.verdict
                ) from error
            await sender.send_end()


class ResponseSender:
    """Sends a response and records its progress.

    Parameters
    ----------
    send : callable
        ASGI function that sends a message.

    Attributes
    ----------
    started : bool
        Whether sending has begun.
    finished : bool
        Whether the response was sent completely.
    headers : list of (bytes, bytes)
        Headers of a complete response, without the content length.
    """

    def __init__(self, send):
        self._send = send
        self.started = False
        self.finished = False
        self.headers: list[tuple[bytes, bytes]] = []

    async def send_complete(self, status: int, headers, body: bytes) -> None:
        """Send a response with a complete body."""
        self.started = True
        self.headers = [pair for pair in headers if pair[0] != b"content-length"]
        await send_response(self._send, status, self.headers, body)
        self.finished = True

    async def send_head(self, status: int, headers) -> None:
        """Send the status and headers of a streamed response."""
        self.started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def send_part(self, body: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def send_end(self) -> None:
        """End the body."""
        await self._send({"type": "http.response.body", "body": b""})
        self.finished = True


class BodyReader:
    """Receives a request's body in parts.

    Parameters
    ----------
    receive : callable
        ASGI function that receives a message.
    pause_limit_s : float
        Longest wait for a part, in seconds.
    """

    def __init__(self, receive, pause_limit_s: float):
        self._receive = receive
        self._pause_limit_s = pause_limit_s

    async def __call__(self) -> tuple[bytes, bool]:
        """Return the next part and whether more parts follow.

        Raises
        ------
        FlamingoweirError
            If no part arrives within ``pause_limit_s``.
        CallerDisconnected
            If the caller closed its connection.
        """
        try:
            with anyio.fail_after(self._pause_limit_s):
                message = await self._receive()
        except TimeoutError as error:
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                f"no part of the body arrived for {self._pause_limit_s:g} seconds",
            ) from error
        if message["type"] == "http.disconnect":
            raise CallerDisconnected
        return message.get("body", b""), message.get("more_body", False)


def _read_target(scope) -> tuple[str, bytes]:
    rest = scope["raw_path"].partition(b"?")[0].removeprefix(CALL_PATH_PREFIX)
    service, slash, path = rest.partition(b"/")
    if not SERVICE_NAME.fullmatch(service):
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST,
            "the path must be /call/SERVICE/..., with letters, digits, '.', '_' and "
            "'-' in SERVICE",
        )
    target = b"/" + path
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return service.decode("ascii"), target


def _read_request_id(headers: dict[bytes, bytes]) -> str:
    request_id = headers.get(b"x-request-id", b"")
    if request_id:
        _check_token("x-request-id", request_id)
    return request_id.decode("ascii")


def _check_token(name: str, value: bytes) -> None:
    if not HEADER_TOKEN.fullmatch(value):
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST,
            f"{name} takes up to 200 printable ASCII characters without spaces",
        )


def _read_idempotent(method: str, headers: dict[bytes, bytes]) -> bool:
    text = headers.get(b"x-flamingoweir-idempotent")
    if text is None:
        return method in IDEMPOTENT_METHODS
    if text not in (b"true", b"false"):
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST, "x-flamingoweir-idempotent must be 'true' or 'false'"
        )
    return text == b"true"
