"""ASGI applications for job submitters and for the load balancer's checks."""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field

import orjson
import pydantic
from pydantic import Field

from ..asgi import error_body, error_headers, read_body, send_response
from ..customers import digest_key
from ..errors import ErrorCode, FlamingoweirError
from ..jobs import JobSpec, JobState, StepSpec
from ..logs import get_logger
from ..queues import SubmissionHandler
from ..registry import Queue
from ..resources import Resources
from ._model import WireModel

log = get_logger()

JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
DEADLINE_HEADER = b"x-deadline-ms"
AUTHORIZATION_HEADER = b"authorization"
#: Authentication scheme of customers' keys.
KEY_SCHEME = "Bearer"
#: Timeout of a request without a deadline header, in seconds.
DEFAULT_TIMEOUT_S = 2.5
#: Fraction of the time until the deadline after which a request times out. If the
#: response comes before half of the time has passed, the submitter can still try
#: another instance, which may reach the store.
DEADLINE_FRACTION = 0.42
#: Longest timeout of a request, in seconds. A request is tried anew until it times out,
#: also if the submitter has left.
MAX_TIMEOUT_S = 30.0
MAX_TASKS_PER_STEP = 100_000
#: Longest text of a submitter in a log line, in characters.
MAX_LOGGED_LENGTH = 400
#: HTTP statuses that replace `FlamingoweirError.http_status`, so that submitters
#: recognise the error as a refusal.
STATUS_BY_CODE = {ErrorCode.NEVER_FITS: 429}


class PhaseMessage(WireModel):
    """A step of a job, which the platform calls a phase."""

    #: Number of tasks.
    count: int = Field(ge=1, le=MAX_TASKS_PER_STEP)
    #: Processors per task, in thousandths of a core.
    cpu: int = Field(default=0, ge=0)
    mem_mb: int = Field(default=0, ge=0)
    #: Accelerators per task.
    gpu: int = Field(default=0, ge=0)
    estimate_ms: float = Field(default=0, ge=0)
    #: Indexes of the steps whose tasks must be done first.
    after: list[int] = Field(default_factory=list)
    #: Whether tasks save checkpoints.
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    #: Label that a runner must have; one label, not a list of packages.
    requires: str = ""
    #: Rack that holds the data of the tasks.
    data_rack: str = ""
    #: Largest number of the step's tasks on one runner; 0: no limit.
    spread: int = Field(default=0, ge=0)
    speculative: bool = False
    #: Whether tasks run until the job is cancelled.
    long_running: bool = False
    image: str = ""
    #: Upper bound on the tail latency of a serving task.
    target_ms: float = Field(default=0, ge=0)
    #: Whether tasks only use processors that other tasks leave unused, without
    #: reserving any.
    fills: bool = False
    #: Largest number of long-running tasks that the system's own actions may interrupt
    #: at the same time.
    may_miss: int = Field(default=0, ge=0)

    def to_step(self) -> StepSpec:
        """Convert the message to a `StepSpec`."""
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
    """Body of a request that submits a job."""

    #: Payload that every task receives.
    spec: str = ""
    #: Steps of the job.
    phases: list[PhaseMessage] = Field(min_length=1)
    #: Number of occurrences; 0: the job runs once and `start_at_ms` is ignored.
    times: int = Field(default=1, ge=0)
    #: Due time of the first occurrence, in milliseconds since 1970; 0: at once.
    start_at_ms: int = Field(default=0, ge=0)
    #: Time between occurrences.
    interval_ms: int = Field(default=0, ge=0)


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Decoded request line and headers of a request.

    Attributes
    ----------
    method, host, path : str
        Method, host without the port, and path.
    timeout_s : float
        Seconds that the request may take.
    key_digest : bytes or None
        Digest of the customer's key; None if the request has none.
    """

    method: str
    host: str
    path: str
    timeout_s: float
    key_digest: bytes | None = field(default=None, repr=False)


class IngressApp:
    """Serve the platform's HTTP interface for job submitters.

    Parameters
    ----------
    handler : SubmissionHandler
        Handles the decoded requests.
    wall_ms : callable
        Returns the wall-clock time in milliseconds since 1970.

    Attributes
    ----------
    in_flight : int
        Number of requests that are being served.
    closing : bool
        Whether every response asks for its connection to be closed.
    """

    def __init__(self, handler: SubmissionHandler, wall_ms: Callable[[], float]):
        self._handler = handler
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
        head = _read_head(scope)
        try:
            status, body = await self._dispatch(head, receive)
        except FlamingoweirError as error:
            log.info(
                "request_refused",
                method=head.method,
                host=head.host[:MAX_LOGGED_LENGTH],
                path=head.path[:MAX_LOGGED_LENGTH],
                code=error.code.value,
                verdict=error.verdict.value,
                detail=error.message[:MAX_LOGGED_LENGTH],
            )
            status = STATUS_BY_CODE.get(error.code, error.http_status)
            headers = [*error_headers(error), *self._closing_header()]
            if error.code is ErrorCode.UNAUTHENTICATED:
                headers.append((b"www-authenticate", KEY_SCHEME.encode()))
            await send_response(send, status, headers, error_body(error))
            return
        headers = [(b"content-type", b"application/json"), *self._closing_header()]
        await send_response(send, status, headers, orjson.dumps(body))

    def _closing_header(self) -> list[tuple[bytes, bytes]]:
        return [(b"connection", b"close")] if self.closing else []

    async def _dispatch(self, head: RequestHead, receive) -> tuple[int, dict]:
        """Handle a request; return the HTTP status and the JSON body."""
        queue = self._handler.find_queue(head.host, head.path)
        customer = self._handler.authentication.find_customer(queue, head.key_digest)
        job_id = head.path.removeprefix(queue.prefix)
        if not job_id and head.method == "GET":
            return 200, {"Waiting": self._handler.count_waiting(queue)}
        if not JOB_ID.fullmatch(job_id):
            raise FlamingoweirError(
                ErrorCode.NOT_FOUND,
                f"{job_id!r} is not a job id; use 16 hexadecimal digits",
            )
        if head.method == "POST":
            spec = await self._receive_job_spec(head, queue, job_id, customer, receive)
            if spec is not None:
                await self._handler.submit(spec, head.timeout_s)
            return 200, {}
        if head.method == "GET":
            state = await self._handler.find_state(
                job_id, head.timeout_s, customer, queue.policy
            )
            return _encode_state(state)
        if head.method == "DELETE":
            was_accepted = await self._handler.cancel(
                job_id, head.timeout_s, customer, queue.policy
            )
            return (200, {}) if was_accepted else (410, {})
        raise FlamingoweirError(
            ErrorCode.BAD_REQUEST,
            f"method {head.method} is not supported; use GET, POST or DELETE",
        )

    async def _receive_job_spec(
        self,
        head: RequestHead,
        queue: Queue,
        job_id: str,
        customer: str | None,
        receive,
    ) -> JobSpec | None:
        """Return the job in a request body; None if it need not be submitted again.

        Raises FlamingoweirError if it is invalid, or there is no room for it.
        """
        body = await read_body(receive, self._handler.max_body_bytes)
        if not await self._handler.has_room_for(
            job_id, queue, customer, head.timeout_s
        ):
            return None
        try:
            message = SubmissionMessage.model_validate_json(body)
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            location = ".".join(str(part) for part in first["loc"])
            raise FlamingoweirError(
                ErrorCode.BAD_REQUEST,
                f"job {job_id}: invalid request body: {location}: {first['msg']}",
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
            customer=customer or "",
        )


def _read_head(scope) -> RequestHead:
    host = ""
    timeout_s = DEFAULT_TIMEOUT_S
    key_digest = None
    for name, value in scope["headers"]:
        if name == b"host":
            host = value.decode("latin-1").partition(":")[0]
        if name == DEADLINE_HEADER:
            timeout_s = _read_timeout(value)
        if name == AUTHORIZATION_HEADER:
            key_digest = _digest_key(value)
    return RequestHead(scope["method"], host, scope["path"], timeout_s, key_digest)


def _digest_key(value: bytes) -> bytes | None:
    """Return the digest of the key in an authorization header, or None.

    The key goes no further than this, so that no log line or error can contain it.
    """
    try:
        scheme, _, key = value.decode().partition(" ")
    except UnicodeDecodeError:
        return None
    key = key.strip()
    if scheme.lower() != KEY_SCHEME.lower() or not key:
        return None
    return digest_key(key)


def _read_timeout(value: bytes) -> float:
    """Return the timeout for a deadline header, in seconds."""
    try:
        deadline_ms = float(value)
    except ValueError:
        deadline_ms = math.nan
    if math.isnan(deadline_ms):
        log.info("deadline_unreadable", value=value[:40].decode("latin-1"))
        return DEFAULT_TIMEOUT_S
    return min(MAX_TIMEOUT_S, DEADLINE_FRACTION * deadline_ms / 1000)


def _encode_state(state: JobState | None) -> tuple[int, dict]:
    """Return the HTTP status and body for a job's state; 410 for an unknown job."""
    if state is None:
        return 410, {}
    return 200, {"State": state.value}


class ReadinessApp:
    """Serve the load balancer's checks of whether this instance is ready.

    Parameters
    ----------
    ready : callable
        Returns whether the instance is ready.
    """

    def __init__(self, ready: Callable[[], bool]):
        self._is_ready = ready

    async def __call__(self, scope, receive, send) -> None:
        """Respond to one check: status 200 if the instance is ready, otherwise 503."""
        if scope["type"] != "http":
            return
        await send_response(send, 200 if self._is_ready() else 503, [], b"")
