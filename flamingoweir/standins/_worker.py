"""A worker in memory: leases, fence, guards, checkpoints, inventory."""

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
    """One line of the worker's own record.

    Attributes
    ----------
    at_s : float
        When it happened.
    worker : str
        The worker's name.
    kind : str
        ``start``, or how the attempt ended.
    task, attempt : str, int
        The attempt.
    needs : Resources
        What it took.
    checkpoint : str
        What it resumed from, or the checkpoint that it left.
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
    """An attempt that runs."""

    command: Command
    shard: str
    remaining_s: float
    rate: float = 1.0


@dataclass(slots=True)
class ShardFence:
    """What the worker knows of one shard."""

    epoch: int = 0
    lease_until_s: float = 0.0
    by_task: dict[str, Attempt] = field(default_factory=dict)
    ended: dict[AttemptId, AttemptReport] = field(default_factory=dict)


#: How long a task runs alone, and how it then ends.
RunTime = Callable[[Command], tuple[float, AttemptStatus]]


class StandinWorker:
    """A worker whose tasks take as long as ``run_time`` says.

    Parameters
    ----------
    name : str
        The worker's name.
    capacity : Resources
        What it has; its guards refuse what would exceed that.
    clock : Clock
        The worker's own clock.
    run_time : callable
        Gives for a START command the run time in seconds and how it ends.
    objects : MemoryObjectStore
        Where checkpoints are stored.
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
        """End every attempt and forget everything."""
        self.advance()
        for fence in self._by_shard.values():
            for attempt in fence.by_task.values():
                self._note("killed", attempt.command, self._clock.now())
        self._by_shard.clear()
        self._lives += 1

    def exchange(self, message: WorkerExchange) -> WorkerReport:
        """Take an exchange and report; see `WorkerExchange`."""
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
        """Bring attempts up to the present: some end, some lose their lease."""
        now_s = self._clock.now()
        while True:
            due = self._next_end(now_s)
            if due is None:
                break
            self._progress(due)
            self._end_due(due)
        self._progress(now_s)

    def unacknowledged(self) -> int:
        """Return how many ended attempts have not been acknowledged."""
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
