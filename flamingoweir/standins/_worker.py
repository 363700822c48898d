"""A worker in memory, with leases, fencing, limited capacity and checkpoints."""

from collections.abc import Callable
from dataclasses import dataclass, field

import orjson

from ..clock import Clock
from ..resources import Resources
from ..upstreams import (
    AttemptId,
    AttemptReport,
    AttemptStatus,
    Command,
    CommandKind,
    WorkerExchange,
    WorkerReport,
)
from ._platform import MemoryObjectStore


@dataclass(frozen=True, slots=True)
class WorkerEvent:
    """The start or end of an attempt, as recorded by its worker.

    Attributes
    ----------
    at_s : float
        Time of the event in seconds on the worker's clock.
    worker : str
        Name of the worker.
    kind : str
        ``start``, the status with which the attempt ended, or ``killed`` if the
        worker restarted during the attempt.
    task : str
        Id of the task.
    attempt : int
        Number of the attempt.
    needs : Resources
        Resources reserved for the attempt.
    checkpoint : str
        Checkpoint that the attempt resumed from or, at its end, wrote; may be empty.
    """

    at_s: float
    worker: str
    kind: str
    task: str
    attempt: int
    needs: Resources
    checkpoint: str = ""


@dataclass(slots=True)
class Attempt:
    """A running attempt.

    Attributes
    ----------
    command : Command
        The command that started the attempt.
    shard : str
        Shard of the owner that sent the command.
    remaining_s : float
        Seconds that the attempt still needs at full speed.
    rate : float
        Speed from 0 to 1; a THROTTLE command sets it.
    """

    command: Command
    shard: str
    remaining_s: float
    rate: float = 1.0


@dataclass(slots=True)
class WorkerShardState:
    """A worker's state for one shard.

    Attributes
    ----------
    epoch : int
        Highest fencing token received.
    lease_until_s : float
        End of the lease in seconds on the worker's clock.
    attempt_by_task : dict of str to Attempt
        Running attempts by task id.
    report_by_ended_attempt : dict of AttemptId to AttemptReport
        Reports of ended attempts that were not acknowledged.
    """

    epoch: int = 0
    lease_until_s: float = 0.0
    attempt_by_task: dict[str, Attempt] = field(default_factory=dict)
    report_by_ended_attempt: dict[AttemptId, AttemptReport] = field(
        default_factory=dict
    )


#: Returns for a START command the run time in seconds at full speed, and the status
#: at its end.
RunTime = Callable[[Command], tuple[float, AttemptStatus]]


class StandinWorker:
    """A worker whose attempts end after the run time given by `run_time`.

    Parameters
    ----------
    name : str
        Name of the worker.
    capacity : Resources
        Total resources; a start that would exceed them is refused.
    clock : Clock
        Clock of the worker.
    run_time : callable
        Returns for a START command the run time in seconds and the final status.
    objects : MemoryObjectStore
        Store for checkpoints.

    Attributes
    ----------
    records : list of WorkerEvent
        All starts and ends.
    refusals : list of AttemptReport
        Reports of all refused starts.
    """

    def __init__(
        self,
        name: str,
        capacity: Resources,
        clock: Clock,
        run_time: RunTime,
        objects: MemoryObjectStore,
    ):
        self.name = name
        self.capacity = capacity
        self.records: list[WorkerEvent] = []
        self.refusals: list[AttemptReport] = []
        self._clock = clock
        self._run_time = run_time
        self._objects = objects
        self._incarnation_number = 1
        self._advanced_s = clock.now()
        self._state_by_shard: dict[str, WorkerShardState] = {}

    def restart(self) -> None:
        """Kill all attempts and drop the state of all shards."""
        self.advance()
        for shard_state in self._state_by_shard.values():
            for attempt in shard_state.attempt_by_task.values():
                self._record_event("killed", attempt.command, self._clock.now())
        self._state_by_shard.clear()
        self._incarnation_number += 1

    def exchange(self, message: WorkerExchange) -> WorkerReport:
        """Carry out an exchange and return the report; see `WorkerExchange`."""
        self.advance()
        shard_state = self._state_by_shard.setdefault(message.shard, WorkerShardState())
        is_fenced = message.epoch < shard_state.epoch
        shard_state.epoch = max(shard_state.epoch, message.epoch)
        accepted = not is_fenced and message.incarnation in ("", self._incarnation)
        if accepted and message.incarnation:
            self._apply_exchange(shard_state, message)
        return WorkerReport(
            self._incarnation,
            self._clock.now(),
            shard_state.epoch,
            accepted,
            [
                *self._running(shard_state),
                *shard_state.report_by_ended_attempt.values(),
            ],
        )

    def advance(self) -> None:
        """Advance all attempts to the present; end those due or without a lease."""
        now_s = self._clock.now()
        while True:
            due_s = self._find_next_end(now_s)
            if due_s is None:
                break
            self._advance_attempts(due_s)
            self._end_due_attempts(due_s)
        self._advance_attempts(now_s)

    def unacknowledged(self) -> int:
        """Return the number of ended attempts that were not acknowledged."""
        return sum(
            len(shard_state.report_by_ended_attempt)
            for shard_state in self._state_by_shard.values()
        )

    @property
    def _incarnation(self) -> str:
        return f"{self.name}:{self._incarnation_number}"

    def _apply_exchange(
        self, shard_state: WorkerShardState, message: WorkerExchange
    ) -> None:
        shard_state.lease_until_s = max(
            shard_state.lease_until_s, message.lease_until_s
        )
        for ended in message.acknowledged:
            shard_state.report_by_ended_attempt.pop(ended, None)
        for command in message.commands:
            attempt = shard_state.attempt_by_task.get(command.task)
            if command.kind is CommandKind.START:
                self._start(shard_state, message, command)
                continue
            if attempt is None or attempt.command.attempt != command.attempt:
                continue
            if command.kind is CommandKind.THROTTLE:
                attempt.rate = command.throttle_percent / 100
            if command.kind is CommandKind.STOP:
                self._end(shard_state, attempt, AttemptStatus.STOPPED)
            if command.kind is CommandKind.CHECKPOINT:
                self._checkpoint(shard_state, attempt)

    def _start(
        self, shard_state: WorkerShardState, message: WorkerExchange, command: Command
    ) -> None:
        attempt_id = AttemptId(command.task, command.attempt)
        if (
            command.task in shard_state.attempt_by_task
            or attempt_id in shard_state.report_by_ended_attempt
        ):
            return
        now_s = self._clock.now()
        if now_s > message.start_by_s or now_s >= shard_state.lease_until_s:
            self._refuse(shard_state, command, "late")
            return
        free_resources = self.capacity
        for other in self._state_by_shard.values():
            for attempt in other.attempt_by_task.values():
                free_resources = free_resources - attempt.command.needs
        if not command.needs.fits_in(free_resources):
            self._refuse(shard_state, command, "capacity")
            return
        total_s, _ = self._run_time(command)
        done_s = self._load_progress(command.resume_from)
        shard_state.attempt_by_task[command.task] = Attempt(
            command, message.shard, total_s - done_s
        )
        self._record_event("start", command, now_s, command.resume_from)

    def _refuse(
        self, shard_state: WorkerShardState, command: Command, detail: str
    ) -> None:
        report = AttemptReport(
            command.task, command.attempt, AttemptStatus.REFUSED, detail=detail
        )
        shard_state.report_by_ended_attempt[
            AttemptId(command.task, command.attempt)
        ] = report
        self.refusals.append(report)

    def _checkpoint(self, shard_state: WorkerShardState, attempt: Attempt) -> None:
        command = attempt.command
        total_s, _ = self._run_time(command)
        done_s = total_s - attempt.remaining_s
        name = f"checkpoint/{command.task}/{command.attempt}"
        if self._objects.down:
            return
        self._objects.by_name[name] = orjson.dumps({"done_s": done_s})
        self._end(shard_state, attempt, AttemptStatus.CHECKPOINTED, name)

    def _load_progress(self, name: str) -> float:
        content = self._objects.by_name.get(name)
        return orjson.loads(content)["done_s"] if content else 0.0

    def _find_next_end(self, now_s: float) -> float | None:
        ends = []
        for shard_state in self._state_by_shard.values():
            if shard_state.attempt_by_task:
                ends.append(shard_state.lease_until_s)
            for attempt in shard_state.attempt_by_task.values():
                if attempt.rate > 0:
                    ends.append(self._advanced_s + attempt.remaining_s / attempt.rate)
        due_s = min(ends, default=None)
        return due_s if due_s is not None and due_s <= now_s else None

    def _advance_attempts(self, until_s: float) -> None:
        passed_s = max(0.0, until_s - self._advanced_s)
        for shard_state in self._state_by_shard.values():
            for attempt in shard_state.attempt_by_task.values():
                attempt.remaining_s -= passed_s * attempt.rate
        self._advanced_s = max(self._advanced_s, until_s)

    def _end_due_attempts(self, due_s: float) -> None:
        for shard_state in self._state_by_shard.values():
            for attempt in list(shard_state.attempt_by_task.values()):
                if attempt.remaining_s <= 1e-9:
                    _, status = self._run_time(attempt.command)
                    self._end(shard_state, attempt, status)
                    continue
                if shard_state.lease_until_s <= due_s:
                    self._end(shard_state, attempt, AttemptStatus.LAPSED)

    def _end(
        self,
        shard_state: WorkerShardState,
        attempt: Attempt,
        status: AttemptStatus,
        checkpoint: str = "",
    ) -> None:
        command = attempt.command
        del shard_state.attempt_by_task[command.task]
        attempt_id = AttemptId(command.task, command.attempt)
        shard_state.report_by_ended_attempt[attempt_id] = AttemptReport(
            command.task, command.attempt, status, checkpoint
        )
        self._record_event(str(status), command, self._advanced_s, checkpoint)

    def _record_event(
        self, kind: str, command: Command, at_s: float, checkpoint: str = ""
    ) -> None:
        self.records.append(
            WorkerEvent(
                at_s,
                self.name,
                kind,
                command.task,
                command.attempt,
                command.needs,
                checkpoint,
            )
        )

    def _running(self, shard_state: WorkerShardState) -> list[AttemptReport]:
        reports = []
        for attempt in shard_state.attempt_by_task.values():
            command = attempt.command
            reports.append(
                AttemptReport(
                    command.task,
                    command.attempt,
                    AttemptStatus.RUNNING,
                    processors_milli=int(command.needs.processors_milli * attempt.rate),
                )
            )
        return reports
