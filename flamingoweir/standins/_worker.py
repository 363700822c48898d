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
        The worker's name.
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
class ShardFence:
    """A worker's state for one shard.

    Attributes
    ----------
    epoch : int
        Highest fencing token received.
    lease_until_s : float
        End of the lease in seconds on the worker's clock.
    by_task : dict of str to Attempt
        Running attempts by task id.
    ended : dict of AttemptId to AttemptReport
        Reports of ended attempts that were not acknowledged.
    """

    epoch: int = 0
    lease_until_s: float = 0.0
    by_task: dict[str, Attempt] = field(default_factory=dict)
    ended: dict[AttemptId, AttemptReport] = field(default_factory=dict)


#: Returns for a START command the run time in seconds at full speed, and the status
#: at its end.
RunTime = Callable[[Command], tuple[float, AttemptStatus]]


class StandinWorker:
    """A worker whose attempts end after the run time given by `run_time`.

    Parameters
    ----------
    name : str
        The worker's name.
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
        self._lives = 1
        self._advanced_s = clock.now()
        self._by_shard: dict[str, ShardFence] = {}

    def restart(self) -> None:
        """Kill all attempts and drop the state of all shards."""
        self.advance()
        for fence in self._by_shard.values():
            for attempt in fence.by_task.values():
                self._note("killed", attempt.command, self._clock.now())
        self._by_shard.clear()
        self._lives += 1

    def exchange(self, message: WorkerExchange) -> WorkerReport:
        """Carry out an exchange and return the report; see `WorkerExchange`."""
        self.advance()
        fence = self._by_shard.setdefault(message.shard, ShardFence())
        fenced = message.epoch < fence.epoch
        fence.epoch = max(fence.epoch, message.epoch)
        accepted = not fenced and message.incarnation in ("", self._incarnation)
        if accepted and message.incarnation:
            self._take(fence, message)
        return WorkerReport(
            self._incarnation,
            self._clock.now(),
            fence.epoch,
            accepted,
            [*self._running(fence), *fence.ended.values()],
        )

    def advance(self) -> None:
        """Advance all attempts to the present; end those due or without a lease."""
        now_s = self._clock.now()
        while True:
            due = self._next_end(now_s)
            if due is None:
                break
            self._progress(due)
            self._end_due(due)
        self._progress(now_s)

    def unacknowledged(self) -> int:
        """Return the number of ended attempts that were not acknowledged."""
        return sum(len(fence.ended) for fence in self._by_shard.values())

    @property
    def _incarnation(self) -> str:
        return f"{self.name}:{self._lives}"

    def _take(self, fence: ShardFence, message: WorkerExchange) -> None:
        fence.lease_until_s = max(fence.lease_until_s, message.lease_until_s)
        for ended in message.acknowledged:
            fence.ended.pop(ended, None)
        for command in message.commands:
            attempt = fence.by_task.get(command.task)
            if command.kind is CommandKind.START:
                self._start(fence, message, command)
                continue
            if attempt is None or attempt.command.attempt != command.attempt:
                continue
            if command.kind is CommandKind.THROTTLE:
                attempt.rate = command.throttle_percent / 100
            if command.kind is CommandKind.STOP:
                self._end(fence, attempt, AttemptStatus.STOPPED)
            if command.kind is CommandKind.CHECKPOINT:
                self._checkpoint(fence, attempt)

    def _start(
        self, fence: ShardFence, message: WorkerExchange, command: Command
    ) -> None:
        identity = AttemptId(command.task, command.attempt)
        if command.task in fence.by_task or identity in fence.ended:
            return
        now_s = self._clock.now()
        if now_s > message.start_by_s or now_s >= fence.lease_until_s:
            self._refuse(fence, command, "late")
            return
        room = self.capacity
        for other in self._by_shard.values():
            for attempt in other.by_task.values():
                room = room - attempt.command.needs
        if not command.needs.fits_in(room):
            self._refuse(fence, command, "capacity")
            return
        total_s, _ = self._run_time(command)
        done_s = self._load_progress(command.resume_from)
        fence.by_task[command.task] = Attempt(command, message.shard, total_s - done_s)
        self._note("start", command, now_s, command.resume_from)

    def _refuse(self, fence: ShardFence, command: Command, detail: str) -> None:
        report = AttemptReport(
            command.task, command.attempt, AttemptStatus.REFUSED, detail=detail
        )
        fence.ended[AttemptId(command.task, command.attempt)] = report
        self.refusals.append(report)

    def _checkpoint(self, fence: ShardFence, attempt: Attempt) -> None:
        command = attempt.command
        total_s, _ = self._run_time(command)
        done_s = total_s - attempt.remaining_s
        name = f"checkpoint/{command.task}/{command.attempt}"
        if self._objects.down:
            return
        self._objects.by_name[name] = orjson.dumps({"done_s": done_s})
        self._end(fence, attempt, AttemptStatus.CHECKPOINTED, name)

    def _load_progress(self, name: str) -> float:
        content = self._objects.by_name.get(name)
        return orjson.loads(content)["done_s"] if content else 0.0

    def _next_end(self, now_s: float) -> float | None:
        ends = []
        for fence in self._by_shard.values():
            if fence.by_task:
                ends.append(fence.lease_until_s)
            for attempt in fence.by_task.values():
                if attempt.rate > 0:
                    ends.append(self._advanced_s + attempt.remaining_s / attempt.rate)
        due = min(ends, default=None)
        return due if due is not None and due <= now_s else None

    def _progress(self, until_s: float) -> None:
        passed_s = max(0.0, until_s - self._advanced_s)
        for fence in self._by_shard.values():
            for attempt in fence.by_task.values():
                attempt.remaining_s -= passed_s * attempt.rate
        self._advanced_s = max(self._advanced_s, until_s)

    def _end_due(self, due_s: float) -> None:
        for fence in self._by_shard.values():
            for attempt in list(fence.by_task.values()):
                if attempt.remaining_s <= 1e-9:
                    _, status = self._run_time(attempt.command)
                    self._end(fence, attempt, status)
                    continue
                if fence.lease_until_s <= due_s:
                    self._end(fence, attempt, AttemptStatus.LAPSED)

    def _end(
        self,
        fence: ShardFence,
        attempt: Attempt,
        status: AttemptStatus,
        checkpoint: str = "",
    ) -> None:
        command = attempt.command
        del fence.by_task[command.task]
        identity = AttemptId(command.task, command.attempt)
        fence.ended[identity] = AttemptReport(
            command.task, command.attempt, status, checkpoint
        )
        self._note(str(status), command, self._advanced_s, checkpoint)

    def _note(
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

    def _running(self, fence: ShardFence) -> list[AttemptReport]:
        reports = []
        for attempt in fence.by_task.values():
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
