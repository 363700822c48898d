"""HTTP client of the platform's runners."""

import math
from collections.abc import Callable, Sequence
from typing import Any

import orjson
import pydantic
from pydantic import Field

from ..dispatch import (
    EndedTask,
    Fenced,
    OrderRank,
    RunnerReport,
    RunnerUnreachable,
    RunningTask,
    StartOrder,
    StartResult,
)
from ..jobs import Outcome, TaskId
from ..logs import get_logger
from ..transport import HttpClient, RequestNotSent, Response, ResponseLost
from ._model import MAX_INTEGER, Count, Number, WireModel

log = get_logger()

#: Timeout of an order to a runner, in seconds. An unloaded runner responds in 5 ms.
ORDER_TIMEOUT_S = 0.5
#: Timeout of a renewal that no poll makes, in seconds: a busy owner may take several
#: turns of its event loop to read the response. Polls tell whether a runner is silent.
RENEWAL_TIMEOUT_S = 1.5
#: Seconds after the end of the requested wait at which a poll times out.
POLL_SLACK_S = 0.6
#: Largest number of orders that are sent to one runner at once. An owner sends fewer
#: start orders, so that probes and stops find a connection beside them.
ORDER_CONNECTIONS = 4

JSON_HEADER = (b"Content-Type", b"application/json")

#: Results of a start order by the reason that a runner sends with status 409.
RESULT_BY_REASON = {
    "fence": StartResult.FENCED,
    "old": StartResult.STALE,
    "late": StartResult.LATE,
    "room": StartResult.NO_ROOM,
    "ticket": StartResult.BAD_TICKET,
}


class OrderResponse(WireModel):
    """Response to an order."""

    #: The runner's clock.
    clock_ms: Number | None = None
    #: Why the order was rejected; empty otherwise.
    reason: str = ""


class PollResponse(WireModel):
    """Response to a poll: the runner's running tasks and unacknowledged ends."""

    #: The runner's clock.
    clock_ms: Number
    #: Start time in milliseconds, which identifies the runner's incarnation.
    born: Count = Field(default=0, alias="born")
    #: Rows that `_decode_running` reads.
    running: list[list[Any]] = Field(default_factory=list)
    #: Rows that `_decode_ended` reads.
    ended: list[list[Any]] = Field(default_factory=list)


class PlatformRunnerLink:
    """Client of one runner; implements `RunnerLink`.

    Parameters
    ----------
    runner_id : str
        Id of the runner. It is sent with every request, so that another runner that
        has taken over the address rejects the request.
    address : str
        IP address and port of the runner, as ``host:port``.
    """

    def __init__(self, runner_id: str, address: str):
        self._order_client = HttpClient(address, ORDER_CONNECTIONS, ORDER_TIMEOUT_S)
        self._poll_client = HttpClient(address, 1, POLL_SLACK_S)
        self._headers = (JSON_HEADER, (b"X-Expect-Instance", runner_id.encode()))
        self._runner_id = runner_id
        # Each report repeats most tasks of the one before.
        self._task_by_text: dict[str, TaskId] = {}

    async def start(
        self, order: StartOrder, may_send: Callable[[], bool] | None = None
    ) -> tuple[StartResult, float | None]:
        """Order the runner to start a run.

        Parameters
        ----------
        order : StartOrder
            The run and its conditions.
        may_send : callable, optional
            Asked right before the order is sent; if it returns False, it is not.

        Returns
        -------
        result : StartResult
            Outcome of the order, as far as it is known.
        clock_ms : float or None
            The runner's clock in milliseconds, or None if the response lacks it.
        """
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
            response = await self._send_order(
                "/-/run-start", message, OrderRank.START, may_send
            )
        except RequestNotSent:
            return StartResult.UNSENT, None
        except ResponseLost:
            return StartResult.UNKNOWN, None
        return self._classify(response)

    async def stop(self, task: TaskId, run: int, fence: int) -> None:
        """Order the runner to stop a run.

        Parameters
        ----------
        task : TaskId
            Id of the task.
        run : int
            Number of the run.
        fence : int
            The owner's fencing token.

        Raises
        ------
        RunnerUnreachable
            If there is no valid response.
        Fenced
            If the runner has received a higher fencing token.
        """
        message = _encode_stop(task, run, fence)
        await self._send_checked_order("/-/run-stop", message, OrderRank.STOP)

    async def stop_runs(
        self, runs: Sequence[tuple[TaskId, int]], fence: int, in_a_turn: int
    ) -> int:
        """Order the runner to stop several runs, in one write.

        Parameters
        ----------
        runs : sequence of (TaskId, int)
            Task and number of each run.
        fence : int
            The owner's fencing token.
        in_a_turn : int
            Number of responses after which other coroutines run.

        Returns
        -------
        int
            How many of the first orders got a valid response; those behind may have
            been carried out.

        Raises
        ------
        RunnerUnreachable
            If none did.
        Fenced
            If the runner has received a higher fencing token.
        """
        bodies = [orjson.dumps(_encode_stop(task, run, fence)) for task, run in runs]
        confirmed = 0
        try:
            responses = await self._order_client.call_all(
                "/-/run-stop", bodies, self._headers, OrderRank.STOP, in_a_turn
            )
            for response in responses:
                self._raise_for_status(response)
                confirmed += 1
        except RequestNotSent as error:
            raise RunnerUnreachable(f"runner {self._runner_id}: {error}") from error
        except RunnerUnreachable:
            if not confirmed:
                raise
        if not confirmed:
            raise RunnerUnreachable(f"runner {self._runner_id}: no response")
        return confirmed

    async def set_pace(self, task: TaskId, run: int, percent: int, fence: int) -> None:
        """Order the runner to limit the pace of a run.

        Parameters
        ----------
        task : TaskId
            Id of the task.
        run : int
            Number of the run.
        percent : int
            Pace in percent of full speed.
        fence : int
            The owner's fencing token.

        Raises
        ------
        RunnerUnreachable
            If there is no valid response.
        Fenced
            If the runner has received a higher fencing token.
        """
        message = {
            "Task": str(task),
            "Run": run,
            "Percent": percent,
            "FenceToken": fence,
        }
        await self._send_checked_order("/-/pace", message, OrderRank.PACE)

    async def renew(self, fence: int, deadline_ms: int) -> None:
        """Renew the runner's lease on another connection than that of polls.

        It acknowledges no ends.

        Parameters
        ----------
        fence : int
            The owner's fencing token.
        deadline_ms : int
            New end of the lease, in milliseconds on the runner's clock.

        Raises
        ------
        RunnerUnreachable
            If there is no valid response.
        Fenced
            If the runner has received a higher fencing token.
        """
        message = {"AckCursor": 0, "DueMs": deadline_ms, "FenceToken": fence}
        await self._send_checked_order(
            "/-/hold", message, OrderRank.PROBE, RENEWAL_TIMEOUT_S
        )

    async def probe(self, fence: int) -> float | None:
        """Call the runner without any effect but that of the fencing token.

        Parameters
        ----------
        fence : int
            The owner's fencing token.

        Returns
        -------
        float or None
            The runner's clock in milliseconds, or None if the response lacks it.

        Raises
        ------
        RunnerUnreachable
            If there is no valid response.
        Fenced
            If the runner has received a higher fencing token.
        """
        message = {"AckCursor": 0, "FenceToken": fence}
        response = await self._send_checked_order("/-/hold", message, OrderRank.PROBE)
        try:
            return OrderResponse.model_validate_json(response.body).clock_ms
        except pydantic.ValidationError:
            return None

    async def poll(
        self, fence: int, acknowledged: int, deadline_ms: int | None, wait_s: float
    ) -> RunnerReport:
        """Renew the runner's lease, acknowledge ends and return the runner's report.

        Parameters
        ----------
        fence : int
            The owner's fencing token.
        acknowledged : int
            Highest number of an end that the runner may forget; 0: none.
        deadline_ms : int or None
            New end of the lease, in milliseconds on the runner's clock; None leaves the
            lease unchanged.
        wait_s : float
            Seconds that the runner waits for an end if it has none to report.

        Raises
        ------
        RunnerUnreachable
            If there is no valid response.
        Fenced
            If the runner has received a higher fencing token.
        """
        message = {"FenceToken": fence, "AckCursor": acknowledged}
        if deadline_ms is not None:
            message["DueMs"] = deadline_ms
        if wait_s > 0:
            message["WaitMs"] = round(wait_s * 1000)
        try:
            response = await self._poll_client.call(
                "POST",
                "/-/hold",
                orjson.dumps(message),
                self._headers,
                wait_s + POLL_SLACK_S,
            )
        except (RequestNotSent, ResponseLost) as error:
            raise RunnerUnreachable(f"runner {self._runner_id}: {error}") from error
        self._raise_for_status(response)
        return self._decode_report(response.body)

    async def aclose(self) -> None:
        """Close all idle connections."""
        await self._order_client.aclose()
        await self._poll_client.aclose()

    async def _send_order(
        self,
        path: str,
        message: dict[str, object],
        rank: OrderRank,
        may_send: Callable[[], bool] | None = None,
        timeout_s: float | None = None,
    ) -> Response:
        return await self._order_client.call(
            "POST",
            path,
            orjson.dumps(message),
            self._headers,
            timeout_s,
            may_send=may_send,
            rank=rank,
        )

    async def _send_checked_order(
        self,
        path: str,
        message: dict[str, object],
        rank: OrderRank,
        timeout_s: float | None = None,
    ) -> Response:
        try:
            response = await self._send_order(path, message, rank, None, timeout_s)
        except (RequestNotSent, ResponseLost) as error:
            raise RunnerUnreachable(f"runner {self._runner_id}: {error}") from error
        self._raise_for_status(response)
        return response

    def _classify(self, response: Response) -> tuple[StartResult, float | None]:
        """Return the result of a start and the runner's clock, if it is known."""
        if response.status in (429, 503):
            return StartResult.UNHEALTHY, None
        if response.status == 421:
            return StartResult.REJECTED, None
        if response.status not in (200, 409):
            log.warning(
                "start_rejected", runner=self._runner_id, status=response.status
            )
            return StartResult.REJECTED, None
        try:
            decoded = OrderResponse.model_validate_json(response.body)
        except pydantic.ValidationError:
            log.warning("start_response_unreadable", runner=self._runner_id)
            return StartResult.UNKNOWN, None
        if response.status == 200:
            return StartResult.STARTED, decoded.clock_ms
        result = RESULT_BY_REASON.get(decoded.reason, StartResult.REJECTED)
        return result, decoded.clock_ms

    def _raise_for_status(self, response: Response) -> None:
        """Raise Fenced or RunnerUnreachable for a response that reports a failure.

        A response is no failure if the runner does not have the run of an order.
        """
        if response.status == 200:
            return
        if response.status == 409:
            try:
                reason = OrderResponse.model_validate_json(response.body).reason
            except pydantic.ValidationError:
                reason = "unreadable"
            if reason == "fence":
                raise Fenced(self._runner_id)
            # The runner does not have the run. The next poll reports how it ended.
            return
        raise RunnerUnreachable(
            f"runner {self._runner_id} responded with status {response.status}"
        )

    def _decode_report(self, body: bytes) -> RunnerReport:
        try:
            decoded = PollResponse.model_validate_json(body)
            running = self._decode_running_rows(decoded.running)
            ended = [_decode_ended(row) for row in decoded.ended]
        except (
            ValueError,
            IndexError,
            TypeError,
            AttributeError,
            OverflowError,
        ) as error:
            raise RunnerUnreachable(
                f"runner {self._runner_id} sent an invalid report: {error}"
            ) from error
        return RunnerReport(decoded.born, decoded.clock_ms, running, ended)

    def _decode_running_rows(self, rows: list[list[Any]]) -> list[RunningTask]:
        """Decode ``[task, run, checkpoint, percent, load]``; the load is optional.

        Raises
        ------
        ValueError, IndexError, OverflowError
            If a row is malformed.
        """
        task_by_text: dict[str, TaskId] = {}
        running = []
        for row in rows:
            text = _decode_text(row[0])
            task = self._task_by_text.get(text)
            if task is None:
                task = TaskId.parse(text)
            task_by_text[text] = task
            load = None
            if len(row) > 4 and row[4] is not None:
                load = _decode_number(row[4])
            running.append(
                RunningTask(
                    task,
                    _decode_integer(row[1]),
                    _decode_text(row[2]),
                    _decode_number(row[3]),
                    load,
                )
            )
        self._task_by_text = task_by_text
        return running


def _encode_stop(task: TaskId, run: int, fence: int) -> dict[str, object]:
    return {"Task": str(task), "Run": run, "FenceToken": fence}


def _decode_ended(row: list[Any]) -> EndedTask:
    """Decode ``[number, task, run, outcome, checkpoint]``."""
    number, task, run, outcome, checkpoint = row[:5]
    return EndedTask(
        _decode_integer(number),
        TaskId.parse(_decode_text(task)),
        _decode_integer(run),
        Outcome(outcome),
        _decode_text(checkpoint),
    )


def _decode_integer(value: object) -> int:
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise ValueError(f"an integer from 0 to {MAX_INTEGER} is expected")
    return value


def _decode_number(value: object) -> float:
    """Return a finite number; 0 for null."""
    if value is None:
        return 0.0
    if type(value) not in (int, float) or not math.isfinite(value):
        raise ValueError("a finite number is expected")
    return float(value)


def _decode_text(value: object) -> str:
    """Return a text; empty for null."""
    if value is None:
        return ""
    if type(value) is not str:
        raise ValueError("a text is expected")
    return value
