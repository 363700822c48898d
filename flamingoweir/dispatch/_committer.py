"""Writes what has changed, then lets go what had to be durable first."""

from dataclasses import dataclass, field

from ..fleet import Runner
from ..jobs import FINAL_STATES, Attempt, Job, encode_state, encode_tasks
from ..logs import get_logger
from ..ownership import Backlog, state_row, tasks_row
from ..storage import RowId
from ._context import TermContext
from ._orders import Orders

log = get_logger()

#: Seconds between writes of an owner that has nothing to write; a standby takes
#: over after four of them.
RENEW_S = 0.4


@dataclass(slots=True)
class _Batch:
    puts: list[tuple[RowId, bytes]] = field(default_factory=list)
    deletes: list[RowId] = field(default_factory=list)
    starts: list[Attempt] = field(default_factory=list)
    seen: list[tuple[Runner, int | None, int]] = field(default_factory=list)
    ended_jobs: list[str] = field(default_factory=list)


class Committer:
    """The owner's only writer: one batch after another.

    Parameters
    ----------
    context : TermContext
        The term.
    orders : Orders
        Sends starts that have become durable.
    """

    def __init__(self, context: TermContext, orders: Orders):
        self._context = context
        self._book = context.owner_state
        self._writer = context.writer
        self._orders = orders
        self._rows_by_job: dict[str, set[tuple[int, int, int]]] = {}

    def note_rows(self, job: str, row: tuple[int, int, int]) -> None:
        """Note a row of tasks that is in the store, so that it is deleted once."""
        self._rows_by_job.setdefault(job, set()).add(row)

    async def run(self) -> None:
        """Write until the ownership is lost; raises OwnershipLost."""
        while True:
            await self._book.unwritten.wait(RENEW_S)
            batch = self._collect()
            self._writer.backlog = Backlog(self._book.waiting_by_queue())
            await self._writer.commit(batch.puts, batch.deletes)
            self._release(batch)

    def _collect(self) -> _Batch:
        batch = _Batch()
        changed, self._book.changed_jobs = self._book.changed_jobs, set()
        batch.starts, self._book.pending_starts = self._book.pending_starts, []
        for job_id in changed:
            job = self._book.job_by_id.get(job_id)
            if job is not None:
                self._collect_job(job, batch)
        expired, self._book.expired_states = self._book.expired_states, []
        for job_id in expired:
            batch.deletes.append(state_row(self._writer.shard, job_id))
        for runner in self._book.runner_by_id.values():
            if runner.seen > runner.acknowledged:
                batch.seen.append((runner, runner.incarnation, runner.seen))
        return batch

    def _collect_job(self, job: Job, batch: _Batch) -> None:
        shard = self._writer.shard
        job_id = job.spec.id
        over = job.state in FINAL_STATES and not any(job.attempts())
        if job.state_changed:
            job.state_changed = False
            ended_ms = round(self._context.wall_ms()) if job.is_final else 0
            value = encode_state(job.state, ended_ms)
            batch.puts.append((state_row(shard, job_id), value))
            log.info("job_state", job=job_id, queue=job.spec.queue, state=job.state)
        if not over:
            for row in job.changed_rows:
                value = encode_tasks(job, row)
                batch.puts.append((tasks_row(shard, job_id, row), value))
                self.note_rows(job_id, row)
            job.changed_rows.clear()
            return
        for row in self._rows_by_job.pop(job_id, ()):
            batch.deletes.append(tasks_row(shard, job_id, row))
        batch.ended_jobs.append(job_id)

    def _release(self, batch: _Batch) -> None:
        for attempt in batch.starts:
            self._orders.start(attempt)
        for runner, incarnation, seen in batch.seen:
            if runner.incarnation == incarnation:
                runner.acknowledged = max(runner.acknowledged, seen)
                runner.changed.set()
        for job_id in batch.ended_jobs:
            self._book.forget_job(job_id, round(self._context.wall_ms()))
