"""The owner of a shard: a loop that decides, commits, then informs workers."""

import anyio
import orjson

from ..interference import INTERFERENCE_POLICY_BY_NAME, InterferenceController
from ..logs import get_logger
from ..storage import (
    Instance,
    InstanceKind,
    Precondition,
    TableUnavailable,
    Write,
)
from ..upstreams import AttemptId, AttemptStatus, CommandKind
from ..wakeup import Wakeup
from ._assignment import Assignment, AssignmentState, AttemptEnd
from ._colocated_worker import SessionColocatedWorker
from ._context import OwnerContext
from ._events import (
    Event,
    JobCancelled,
    JobForgotten,
    TaskAssigned,
    TaskEnded,
    TasksMovedOut,
    TasksRestored,
    encode_events,
)
from ._inbox import Inbox
from ._job import Job, JobKind, Task, TaskState, split_task_id
from ._journal import Journal, OwnershipLost
from ._keys import inbox_key, outcome_key, shard_of_worker
from ._outcome import Outcome
from ._pending_commit import PendingCommit
from ._placer import Placer
from ._scaler import ServiceScaler
from ._session import CRASH_WINDOW_S, WorkerSession
from ._session_table import SessionTable
from ._state import ShardState
from ._zones import ZoneMover

log = get_logger()

FAILURE_BACKOFF_S = 1.0
MAX_FAILURE_BACKOFF_S = 60.0
#: Number of crashes after which the tasks that were on the worker start in turn.
CRASHES_TO_SEPARATE = 2
#: Seconds between the starts of such tasks. It exceeds `CRASH_WINDOW_S`, so that the
#: next crash counts for one of them only.
SEPARATION_S = CRASH_WINDOW_S + 5.0


class ShardOwner:
    """Schedules the tasks of one shard while its lease permits commands.

    Parameters
    ----------
    context : OwnerContext
        Settings and components of the instance.
    journal : Journal
        Journal of the shard, already acquired.
    state : ShardState
        State of the shard, recovered from the journal.
    inherited_lapse_s : float
        Time on the owner's clock, in seconds, by which all worker leases granted by
        earlier owners have lapsed.

    Attributes
    ----------
    sessions : SessionTable
        Sessions with the workers of the shard.
    uncommitted_outcome_by_job : dict of str to Outcome
        Outcomes of ended jobs that the current commit writes, by job id.
    interference : InterferenceController
        Throttles and evicts batch tasks that slow services.
    placer : Placer
        Places queued tasks.
    """

    def __init__(
        self,
        context: OwnerContext,
        journal: Journal,
        state: ShardState,
        inherited_lapse_s: float,
    ):
        self.context = context
        self.journal = journal
        self.state = state
        self.sessions = SessionTable()
        self.uncommitted_outcome_by_job: dict[str, Outcome] = {}
        self.interference = InterferenceController(
            INTERFERENCE_POLICY_BY_NAME[context.scheduling.interference],
            context.clock,
            context.metrics,
        )
        self.placer = Placer(context, state, self.sessions, self.interference)
        self._scaler = ServiceScaler(context, state, self.sessions)
        self._zone_mover = ZoneMover(context, state, self.sessions)
        self._inherited_lapse_s = inherited_lapse_s
        self._wakeup = Wakeup()
        self._inbox = Inbox(context)
        self._snapshot_due_s = float("-inf")
        self._directory_revision = -1
        self._stopping = False

    def nudge(self) -> None:
        """Read the inbox in the next tick."""
        self._inbox.nudge()
        self._wakeup.set()

    def stop(self) -> None:
        """Finish the current tick and return from `run`."""
        self._stopping = True
        self._wakeup.set()

    def count_running(self, service: str) -> int:
        """Return the number of running tasks of a service in this shard."""
        return self._scaler.count_running(service)

    async def run(self) -> None:
        """Schedule tasks until `stop` is called.

        Raises
        ------
        OwnershipLost
            If the right to command workers expired or another instance owns the shard.
        """
        async with anyio.create_task_group() as tasks:
            self._adopt_assignments(tasks)
            tasks.start_soon(self._monitor, tasks.cancel_scope)
            while not self._stopping:
                self._sync_sessions(tasks)
                await self._tick()
                await self._wakeup.wait(self._max_wait_s())
                await anyio.sleep(self.context.timings.tick_s)
            tasks.cancel_scope.cancel()
        if not self._stopping:
            raise OwnershipLost(
                "the right to command workers expired or a worker accepted a new owner"
            )

    async def _monitor(self, scope: anyio.CancelScope) -> None:
        """Request ends of attempts and cancel the owner when the shard is lost.

        This runs beside the ticks, as a commit may last as long as an outage of the
        store.
        """
        while self.journal.lease.may_command() and not self.sessions.any_fenced():
            self._stop_cancelled()
            self._zone_mover.evict()
            self._monitor_services()
            await anyio.sleep(self.context.timings.poll_s)
        scope.cancel()

    def _monitor_services(self) -> None:
        if not self.interference.is_active:
            return
        for session in self.sessions.session_by_worker.values():
            if session.service_count and session.view.reachable:
                self.interference.control_worker(
                    SessionColocatedWorker(session, self.context.clock)
                )

    def _max_wait_s(self) -> float:
        timings = self.context.timings
        return min(timings.poll_s, timings.shard_lease_s / 3)

    async def _tick(self) -> None:
        pending = PendingCommit()
        self._process_ends(pending)
        await self._process_inbox(pending)
        for event in self._scaler.decide():
            self._apply(pending, event)
        self._move_tasks_out(pending)
        self._withdraw_unsent(pending)
        self._place(pending)
        self._record_outcomes(pending)
        if not pending.is_empty() or self.journal.lease.is_renewal_due():
            await self.journal.commit(
                pending.events, pending.preconditions, pending.writes
            )
        self._publish(pending)
        await self._save_snapshot()

    def _apply(self, pending: PendingCommit, event: Event) -> None:
        self.state.apply(event)
        pending.events.append(event)

    def _process_ends(self, pending: PendingCommit) -> None:
        separated_count = 0
        for end in self.sessions.collect_ends():
            pending.ended_attempts.append(
                (end.worker, AttemptId(end.task, end.attempt))
            )
            name, index = split_task_id(end.task)
            job = self.state.job_by_id.get(name)
            task = job.task_by_index.get(index) if job else None
            if task is not None and end.status is AttemptStatus.DONE:
                self._withdraw_retry(pending, job, task, end)
            if task is None or task.attempt != end.attempt:
                continue
            is_late_success = (
                task.state is TaskState.QUEUED and end.status is AttemptStatus.DONE
            )
            if task.state is not TaskState.ASSIGNED and not is_late_success:
                continue
            self._apply(
                pending,
                TaskEnded(
                    name,
                    index,
                    end.attempt,
                    end.status,
                    end.checkpoint,
                    end.detail,
                    end.crashed,
                ),
            )
            self._record_end(job, task, end)
            if end.crashed and task.crashes >= CRASHES_TO_SEPARATE:
                self._delay_start(task, task.crashes, SEPARATION_S * separated_count)
                separated_count += 1

    def _withdraw_retry(
        self, pending: PendingCommit, job: Job, task: Task, end: AttemptEnd
    ) -> None:
        """Withdraw the next attempt if the previous one completed after all.

        This is possible only while the next attempt has not been sent to its worker.
        """
        if task.state is not TaskState.ASSIGNED or task.attempt != end.attempt + 1:
            return
        session = self.sessions.session_by_worker.get(task.worker)
        if session is None or not session.withdraw(end.task):
            return
        detail = "withdrawn: the previous attempt completed"
        ended = TaskEnded(
            job.spec.id, task.index, task.attempt, AttemptStatus.STOPPED, "", detail
        )
        self._apply(pending, ended)
        completed = TaskEnded(job.spec.id, task.index, end.attempt, AttemptStatus.DONE)
        self._apply(pending, completed)

    def _record_end(self, job: Job, task: Task, end: AttemptEnd) -> None:
        self.context.metrics.incr(f"attempts.{end.status}")
        log.info(
            "attempt_ended",
            shard=self.context.shard,
            task=end.task,
            attempt=end.attempt,
            worker=end.worker,
            status=str(end.status),
            detail=end.detail,
        )
        self.placer.health.record_end(end, job.spec)
        if end.status is AttemptStatus.DONE and end.ran_s and not task.checkpoint:
            self.placer.run_times.record(job.spec.job_class, end.ran_s)
        if end.status in (AttemptStatus.FAILED, AttemptStatus.REFUSED):
            self._delay_start(task, task.failures)

    def _delay_start(self, task: Task, failures: int, extra_s: float = 0.0) -> None:
        """Delay the next start; the delay doubles with each failure."""
        backoff_s = min(
            FAILURE_BACKOFF_S * 2 ** min(failures, 10), MAX_FAILURE_BACKOFF_S
        )
        task.not_before_s = self.context.clock.now() + backoff_s + extra_s

    async def _process_inbox(self, pending: PendingCommit) -> None:
        for item in await self._inbox.read():
            for event in item.events:
                is_unknown_job = (
                    isinstance(event, JobCancelled)
                    and event.job not in self.state.job_by_id
                )
                if not is_unknown_job:
                    self._apply(pending, event)
            pending.preconditions.append(Precondition(item.row.key, item.row.version))
            pending.writes.append(Write(item.row.key, None))

    def _stop_cancelled(self) -> None:
        for session in self.sessions.session_by_worker.values():
            for assignment in list(session.assignment_by_task.values()):
                job = self.state.job_by_id.get(assignment.spec.id)
                if job is None or not job.is_cancelled(assignment.index):
                    continue
                session.request_end(assignment.task, CommandKind.STOP, "cancelled")

    def _move_tasks_out(self, pending: PendingCommit) -> None:
        for move in self._zone_mover.decide_moves():
            job = self.state.job_by_id[move.job]
            tasks = [job.task_by_index[index].copy_for_move() for index in move.indexes]
            restored = TasksRestored(job.spec, tasks)
            self._apply(pending, TasksMovedOut(move.job, move.indexes, move.to_shard))
            key = inbox_key(
                move.to_shard,
                f"move-{self.context.shard}-{self.journal.epoch}-{move.number}",
            )
            pending.writes.append(Write(key, encode_events([restored])))
            log.info(
                "tasks_moved",
                job=move.job,
                tasks=len(move.indexes),
                shard=self.context.shard,
                to_shard=move.to_shard,
            )

    def _withdraw_unsent(self, pending: PendingCommit) -> None:
        for session in self.sessions.session_by_worker.values():
            for assignment in list(session.assignment_by_task.values()):
                if assignment.state is not AssignmentState.UNSENT:
                    continue
                if not self._should_withdraw(session, assignment):
                    continue
                session.withdraw(assignment.task)
                self._apply(
                    pending,
                    TaskEnded(
                        assignment.spec.id,
                        assignment.index,
                        assignment.attempt,
                        AttemptStatus.STOPPED,
                        detail="withdrawn before it was sent",
                    ),
                )

    def _should_withdraw(self, session: WorkerSession, assignment: Assignment) -> bool:
        """Return whether an unsent assignment must be withdrawn.

        That is the case if the end of the attempt was requested, the zone is out of
        service, the worker is leaving or quarantined, or the worker has not responded
        for three heartbeat periods.
        """
        if assignment.end_command is not None:
            return True
        if not self.context.tree.is_zone_open(self.context.zone):
            return True
        if session.instance.leaving or self.placer.health.is_quarantined(
            session.instance.name
        ):
            return True
        unresponsive_s = self.context.clock.now() - session.view.unresponsive_since_s
        return unresponsive_s > 3 * self.context.timings.heartbeat_s

    def _place(self, pending: PendingCommit) -> None:
        self.placer.update_zone_state()
        if not self.context.fleet.may_start(self.context.zone):
            return
        for placement in self.placer.place_tasks():
            job = self.state.job_by_id[placement.job]
            task = job.task_by_index[placement.index]
            event = TaskAssigned(
                placement.job, placement.index, placement.worker, task.attempt + 1
            )
            self._apply(pending, event)
            pending.assignments.append(
                (
                    placement.worker,
                    Assignment(
                        job.spec, placement.index, task.attempt, task.checkpoint
                    ),
                )
            )

    def _record_outcomes(self, pending: PendingCommit) -> None:
        for name, job in list(self.state.job_by_id.items()):
            if job.unfinished_count or job.spec.kind is JobKind.SERVICE:
                continue
            outcome = Outcome.from_job(job)
            self.uncommitted_outcome_by_job[name] = outcome
            self._apply(pending, JobForgotten(name))
            if not outcome.by_state:
                continue
            key = outcome_key(
                name,
                self.context.shard,
                f"{self.journal.epoch}-{self.journal.transactions}",
            )
            pending.writes.append(Write(key, orjson.dumps(outcome).decode()))
            log.info("job_ended_in_shard", job=name, shard=self.context.shard)

    def _publish(self, pending: PendingCommit) -> None:
        self.uncommitted_outcome_by_job.clear()
        for worker, identity in pending.ended_attempts:
            session = self.sessions.session_by_worker.get(worker)
            if session is not None:
                session.ends.mark_durable(identity)
        for worker, assignment in pending.assignments:
            self.context.metrics.incr("tasks.assigned")
            self.sessions.session_by_worker[worker].assign(assignment)

    async def _save_snapshot(self) -> None:
        now_s = self.context.clock.now()
        limit = self.context.scheduling.snapshot_entries
        if self.journal.entries_since_snapshot < limit or now_s < self._snapshot_due_s:
            return
        try:
            await self.journal.save_snapshot(self.state)
        except TableUnavailable:
            self._snapshot_due_s = now_s + self.context.timings.shard_lease_s

    def _adopt_assignments(self, tasks: anyio.abc.TaskGroup) -> None:
        """Add the assignments of earlier owners to the worker sessions."""
        self._sync_sessions(tasks)
        for job, task in self.state.assigned_tasks():
            session = self.sessions.session_by_worker.get(task.worker)
            if session is None:
                session = self._open_unlisted_session(task.worker, tasks)
            session.adopt(
                Assignment(job.spec, task.index, task.attempt, task.checkpoint)
            )

    def _open_unlisted_session(
        self, name: str, tasks: anyio.abc.TaskGroup
    ) -> WorkerSession:
        """Open a session for a worker that is no longer on the platform's list."""
        instance = Instance(
            name, InstanceKind.WORKER, self.context.zone, "", "127.0.0.1:9", True
        )
        return self._open_session(instance, tasks)

    def _sync_sessions(self, tasks: anyio.abc.TaskGroup) -> None:
        directory = self.context.directory
        if directory.revision == self._directory_revision:
            return
        self._directory_revision = directory.revision
        listed_workers = set()
        for worker in directory.of_kind(InstanceKind.WORKER, self.context.zone):
            shards = self.context.scheduling.shards_per_zone
            if shard_of_worker(worker, shards) != self.context.shard:
                continue
            listed_workers.add(worker.name)
            session = self.sessions.session_by_worker.get(worker.name)
            if session is None:
                self._open_session(worker, tasks)
                continue
            if session.instance.address != worker.address:
                session.replace_link(self.context.connect_worker(worker))
            session.update_instance(worker)
        for name, session in list(self.sessions.session_by_worker.items()):
            if name in listed_workers:
                continue
            session.mark_unlisted()
            if session.is_finished():
                del self.sessions.session_by_worker[name]

    def _open_session(
        self, worker: Instance, tasks: anyio.abc.TaskGroup
    ) -> WorkerSession:
        context = self.context
        session = WorkerSession(
            worker,
            context.connect_worker(worker),
            context.shard,
            self.journal.epoch,
            self.journal.lease,
            lambda: context.fleet.may_start(context.zone),
            self._wakeup.set,
            context.clock,
            context.timings,
            self._inherited_lapse_s,
            self.sessions.usage,
        )
        self.sessions.session_by_worker[worker.name] = session
        tasks.start_soon(session.run, name=f"worker {worker.name}")
        return session
