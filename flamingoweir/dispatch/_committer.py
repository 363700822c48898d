"""Writes changes to the store, then acts on what has become durable."""

import dataclasses
from dataclasses import dataclass, field

import anyio

from ..clock import CLOCK_DRIFT
from ..fleet import RUNNER_LEASE_S, Runner
from ..jobs import (
    FINAL_STATES,
    Attempt,
    Job,
    StateRecord,
    Suspicion,
    TaskId,
    encode_state,
    encode_tasks,
    fit_state,
)
from ..logs import get_logger
from ..ownership import (
    EFFECT_TABLE,
    LEASE_VALID_S,
    SHORT_LEASE_VALID_S,
    Backlog,
    find_job_of_row,
    longest_lease_s,
    state_row,
    tasks_row,
)
from ..registry import TableFollower
from ..storage import RowId, StoreRejected
from ._context import TermContext
from ._effect_store import EffectStore
from ._missing_runners import ENTRY_BYTES
from ._orders import OrderSender
from ._stored_rows import StoredRows

log = get_logger()

#: Seconds between writes of an owner without changes. A standby takes over after four
#: of these intervals.
RENEW_INTERVAL_S = 0.4
#: Largest age, in seconds, of the owner's copy of the jobs for a count of those that
#: wait. A reported count must include jobs that were accepted 5 s before; 1.9 s of that
#: are for the age of the count that an instance has read, and 1.1 s for the write.
MAX_JOBS_AGE_S = 2.0
#: Seconds between two confirmed writes after which leases were not renewed in full, so
#: that they are renewed at once.
FULL_LEASES_S = LEASE_VALID_S - RUNNER_LEASE_S
#: Largest total length of what the owner row says of the ends of leases. A row has at
#: most 64 KiB.
MAX_NAMED_LEASE_BYTES = 33_000
#: Seconds after which the leases that an owner may grant have lapsed.
LONGEST_LEASE_S = longest_lease_s(LEASE_VALID_S)
#: Largest `Runner.leases_left_ms` of leases that surely end by then, with a millisecond
#: for rounding.
USUAL_LEFT_MS = 1000 * (1 - CLOCK_DRIFT) * LONGEST_LEASE_S - 1
#: Longest time in seconds for which the first write waits for runners to respond.
FIRST_RESPONSES_S = 0.1
#: Seconds between checks whether they have.
FIRST_RESPONSES_POLL_S = 0.005


@dataclass(slots=True)
class _Batch:
    """The rows of one write, and what to act on once it is durable."""

    puts: list[tuple[RowId, bytes]] = field(default_factory=list)
    deletes: list[RowId] = field(default_factory=list)
    starts: list[Attempt] = field(default_factory=list)
    received_ends: list[tuple[Runner, int | None, int]] = field(default_factory=list)
    ended_jobs: list[str] = field(default_factory=list)


class Committer:
    """Writes changes of the owner's state, one batch after another.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    orders : OrderSender
        Sends the start orders of attempts that have become durable.
    job_follower : TableFollower
        Follows the table of jobs.
    effect_store : EffectStore
        Provides the row of learnt effects to be written.
    """

    def __init__(
        self,
        context: TermContext,
        orders: OrderSender,
        job_follower: TableFollower,
        effect_store: EffectStore,
    ):
        self._context = context
        self._job_follower = job_follower
        self._effect_store = effect_store
        self._owner_state = context.owner_state
        self._writer = context.writer
        self._orders = orders
        self._stored_rows_by_job: dict[str, StoredRows] = {}

    def record_row(self, job: str, row: tuple[int, int, int]) -> None:
        """Record that a task row is in the store, to delete it later."""
        self._stored_rows_by_job.setdefault(job, StoredRows()).add(row)

    async def run(self) -> None:
        """Write changes until the ownership is lost.

        Raises
        ------
        OwnershipLost
            If another instance may own the shard.
        """
        self._writer.count_backlog = self._count_backlog
        self._writer.list_named_leases = self._list_named_leases
        self._writer.list_late_starts = lambda: (
            self._owner_state.late_starts.list_left_s(
                self._owner_state.runner_by_id, self._context.clock.now()
            )
        )
        self._writer.list_late_run_hashes = (
            self._owner_state.late_starts.list_run_hashes
        )
        self._writer.list_unanswered_starts = lambda: (
            self._owner_state.late_starts.list_unanswered_left_s(
                self._context.clock.now()
            )
        )
        self._writer.list_bound_tasks = self._owner_state.late_runs.list_bound
        self._writer.find_max_job_bytes = self._owner_state.parking.find_max_job_bytes
        await self._wait_for_responses()
        self._writer.grants_leases = True
        # The first write allows the leases that the first polls renew.
        self._owner_state.write_wakeup.set()
        while True:
            await self._owner_state.write_wakeup.wait(RENEW_INTERVAL_S)
            batch = self._collect()
            confirmed_s = self._writer.confirmed_s
            rejected = await self._writer.commit(batch.puts, batch.deletes)
            was_away = self._writer.confirmed_s - confirmed_s > FULL_LEASES_S
            if was_away or self._owner_state.renewal_awaits_write:
                self._owner_state.renewal_awaits_write = False
                self._orders.leases.renew_all()
            self._set_aside_rejected(batch, rejected)
            self._apply_committed(batch)

    def _set_aside_rejected(self, batch: _Batch, rejected: list[RowId]) -> None:
        """Set aside the jobs whose rows the store rejects; others go on.

        Ends of their tasks aren't durable. None is acknowledged before the next write,
        which has the record that nothing of these jobs may run any more.
        """
        if not rejected:
            return
        batch.received_ends.clear()
        rejected_ids = set()
        for row in rejected:
            log.error("row_rejected", table=row.table, part=row.part, key=row.key)
            self._context.metrics.incr("rows_rejected")
            if row.table == EFFECT_TABLE:
                self._effect_store.record_rejected()
            rejected_ids.add(find_job_of_row(row))
        batch.ended_jobs = [job for job in batch.ended_jobs if job not in rejected_ids]
        for job_id in rejected_ids:
            job = self._owner_state.job_by_id.get(job_id)
            if job is not None:
                error = StoreRejected("the store takes no row of the job")
                self._owner_state.set_aside_job(job, "job_row_rejected", error)
        self._owner_state.write_wakeup.set()

    async def _wait_for_responses(self) -> None:
        """Wait a moment until runners with attempts have responded to this owner.

        The next write then allows full leases on them; it would allow none beyond those
        of earlier owners, and another write would have to follow.
        """
        until_s = self._context.clock.now() + FIRST_RESPONSES_S
        while self._context.clock.now() < until_s:
            if not any(map(_awaits_response, self._owner_state.runner_by_id.values())):
                return
            await anyio.sleep(FIRST_RESPONSES_POLL_S)

    def _count_backlog(self) -> Backlog | None:
        """Return the jobs that wait; None if this owner may not know all of them."""
        age_s = self._context.clock.now() - self._job_follower.last_synced_s
        if age_s > MAX_JOBS_AGE_S:
            return None
        return Backlog(
            self._owner_state.waiting_by_queue(),
            limit_by_customer=self._owner_state.customer_load.limit_by_customer,
        )

    def _list_named_leases(self) -> dict[str, float]:
        """Return in how many seconds leases have lapsed, by runner, for the owner row.

        These are leases on runners with attempts that leave, are unresponsive, or have
        not responded to this owner yet. A runner that does not respond is granted
        nothing, whoever owns the shard; if it responds again, the next row says so
        before a lease is granted there. Leases that calls to a former incarnation may
        have extended are named if they may end after all others.
        """
        now_s = self._context.clock.now()
        unusual = self._find_unusual_leases()
        left_s_by_runner = self._list_long_leases(unusual, now_s)
        published_bytes = 0
        for runner_id in left_s_by_runner:
            published_bytes += len(runner_id.encode()) + ENTRY_BYTES
        for runner in unusual:
            if not runner.has_short_leases(now_s):
                continue
            if runner.id in left_s_by_runner:
                continue
            published_bytes += len(runner.id.encode()) + ENTRY_BYTES
            if published_bytes > MAX_NAMED_LEASE_BYTES:
                break
            least_s = longest_lease_s(SHORT_LEASE_VALID_S) if runner.responds else 0.0
            left_s = max(runner.lapses_in_s(now_s), least_s)
            left_s_by_runner[runner.id] = round(left_s, 3)
        return left_s_by_runner

    def _list_long_leases(
        self, runners: list[Runner], now_s: float
    ) -> dict[str, float]:
        """Return when leases have lapsed that end after all that an owner may grant.

        Those for which the row has no room raise its bound for all runners.
        """
        left_s_by_runner = {}
        published_bytes = 0
        unnamed_s = 0.0
        for runner in runners:
            left_s = round(runner.lapses_in_s(now_s), 3)
            if left_s <= LONGEST_LEASE_S:
                continue
            published_bytes += len(runner.id.encode()) + ENTRY_BYTES
            if published_bytes > MAX_NAMED_LEASE_BYTES:
                unnamed_s = max(unnamed_s, left_s)
                continue
            left_s_by_runner[runner.id] = left_s
        self._writer.unnamed_leases_end_in_s = unnamed_s
        return left_s_by_runner

    def _find_unusual_leases(self) -> list[Runner]:
        """Return the runners with attempts whose leases may be short or long."""
        # This looks at all runners at each write; most have usual leases.
        unusual = [
            runner
            for runner in self._owner_state.runner_by_id.values()
            if runner.leases_left_ms > USUAL_LEFT_MS
            or runner.unresponsive_since_s is not None
            or runner.leaving
            or runner.incarnation is None
        ]
        return [runner for runner in unusual if runner.has_attempts]

    def _collect(self) -> _Batch:
        batch = _Batch()
        changed, self._owner_state.changed_job_ids = (
            self._owner_state.changed_job_ids,
            set(),
        )
        batch.starts, self._owner_state.pending_starts = (
            self._owner_state.pending_starts,
            [],
        )
        for job_id in changed:
            job = self._owner_state.job_by_id.get(job_id)
            if job is not None:
                self._collect_or_set_aside(job, batch)
        self._collect_set_aside(batch)
        effects = None
        with self._owner_state.fault_log.contain("effects_not_written"):
            effects = self._effect_store.take_row()
        if effects is not None:
            batch.puts.append(effects)
        expired, self._owner_state.expired_job_ids = (
            self._owner_state.expired_job_ids,
            [],
        )
        for job_id in expired:
            batch.deletes.append(state_row(self._writer.shard, job_id))
        for runner in self._owner_state.runner_by_id.values():
            if runner.ends.received > runner.ends.durable:
                batch.received_ends.append(
                    (runner, runner.incarnation, runner.ends.received)
                )
        return batch

    def _collect_or_set_aside(self, job: Job, batch: _Batch) -> None:
        """Add the changes of a job; set the job aside if they can't be written."""
        of_job = _Batch()
        try:
            self._collect_job(job, of_job)
            self._check_sizes(of_job)
        except Exception as error:
            self._owner_state.set_aside_job(job, "job_commit_failed", error)
            return
        batch.puts += of_job.puts
        batch.deletes += of_job.deletes
        batch.ended_jobs += of_job.ended_jobs

    def _check_sizes(self, batch: _Batch) -> None:
        """Raise an error for a row that the store would refuse, with all others."""
        max_bytes = self._writer.max_row_bytes
        for row, value in batch.puts:
            if len(value) > max_bytes:
                raise ValueError(
                    f"row {row.key!r} of table {row.table!r} has {len(value)} bytes, "
                    f"and the store takes {max_bytes}"
                )

    def _collect_set_aside(self, batch: _Batch) -> None:
        records = self._owner_state.set_aside_by_job
        self._owner_state.set_aside_by_job = {}
        for job_id, record in records.items():
            if record.state in FINAL_STATES:
                ended_ms = round(self._context.wall_ms())
                record = dataclasses.replace(record, ended_ms=ended_ms)
            row = state_row(self._writer.shard, job_id)
            batch.puts.append((row, encode_state(record)))

    def _collect_job(self, job: Job, batch: _Batch) -> None:
        shard = self._writer.shard
        job_id = job.spec.id
        finished = job.state in FINAL_STATES and not job.attempt_count
        if not finished:
            self._collect_tasks(job, batch)
        if job.state_changed:
            self._collect_state(job, batch)
        if not finished:
            return
        stored = self._stored_rows_by_job.pop(job_id, StoredRows())
        for row in stored.take_all():
            batch.deletes.append(tasks_row(shard, job_id, row))
        batch.ended_jobs.append(job_id)

    def _collect_state(self, job: Job, batch: _Batch) -> None:
        job_id = job.spec.id
        job.state_changed = False
        ended_ms = round(self._context.wall_ms()) if job.is_final else 0
        record = StateRecord(
            job.state,
            ended_ms,
            job.crash_blame.blame_by_task,
            closed_occurrences=job.closed_occurrences.ranges,
            suspicion_by_run=self._find_suspicions(job),
            customer=job.spec.customer,
        )
        row = state_row(self._writer.shard, job_id)
        batch.puts.append((row, self._encode_state(job_id, record)))
        log.info("job_state", job=job_id, queue=job.spec.queue, state=job.state)

    def _encode_state(self, job_id: str, record: StateRecord) -> bytes:
        fitted = fit_state(record, self._writer.max_row_bytes)
        if fitted != record:
            log.warning(
                "job_state_shortened",
                job=job_id,
                blamed=len(record.blame_by_task),
                blamed_kept=len(fitted.blame_by_task),
                suspected=len(record.suspicion_by_run),
                suspected_kept=len(fitted.suspicion_by_run),
            )
            self._context.metrics.incr("job_states_shortened")
        return encode_state(fitted, self._writer.max_row_bytes)

    def _find_suspicions(self, job: Job) -> dict[tuple[TaskId, int], Suspicion]:
        """Return the suspicions of a job that still count, by the wall clock."""
        if job.is_final:
            return {}
        now_s = self._context.clock.now()
        wall_s = self._context.wall_ms() / 1000
        suspicion_by_run = {}
        for run, suspicion in job.crash_blame.suspicion_by_run.items():
            left_s = suspicion.until_s - now_s
            if left_s > 0:
                suspicion_by_run[run] = dataclasses.replace(
                    suspicion, until_s=wall_s + left_s
                )
        return suspicion_by_run

    def _collect_tasks(self, job: Job, batch: _Batch) -> None:
        """Add changed tasks, and drop those of finished occurrences.

        The state row names closed occurrences, so that their rows are not needed any
        more. It is written before or with the deletion of rows.
        """
        shard, job_id = self._writer.shard, job.spec.id
        if job.is_final and not job.state_changed:
            # The state is durable, so that all runs are stopped. The next owner takes
            # those that have ended for runs to be stopped, and finds none.
            job.changed_rows.clear()
            return
        for row in job.changed_rows:
            self.record_row(job_id, row)
        stored = self._stored_rows_by_job.get(job_id)
        closing = job.choose_closing()
        max_bytes = self._writer.max_row_bytes
        for row in job.changed_rows:
            if row[0] in closing and not stored.is_latest(row[0]):
                continue
            value = encode_tasks(job, row, max_bytes)
            batch.puts.append((tasks_row(shard, job_id, row), value))
        job.changed_rows.clear()
        job.close(closing)
        if not job.closed_occurrences or stored is None:
            return
        for row in stored.take_closed(job.closed_occurrences):
            batch.deletes.append(tasks_row(shard, job_id, row))

    def _apply_committed(self, batch: _Batch) -> None:
        for attempt in batch.starts:
            self._orders.start(attempt)
        for runner, incarnation, number in batch.received_ends:
            if runner.incarnation == incarnation:
                runner.ends.record_durable(number)
                runner.poll_wakeup.set()
        for job_id in batch.ended_jobs:
            self._owner_state.record_ended_job(job_id, round(self._context.wall_ms()))


def _awaits_response(runner: Runner) -> bool:
    """Return whether the first poll of a runner with attempts is under way."""
    if not runner.has_attempts or not runner.entry.address:
        return False
    return runner.incarnation is None and runner.unresponsive_since_s is None
