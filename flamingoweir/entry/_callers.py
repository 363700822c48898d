"""Serves ``/call/SERVICE/...``: parses, routes, and passes the answer on."""

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
    ServedAnswer,
    StoredAnswer,
)
from ..settings import RequestSettings

log = get_logger()

PREFIX = b"/call/"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"})
SERVICE_NAME = re.compile(rb"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
TOKEN = re.compile(rb"[\x21-\x7e]{1,200}")
OWN_HEADERS = frozenset(
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


class CallerGone(Exception):
    """The caller closed its connection."""


class CallerApp:
    """The callers' side as an ASGI application.

    Parameters
    ----------
    router : Router
        Serves requests.
    keys : IdempotencyKeys
        Callers' idempotency keys.
    settings : Requests
        Limits.
    is_draining : callable
        Whether no new request is taken.
    clock : Clock
        This instance's clock.
    metrics : Metrics
        Where counts go.
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
        sender = AnswerSender(send)
        try:
            request_id = _read_id(headers) or request_id
            request = self._parse(scope, headers, receive, request_id)
            await self._serve_unless_gone(request, receive, sender)
        except FlamingoweirError as error:
            await self._refuse(sender, error, request_id)
        except CallerGone:
            self._metrics.incr("requests.caller_gone")
            log.info("caller_gone", request=request_id)
        milliseconds = (self._clock.now() - started_s) * 1000
        self._metrics.timing("requests.time", milliseconds)

    async def _refuse(
        self, sender: "AnswerSender", error: FlamingoweirError, request_id: str
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
            raise ConnectionAbortedError("the answer ended short")
        headers = [
            *error_headers(error),
            (REQUEST_ID_HEADER, request_id.encode("latin-1")),
        ]
        body = error_body(error, request_id)
        await sender.whole(error.http_status, headers, body)

    def _parse(self, scope, headers, receive, request_id: str) -> CallerRequest:
        if self._is_draining():
            raise FlamingoweirError(
                ErrorCode.DRAINING,
                "this instance is shutting down; ask another",
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
        passed_on = [pair for pair in scope["headers"] if pair[0] not in OWN_HEADERS]
        return CallerRequest(
            request_id,
            service,
            team.decode("ascii"),
            scope["method"],
            target,
            passed_on,
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
                "x-flamingoweir-timeout-ms takes a whole number from 1 to 3600000",
            )
        return int(text) / 1000

    async def _serve_unless_gone(
        self, request: CallerRequest, receive, sender: "AnswerSender"
    ) -> None:
        await request.body.prefetch()
        failure: list[FlamingoweirError] = []

        async def watch(tasks: TaskGroup) -> None:
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    failure.append(CallerGone())
                    tasks.cancel_scope.cancel()
                    return

        async with anyio.create_task_group() as tasks:
            if request.body.is_complete:
                tasks.start_soon(watch, tasks)
            try:
                await self._serve(request, sender)
            except (FlamingoweirError, CallerGone) as error:
                failure.append(error)
            tasks.cancel_scope.cancel()
        if failure and not sender.finished:
            raise failure[0]

    async def _serve(self, request: CallerRequest, sender: "AnswerSender") -> None:
        if not request.key or request.idempotent:
            await self._pass_on(request, sender)
            return
        claim = await self._keys.claim(request.team, request.key, request.id)
        if isinstance(claim, StoredAnswer):
            replayed = [*claim.headers, (b"x-flamingoweir-replayed", b"1")]
            await sender.whole(claim.status, replayed, claim.body)
            return
        try:
            answer = await self._pass_on(request, sender)
        except FlamingoweirError as error:
            if error.verdict is Verdict.NOT_RUN:
                with anyio.CancelScope(shield=True):
                    await self._keys.release(claim)
            raise
        if answer.whole is not None:
            stored = StoredAnswer(answer.head.status, sender.headers, answer.whole)
            with anyio.CancelScope(shield=True):
                await self._keys.keep(claim, stored)

    async def _pass_on(
        self, request: CallerRequest, sender: "AnswerSender"
    ) -> ServedAnswer:
        answer = await self._router.serve(request)
        try:
            await self._send(request, answer, sender)
        finally:
            self._router.finish(request)
        return answer

    async def _send(
        self, request: CallerRequest, answer: ServedAnswer, sender: "AnswerSender"
    ) -> None:
        headers = [
            pair for pair in answer.head.headers if pair[0].lower() != REQUEST_ID_HEADER
        ]
        headers.append((REQUEST_ID_HEADER, request.id.encode("latin-1")))
        headers.append((VERDICT_HEADER, str(Verdict.RAN).encode()))
        if answer.whole is not None:
            await sender.whole(answer.head.status, headers, answer.whole)
            return
        async with contextlib.aclosing(answer.parts) as parts:
            await sender.start(answer.head.status, headers)
            try:
                async for part in parts:
                    await sender.part(part)
            except RunnerError as error:
                raise FlamingoweirError(
                    ErrorCode.RUNNER_FAILED, str(error), error.verdict
                ) from error
            await sender.end()


class AnswerSender:
    """Sends an answer and remembers how far it got."""

    def __init__(self, send):
        self._send = send
        self.started = False
        self.finished = False
        self.headers: list[tuple[bytes, bytes]] = []

    async def whole(self, status: int, headers, body: bytes) -> None:
        """Send a whole answer."""
        self.started = True
        self.headers = [pair for pair in headers if pair[0] != b"content-length"]
        await send_response(self._send, status, self.headers, body)
        self.finished = True

    async def start(self, status: int, headers) -> None:
        """Send status and headers."""
        self.started = True
        await self._send(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def part(self, body: bytes) -> None:
        """Send a part of the body."""
        await self._send(
            {"type": "http.response.body", "body": body, "more_body": True}
        )

    async def end(self) -> None:
        """End the body."""
        await self._send({"type": "http.response.body", "body": b""})
        self.finished = True


class BodyReader:
    """Reads a request's body part by part, with a limit on pauses."""

    def __init__(self, receive, pause_limit_s: float):
        self._receive = receive
        self._pause_limit_s = pause_limit_s

    async def __call__(self) -> tuple[bytes, bool]:
        """Return the next part and whether more follow."""
        try:
            with anyio.fail_after(self._pause_limit_s):
                message = await self._receive()
        except TimeoutError as error:
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                f"the body paused for {self._pause_limit_s:g} seconds",
            ) from error
        if message["type"] == "http.disconnect":
            raise CallerGone
        return message.get("body", b""), message.get("more_body", False)


def _read_target(scope) -> tuple[str, bytes]:
    rest = scope["raw_path"].partition(b"?")[0].removeprefix(PREFIX)
    service, slash, path = rest.partition(b"/")
    if not SERVICE_NAME.fullmatch(service):
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST,
            "the path is /call/SERVICE/..., SERVICE of letters, digits, '.', '_', '-'",
        )
    target = b"/" + path
    if scope["query_string"]:
        target += b"?" + scope["query_string"]
    return service.decode("ascii"), target


def _read_id(headers: dict[bytes, bytes]) -> str:
    request_id = headers.get(b"x-request-id", b"")
    if request_id:
        _check_token("x-request-id", request_id)
    return request_id.decode("ascii")


def _check_token(name: str, value: bytes) -> None:
    if not TOKEN.fullmatch(value):
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
            ErrorCode.BAD_REQUEST, "x-flamingoweir-idempotent is 'true' or 'false'"
        )
    return text == b"true"
