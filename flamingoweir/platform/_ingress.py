"""Submitters' requests in the platform's format, as an ASGI application."""

import re
from collections.abc import Callable
from dataclasses import dataclass

import orjson
import pydantic
from pydantic import Field

from ..asgi import error_body, error_headers, read_body, send_response
from ..errors import ErrorCode, FlamingoweirError
from ..jobs import JobSpec, JobState, StepSpec
from ..logs import get_logger
from ..queues import SubmissionHandler
from ..registry import Queue
from ..resources import Resources
from ._model import WireModel

log = get_logger()

JOB_ID = re.compile(r"[0-9a-f]{16}")
DEADLINE_HEADER = b"x-deadline-ms"
#: Seconds that a request without a deadline may take.
DEFAULT_PATIENCE_S = 2.5
#: Part of the time until the deadline that is used. A submitter that is answered
#: before half of it has passed can still try another instance, which may reach the
#: store.
USED_PATIENCE = 0.42
MAX_TASKS_A_STEP = 100_000
#: Statuses for refusals that submitters must know as such.
STATUS_BY_CODE = {ErrorCode.NEVER_FITS: 429}


class PhaseMessage(WireModel):
    """A step. ``cpu`` is in thousandths of a core, ``gpu`` counts accelerators."""

    count: int = Field(ge=1, le=MAX_TASKS_A_STEP)
    cpu: int = Field(default=0, ge=0)
    mem_mb: int = Field(default=0, ge=0)
    gpu: int = Field(default=0, ge=0)
    estimate_ms: float = Field(default=0, ge=0)
    after: list[int] = Field(default_factory=list)
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    #: A label, not a list of packages.
    requires: str = ""
    data_rack: str = ""
    #: Tasks on one runner at the most.
    spread: int = Field(default=0, ge=0)
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    #: Bound on a serving task's tail latency.
    target_ms: float = Field(default=0, ge=0)
    #: Takes processors that others leave unused.
    fills: bool = False
    may_miss: int = Field(default=0, ge=0)

    def to_step(self) -> StepSpec:
        """Return the step in our type."""
        return StepSpec(
            count=self.count,
            demand=Resources(self.cpu, self.mem_mb, self.gpu),
            estimate_s=self.estimate_ms / 1000,
            after=tuple(self.after),
            checkpoints=self.checkpoint,
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.requires,
            data_rack=self.data_rack,
            max_per_runner=self.spread,
            speculative=self.speculative,
            lasting=self.long_running,
            image=self.image,
            latency_target_ms=self.target_ms,
            uses_spare=self.fills,
            may_miss=self.may_miss,
        )


class SubmissionMessage(WireModel):
    """A job. ``spec`` is the text that its tasks get, ``phases`` are its steps."""

    spec: str = ""
    phases: list[PhaseMessage] = Field(min_length=1)
    times: int = Field(default=1, ge=0)
    start_at_ms: int = Field(default=0, ge=0)
    interval_ms: int = Field(default=0, ge=0)


@dataclass(frozen=True, slots=True)
class Ask:
    """One request, decoded as far as its head goes."""

    method: str
    host: str
    path: str
    timeout_s: float


class IngressApp:
    """Serves submitters.

    Parameters
    ----------
    handler : SubmissionHandler
        Decides.
    wall_ms : callable
        Milliseconds since 1970.

    Attributes
    ----------
    in_flight : int
        Requests being served.
    closing : bool
        Whether connections are closed after their next answer.
    """

    def __init__(self, handler: SubmissionHandler, wall_ms: Callable[[], float]):
        self._desk = handler
        self._wall_ms = wall_ms
        self.in_flight = 0
        self.closing = False

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        self.in_flight += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_flight -= 1

    async def _serve(self, scope, receive, send) -> None:
        ask = _read_head(scope)
        try:
            status, body = await self._answer(ask, receive)
        except FlamingoweirError as error:
            log.info(
                "request_refused",
                method=ask.method,
                host=ask.host,
                path=ask.path,
                code=error.code.value,
                verdict=error.verdict.value,
                detail=error.message,
            )
            status = STATUS_BY_CODE.get(error.code, error.http_status)
            headers = [*error_headers(error), *self._closing_header()]
            await send_response(send, status, headers, error_body(error))
            return
        headers = [(b"content-type", b"application/json"), *self._closing_header()]
        await send_response(send, status, headers, orjson.dumps(body))

    def _closing_header(self) -> list[tuple[bytes, bytes]]:
        return [(b"connection", b"close")] if self.closing else []

    async def _answer(self, ask: Ask, receive) -> tuple[int, dict]:
        queue = self._desk.find_queue(ask.host, ask.path)
        job_id = ask.path.removeprefix(queue.prefix)
        if not job_id and ask.method == "GET":
            return 200, {"Waiting": self._desk.count_waiting(queue)}
        if not JOB_ID.fullmatch(job_id):
            raise FlamingoweirError(
                ErrorCode.NOT_FOUND,
                f"{job_id!r} is not a job id; use 16 hexadecimal digits",
            )
        if ask.method == "POST":
            spec = await self._read_job(ask, queue, job_id, receive)
            await self._desk.submit(spec, ask.timeout_s)
            return 200, {}
        if ask.method == "GET":
            return _tell_state(await self._desk.find_state(job_id, ask.timeout_s))
        if ask.method == "DELETE":
            known = await self._desk.cancel(job_id, ask.timeout_s)
            return (200, {}) if known else (410, {})
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST, f"{ask.method} is not served; use GET, POST, DELETE"
        )

    async def _read_job(self, ask: Ask, queue: Queue, job_id: str, receive) -> JobSpec:
        body = await read_body(receive, self._desk.max_body_bytes)
        try:
            message = SubmissionMessage.model_validate_json(body)
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            where = ".".join(str(part) for part in first["loc"])
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST, f"job {job_id}: {where}: {first['msg']}"
            ) from error
        return JobSpec(
            id=job_id,
            queue=queue.name,
            payload=message.spec,
            steps=tuple(phase.to_step() for phase in message.phases),
            policy=queue.policy,
            accepted_ms=round(self._wall_ms()),
            occurrences=max(1, message.times),
            first_due_ms=message.start_at_ms if message.times else 0,
            interval_ms=message.interval_ms,
        )


def _read_head(scope) -> Ask:
    host = ""
    timeout_s = DEFAULT_PATIENCE_S
    for name, value in scope["headers"]:
        if name == b"host":
            host = value.decode("latin-1").partition(":")[0]
        if name == DEADLINE_HEADER:
            try:
                timeout_s = USED_PATIENCE * float(value) / 1000
            except ValueError:
                log.info("deadline_unreadable", value=value.decode("latin-1"))
    return Ask(scope["method"], host, scope["path"], timeout_s)


def _tell_state(state: JobState | None) -> tuple[int, dict]:
    if state is None:
        return 410, {}
    return 200, {"State": state.value}


class ReadinessApp:
    """Tells the balancer whether this instance takes requests."""

    def __init__(self, ready: Callable[[], bool]):
        self._ready = ready

    async def __call__(self, scope, receive, send) -> None:
        """Serve one look."""
        if scope["type"] != "http":
            return
        await send_response(send, 200 if self._ready() else 503, [], b"")
