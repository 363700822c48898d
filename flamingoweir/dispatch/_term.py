"""One term of an owner, from taking a shard until losing or releasing it."""

import dataclasses
from collections.abc import Callable

import anyio

from ..clock import Clock
from ..faults import Containment
from ..fleet import Runner
from ..jobs import (
    FINAL_STATES,
    StateRecord,
    Suspicion,
    TaskId,
    decode_state,
    restore_tasks,
)
from ..logs import get_logger
from ..metrics import Metrics
from ..ownership import (
    JOB_TABLE,
    FencedWriter,
    OwnershipLost,
    job_parts,
)
from ..policy import RETURN_WINDOW_S
from ..registry import (
    OperatorView,
    RowDecoder,
    RunnerEntry,
    RunnerView,
    TableFollower,
)
from ..storage import RowStore, VersionedRow
from ._carried_waits import CarriedWaits
from ._committer import RENEW_INTERVAL_S, Committer
from ._context import Permit, TermContext, TermEnd
from ._customer_report import CustomerReporter
from ._effect_store import EffectStore
from ._excluded_attempts import restore_excluded_attempts
from ._load_report import LoadReporter
from ._loader import JobLoader
from ._missing_runners import MissingRunners
from ._orders import OrderSender
from ._owner_state import OwnerState
from ._parked_jobs import ParkedJobLoader
from ._planner import Planner
from ._protocols import RunnerLink
from ._retention import RetentionSweeper
from ._shard_reader import ShardReader, ShardTables
from ._time_slice import TimeSlice
from ._watch import RunnerWatch

log = get_logger()

#: Seconds that a call of the owner's feeds waits for a change.
FEED_WAIT_S = 0.7
#: Seconds between checks whether a write was confirmed.
CONFIRMATION_POLL_S = 0.02
#: Longest time in seconds for which an owner renews the ownership of a shard whose
#: tables it has not read yet. After that, a standby takes the shard, which may read
#: them faster.
MAX_RESTORE_S = 8.0
#: Number of attempts of a job that are restored before the restoring gives way.
RESTORED_AT_ONCE = 500
#: Least number of stop orders that are handed over in a turn of the event loop.
STOPS_IN_A_TURN = 2_000


class Term:
    """Runs the loops of a shard's owner: restore, place, write, poll, expire.

    Parameters
    ----------
    writer : FencedWriter
        Writes to the store as the shard's owner.
    store : RowStore
        Store with the shard's tables.
    operators : OperatorView
        Configuration, evacuated zones and maintenance waves, shared with the rest of
        the instance.
    operator_follower : TableFollower
        Follows the table behind ``operators``.
    row_decoder : RowDecoder
        Decodes the rows that runners announce.
    runner_table : str
        Name of the table in which runners announce themselves.
    connect : callable
        Returns a link to the runner of an entry.
    clock : Clock
        Monotonic clock of this instance.
    wall_ms : callable
        Returns the wall-clock time in milliseconds since 1970.
    metrics : Metrics
        Receives counters.
    max_lease_s : float
        Longest lease that runners grant, in seconds.
    memory_mb : float
        Memory of the instance in megabytes.

    Attributes
    ----------
    owner_state : OwnerState
        Jobs, runners and attempts.
    failed : bool
        Whether an unexpected error has ended the term.
    """

    def __init__(
        self,
        writer: FencedWriter,
        store: RowStore,
        operators: OperatorView,
        operator_follower: TableFollower,
        row_decoder: RowDecoder,
        runner_table: str,
        connect: Callable[[RunnerEntry], RunnerLink],
        clock: Clock,
        wall_ms: Callable[[], float],
        metrics: Metrics,
        max_lease_s: float,
        memory_mb: float = 300.0,
    ):
        self.owner_state = OwnerState(
            clock,
            metrics,
            max_lease_s,
            writer.earlier_leases,
            memory_mb,
            MissingRunners(writer.former_missing_s_by_runner),
        )
        self.owner_state.fence = writer.fence
        self.owner_state.waits = CarriedWaits(
            clock, writer.former_waits, writer.former_written_s
        )
        writer.list_missing_runners = self._list_missing_runners
        writer.list_waits = self.owner_state.waits.list_waits
        self.owner_state.customer_load.find_configuration = lambda: (
            operators.configuration
        )
        self.failed = False
        self._writer = writer
        self._store = store
        self._runner_table = runner_table
        self._clock = clock
        self._term_end = TermEnd()
        runners = RunnerView(
            row_decoder, self._update_runners, clock, self.owner_state.fault_log
        )
        self._context = TermContext(
            writer,
            self.owner_state,
            operators,
            operator_follower,
            runners,
            connect,
            clock,
            wall_ms,
            metrics,
        )
        self._runner_follower = TableFollower(
            store,
            runner_table,
            ("",),
            FEED_WAIT_S,
            runners.apply_rows,
            clock,
            self.owner_state.fault_log,
        )
        self._loader = JobLoader(self.owner_state, wall_ms)
        self._job_follower = TableFollower(
            store,
            JOB_TABLE,
            job_parts(writer.shard),
            FEED_WAIT_S,
            self._loader.apply_rows,
            clock,
            self.owner_state.fault_log,
        )
        self._permit = Permit(self._context, self._runner_follower)
        self._link_by_runner: dict[str, RunnerLink] = {}
        self._runners_read = False
        #: Whether the shard was read and the term has not ended.
        self._is_running = False
        self._task_group: anyio.abc.TaskGroup | None = None
        self._orders: OrderSender | None = None

    async def run(self) -> str:
        """Run the owner's loops until the term ends; return why it ended.

        An unexpected error ends the term, and sets `failed`, but not the process, which
        also serves submitters.
        """
        reason = ""
        self._record_caps()
        unsubscribe = self._context.operators.subscribe(self._record_configuration)
        try:
            async with anyio.create_task_group() as task_group:
                self._task_group = task_group
                self._orders = OrderSender(
                    self._context,
                    self._permit,
                    self._term_end,
                    task_group,
                    self._link_by_runner,
                )
                task_group.start_soon(self._term_end.wait)
                effect_store = EffectStore(self._context, self._store)
                committer = Committer(
                    self._context, self._orders, self._job_follower, effect_store
                )
                task_group.start_soon(effect_store.restore)
                await self._restore_while_renewing(committer)
                self._is_running = True
                task_group.start_soon(committer.run)
                task_group.start_soon(self._runner_follower.run)
                task_group.start_soon(self._job_follower.run)
                task_group.start_soon(Planner(self._context, self._permit).run)
                task_group.start_soon(self._orders.leases.run)
                task_group.start_soon(self._send_stops)
                task_group.start_soon(RetentionSweeper(self._context, self._store).run)
                parked_jobs = ParkedJobLoader(self._context, self._store, self._loader)
                task_group.start_soon(parked_jobs.run)
                task_group.start_soon(
                    LoadReporter(self._context, self._job_follower).run
                )
                task_group.start_soon(CustomerReporter(self._context).run)
        except* OwnershipLost as group:
            reason = str(group.exceptions[0])
        except* Exception as group:
            self.failed = True
            reason = reason or f"unexpected error: {group.exceptions[0]!r}"
            log.error("term_failed", shard=self._writer.shard, exc_info=group)
        finally:
            unsubscribe()
        self._is_running = False
        log.info("term_ended", shard=self._writer.shard, reason=reason)
        with anyio.CancelScope(shield=True):
            for link in self._link_by_runner.values():
                await link.aclose()
        return reason

    async def leave(self, max_wait_s: float) -> None:
        """End the term for a shutdown, once the store has confirmed another write.

        While the store is away the shard can't be released, and no other instance can
        take it: this owner goes on renewing the leases, so that the tasks survive. An
        owner that has not read the shard yet renews none, and ends its term at once.

        Parameters
        ----------
        max_wait_s : float
            Seconds after which the term ends in any case.
        """
        started_s = self._clock.now()
        self.owner_state.write_wakeup.set()
        while self._is_running and self._writer.confirmed_s < started_s:
            waited_s = self._clock.now() - started_s
            if waited_s >= max_wait_s:
                log.warning("left_without_store", waited_s=round(waited_s, 2))
                break
            await anyio.sleep(CONFIRMATION_POLL_S)
        self._term_end.signal("shutdown")

    def _record_configuration(self) -> None:
        """Record that caps may have changed, and plan by the new ones at once."""
        self._record_caps()
        self.owner_state.placement_wakeup.set()

    def _record_caps(self) -> None:
        self.owner_state.customer_usage.cap_changes.record(
            self._context.operators.configuration, self._clock.now()
        )

    async def _restore_while_renewing(self, committer: Committer) -> None:
        """Restore the shard's state while empty writes renew the ownership."""
        restored = anyio.Event()
        renewals_ended = anyio.Event()
        self._task_group.start_soon(self._renew_until, restored, renewals_ended)
        await self._restore(committer)
        restored.set()
        # The writer takes one write at a time.
        await renewals_ended.wait()

    async def _renew_until(self, restored: anyio.Event, ended: anyio.Event) -> None:
        until_s = self._clock.now() + MAX_RESTORE_S
        while self._clock.now() < until_s:
            with anyio.move_on_after(RENEW_INTERVAL_S):
                await restored.wait()
                break
            await self._writer.commit((), ())
        ended.set()

    async def _restore(self, committer: Committer) -> None:
        """Read the shard's tables; other instances no longer write task rows."""
        reader = ShardReader(
            self._store,
            self._writer.shard,
            self._runner_table,
            self._clock,
            self._writer.may_renew_leases,
            self._record_failed_read,
        )
        tables = await reader.read()
        tasks, jobs = tables.tasks, tables.jobs
        unfinished = {row.id.key.rsplit(".", 3)[0] for row in tasks}
        record_by_job = self._restore_ended_jobs(tables.states, unfinished)
        time_slice = TimeSlice(self._clock)
        self._loader.begun_ids = unfinished | record_by_job.keys()
        for row in jobs.rows:
            self.owner_state.customer_load.add_restored(row, self._context.wall_ms())
            await time_slice.give_way_if_over()
        # The order of acceptance, in which this owner adds later jobs as well: equally
        # urgent ones wait in it.
        for row in sorted(jobs.rows, key=lambda row: row.version):
            self._loader.apply_rows([row], True)
            await time_slice.give_way_if_over()
        self._job_follower.resume_from(jobs.version, tables.read_s)
        for job_id, record in record_by_job.items():
            job = self.owner_state.job_by_id.get(job_id)
            if job is not None:
                job.restore_closed(record.closed_occurrences)
        for row in tasks:
            self._restore_tasks(row, committer)
            await time_slice.give_way_if_over()
        for job_id, record in record_by_job.items():
            job = self.owner_state.job_by_id.get(job_id)
            if job is not None:
                job.restore_state(
                    record.state, record.blame_by_task, self._find_suspicions(record)
                )
        for job in list(self.owner_state.job_by_id.values()):
            with self._contain("job_restore_failed", job=job.spec.id) as block:
                job.update_state()
                attempts = list(job.attempts())
                for first in range(0, len(attempts), RESTORED_AT_ONCE):
                    some = attempts[first : first + RESTORED_AT_ONCE]
                    self.owner_state.restore_attempts(job, some)
                    await time_slice.give_way_if_over()
                self.owner_state.finish_restore(job)
            if block.failed:
                self.owner_state.exclude_job(job.spec.id)
            await time_slice.give_way_if_over()
        restore_excluded_attempts(self.owner_state, tasks, jobs.rows, self._clock.now())
        self._apply_runners(tables)
        former = self._writer.former
        log.info(
            "shard_restored",
            shard=self._writer.shard,
            jobs=len(self.owner_state.job_by_id),
            runners_with_attempts=len(self.owner_state.runner_by_id),
            former=former.process if former is not None else None,
            released=former.released if former is not None else None,
        )

    def _apply_runners(self, tables: ShardTables) -> None:
        """Begin to poll the runners; without a list, the follower reads it."""
        if tables.runners is None:
            return
        with self._contain("feed_failed", table=self._runner_table) as block:
            self._context.runners.apply_rows(tables.runners.rows, True)
        if not block.failed:
            self._runner_follower.resume_from(tables.runners.version, tables.read_s)

    def _restore_ended_jobs(
        self, states: list[VersionedRow], unfinished: set[str]
    ) -> dict[str, StateRecord]:
        """Record the jobs that have ended; return the states of the others.

        A job that still has task rows counts as one of the others.
        """
        record_by_job = {}
        for row in states:
            job_id = row.id.key
            with self._contain("state_unreadable", job=job_id) as block:
                record = decode_state(job_id, row.value or b"")
            if block.failed:
                # The job may have ended, so that nothing of it may run.
                self.owner_state.exclude_job(job_id)
                continue
            if record.set_aside:
                log.warning("job_set_aside", job=job_id, state=record.state)
                self.owner_state.exclude_job(job_id)
                continue
            if record.state not in FINAL_STATES or job_id in unfinished:
                record_by_job[job_id] = record
                continue
            self.owner_state.record_ended_job(job_id, record.ended_ms)
        return record_by_job

    def _restore_tasks(self, row: VersionedRow, committer: Committer) -> None:
        job_id = row.id.key.rsplit(".", 3)[0]
        job = self.owner_state.job_by_id.get(job_id)
        if job is None or row.value is None:
            log.warning("tasks_without_job", key=row.id.key)
            return
        with self._contain("tasks_unreadable", key=row.id.key) as block:
            occurrence, step, number = row.id.key.rsplit(".", 3)[1:]
            tasks_key = (int(occurrence), int(step), int(number))
            if tasks_key[0] not in job.closed_occurrences:
                restore_tasks(job, tasks_key, row.value)
        if block.failed:
            self.owner_state.exclude_job(job_id)
            return
        committer.record_row(job_id, tasks_key)
        self.owner_state.changed_job_ids.add(job_id)

    def _find_suspicions(
        self, record: StateRecord
    ) -> dict[tuple[TaskId, int], Suspicion]:
        """Return the suspicions of a record that still count, by the owner's clock."""
        now_s = self._clock.now()
        wall_s = self._context.wall_ms() / 1000
        suspicion_by_run = {}
        for run, suspicion in record.suspicion_by_run.items():
            # A wall clock that was set must not prolong them.
            left_s = min(RETURN_WINDOW_S, suspicion.until_s - wall_s)
            if left_s > 0:
                suspicion_by_run[run] = dataclasses.replace(
                    suspicion, until_s=now_s + left_s
                )
        return suspicion_by_run

    def _contain(self, event: str, **subject: str) -> Containment:
        return self.owner_state.fault_log.contain(event, **subject)

    def _record_failed_read(self) -> None:
        self.owner_state.missing_runners.restart(self._clock.now())
        self.owner_state.waits.steps.record_outage()

    def _update_runners(self) -> None:
        entries = {}
        for runner_id, entry in self._context.runners.entry_by_id.items():
            if self._context.runners.is_listed(runner_id):
                entries[runner_id] = entry
        now_s = self._clock.now()
        if self._runner_follower.interrupted:
            self.owner_state.missing_runners.restart(now_s)
        to_connect = self.owner_state.update_runners(
            entries, self._context.runners.present_ids
        )
        for runner in self.owner_state.runner_by_id.values():
            runner.leaving = runner.entry.draining or runner.id not in entries
        if not self._runners_read:
            self._runners_read = True
            self.owner_state.record_unlisted()
        for runner in to_connect:
            self._watch_runner(runner)
        for runner in self.owner_state.runner_by_id.values():
            if runner.incarnation is not None and runner.entry.incarnation not in (
                0,
                runner.incarnation,
            ):
                runner.poll_wakeup.set()

    def _list_missing_runners(self) -> dict[str, float]:
        synced_s = min(self._clock.now(), self._runner_follower.last_synced_s)
        return self.owner_state.missing_runners.list_missing_s(synced_s)

    def _watch_runner(self, runner: Runner) -> None:
        """Connect to a runner, and poll it in the background."""
        with self._contain("runner_connect_failed", runner=runner.id) as block:
            link = self._context.connect(runner.entry)
        if block.failed:
            self.owner_state.record_no_address(runner)
            return
        self._link_by_runner[runner.id] = link
        watch = RunnerWatch(self._context, self._orders, self._term_end, runner, link)
        self._task_group.start_soon(watch.run)

    async def _send_stops(self) -> None:
        stops = self.owner_state.stops
        while True:
            time_slice = TimeSlice(self._clock, STOPS_IN_A_TURN)
            while stops.mark_more() or stops.pending:
                for attempt in stops.take():
                    self._orders.stop(attempt)
                await time_slice.give_way_if_over()
            await stops.wakeup.wait(60.0)
