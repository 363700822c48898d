"""Runners, spoken to over HTTP."""

from typing import Any

import orjson
import pydantic
from pydantic import Field

from ..dispatch import (
    EndedTask,
    Fenced,
    RunnerReport,
    RunnerUnreachable,
    RunningTask,
    StartOrder,
    StartResult,
)
from ..jobs import Outcome, TaskId
from ..logs import get_logger
from ..transport import HttpClient, RequestNotSent, Response, ResponseLost
from ._model import WireModel

log = get_logger()

#: Seconds until an order counts as unanswered; a calm runner answers in 5 ms.
ORDER_TIMEOUT_S = 0.5
#: Seconds beyond its wait that a look may take.
LOOK_SLACK_S = 0.6
#: Orders on the way to one runner at once.
ORDER_CONNECTIONS = 3

JSON_HEADER = (b"Content-Type", b"application/json")

RESULT_BY_REASON = {
    "fence": StartResult.FENCED,
    "old": StartResult.STALE,
    "late": StartResult.LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.BAD_TICKET,
}


class OrderAnswer(WireModel):
    """Answer to an order; ``clock_ms`` is the runner's clock."""

    clock_ms: float | None = None
    reason: str = ""


class LookAnswer(WireModel):
    """Both lists; ``born`` names the incarnation."""

    clock_ms: float
    born: int = Field(default=0, alias="born")
    running: list[list[Any]] = Field(default_factory=list)
    ended: list[list[Any]] = Field(default_factory=list)


class PlatformRunnerLink:
    """The way to one runner; see `RunnerLink`.

    Parameters
    ----------
    runner_id : str
        The runner that is meant; another one at its address refuses.
    address : str
        ``host:port`` by IP number.
    """

    def __init__(self, runner_id: str, address: str):
        self._orders = HttpClient(address, ORDER_CONNECTIONS, ORDER_TIMEOUT_S)
        self._looks = HttpClient(address, 1, LOOK_SLACK_S)
        self._headers = (JSON_HEADER, (b"X-Expect-Instance", runner_id.encode()))
        self._id = runner_id

    async def start(self, order: StartOrder) -> tuple[StartResult, float | None]:
        """See `RunnerLink.start`."""
        message = {
            "Task": str(order.task),
            "Run": order.run,
            "Spec": order.payload,
            "DueMs": order.deadline_ms,
            "FenceToken": order.fence,
        }
        if order.checkpoint:
            message["Saved"] = order.checkpoint
        if order.ticket:
            message["Ticket"] = order.ticket
        try:
            answer = await self._order("/-/run-start", message)
        except RequestNotSent:
            return StartResult.UNSENT, None
        except ResponseLost:
            return StartResult.UNKNOWN, None
        return self._classify(answer)

    async def stop(self, task: TaskId, run: int, fence: int) -> None:
        """See `RunnerLink.stop`."""
        message = {"Task": str(task), "Run": run, "FenceToken": fence}
        await self._command("/-/run-stop", message)

    async def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        """See `RunnerLink.set_pace`."""
        message = {"Task": str(task), "Run": run, "Percent": percent}
        await self._command("/-/pace", {**message, "FenceToken": fence})

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> RunnerReport:
        """See `RunnerLink.poll`."""
        message = {"FenceToken": fence, "AckCursor": acknowledged}
        if deadline_ms is not None:
            message["DueMs"] = deadline_ms
        if wait_s > 0:
            message["WaitMs"] = round(wait_s * 1000)
        try:
            answer = await self._looks.call(
                "POST",
                "/-/hold",
                orjson.dumps(message),
                self._headers,
                wait_s + LOOK_SLACK_S,
            )
        except (RequestNotSent, ResponseLost) as error:
            raise RunnerUnreachable(f"{self._id}: {error}") from error
        self._check(answer)
        return self._decode_report(answer.body)

    async def aclose(self) -> None:
        """See `RunnerLink.aclose`."""
        await self._orders.aclose()
        await self._looks.aclose()

    async def _order(self, path: str, message: dict[str, object]) -> Response:
        return await self._orders.call(
            "POST", path, orjson.dumps(message), self._headers
        )

    async def _command(self, path: str, message: dict[str, object]) -> None:
        try:
            answer = await self._order(path, message)
        except (RequestNotSent, ResponseLost) as error:
            raise RunnerUnreachable(f"{self._id}: {error}") from error
        self._check(answer)

    def _classify(self, answer: Response) -> tuple[StartResult, float | None]:
        if answer.status in (429, 503):
            return StartResult.UNHEALTHY, None
        if answer.status == 421:
            return StartResult.REJECTED, None
        if answer.status not in (200, 409):
            log.warning("start_rejected", runner=self._id, status=answer.status)
            return StartResult.REJECTED, None
        try:
            decoded = OrderAnswer.model_validate_json(answer.body)
        except pydantic.ValidationError:
            log.warning("start_answer_unreadable", runner=self._id)
            return StartResult.UNKNOWN, None
        if answer.status == 200:
            return StartResult.STARTED, decoded.clock_ms
        result = RESULT_BY_REASON.get(decoded.reason, StartResult.REJECTED)
        return result, decoded.clock_ms

    def _check(self, answer: Response) -> None:
        if answer.status == 200:
            return
        if answer.status == 409:
            try:
                reason = OrderAnswer.model_validate_json(answer.body).reason
            except pydantic.ValidationError:
                reason = "unreadable"
            if reason == "fence":
                raise Fenced(self._id)
            # The run is not there; the next look says what became of it.
            return
        raise RunnerUnreachable(f"{self._id}: status {answer.status}")

    def _decode_report(self, body: bytes) -> RunnerReport:
        try:
            decoded = LookAnswer.model_validate_json(body)
            running = [_decode_running(row) for row in decoded.running]
            ended = [_decode_ended(row) for row in decoded.ended]
        except (ValueError, IndexError, TypeError) as error:
            raise RunnerUnreachable(f"{self._id}: unreadable lists: {error}") from error
        return RunnerReport(decoded.born, decoded.clock_ms, running, ended)


def _decode_running(row: list[Any]) -> RunningTask:
    """Read [task, run, saved, percent] and, where there is one, a load."""
    load = float(row[4]) if len(row) > 4 and row[4] is not None else None
    return RunningTask(
        TaskId.parse(row[0]), int(row[1]), row[2], float(row[3] or 0), load
    )


def _decode_ended(row: list[Any]) -> EndedTask:
    """Read [number, task, run, outcome, saved]."""
    number, task, run, outcome, checkpoint = row[:5]
    return EndedTask(
        int(number), TaskId.parse(task), int(run), Outcome(outcome), checkpoint or ""
    )
