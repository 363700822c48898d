"""Sessions of a shard's owner with its workers, one event-loop task each."""

from collections.abc import Callable
from dataclasses import replace

from ..clock import Clock
from ..logs import get_logger
from ..resources import Resources
from ..settings import TimingSettings
from ..storage import Instance
from ..upstreams import (
    AttemptId,
    AttemptReport,
    AttemptStatus,
    Command,
    CommandKind,
    WorkerExchange,
    WorkerLink,
    WorkerReport,
    WorkerUnreachable,
)
from ..wakeup import Wakeup
from ._assignment import Assignment, AssignmentState, AttemptEnd, WorkerView
from ._attempt_ends import AttemptEnds
from ._commands import pending_commands, start_command
from ._job import JobKind
from ._lease import ShardLease, worker_lapse_s
from ._ledger import WorkerLedger
from ._team_usage import TeamUsage

log = get_logger()

IDLE_HEARTBEAT_FACTOR = 3
#: Seconds from an attempt's start in which a crash of its worker may be due to it.
CRASH_WINDOW_S = 10.0


class WorkerSession:
    """Exchanges messages with one worker, for the owner of a shard.

    Each exchange renews the leases of the worker's attempts, sends commands and
    returns the worker's report of all its attempts.

    Parameters
    ----------
    instance : Instance
        The worker, as listed by the platform.
    link : WorkerLink
        Client of the worker.
    shard, epoch : str, int
        Name of the shard and epoch of its owner. The epoch is the fencing token: a
        worker refuses one that is lower than the highest it has seen for the shard.
    lease : ShardLease
        The owner's lease of the shard. The session ends when the lease no longer
        allows commands.
    may_start : callable
        Returns whether a task may be started now in the worker's zone.
    on_change : callable
        Called when an attempt has ended and its resources are free, when an
        exchange has failed, and when the session is fenced.
    clock, timings : Clock, TimingSettings
        The instance's clock and the lengths of leases.
    inherited_lapse_s : float
        Time on the owner's clock, in seconds, by which leases that earlier owners
        granted have lapsed.
    usage : TeamUsage
        Resources that the shard's teams use. The session adds and removes the needs
        of its assignments.

    Attributes
    ----------
    ledger : WorkerLedger
        Resources committed to attempts that may run on the worker.
    assignment_by_task : dict of str to Assignment
        Assignments that have not ended, by the id of their task.
    ends : AttemptEnds
        Ends of attempts that the owner has not collected or acknowledged yet.
    fenced : bool
        Whether the worker has accepted an owner with a higher epoch.
    view : WorkerView
        State of the worker as of the last exchanges.
    assigned_resources : Resources
        Resources that the assignments need, whether started or not.
    service_count : int
        Number of assignments that are service tasks.
    """

    def __init__(
        self,
        instance: Instance,
        link: WorkerLink,
        shard: str,
        epoch: int,
        lease: ShardLease,
        may_start: Callable[[], bool],
        on_change: Callable[[], None],
        clock: Clock,
        timings: TimingSettings,
        inherited_lapse_s: float,
        usage: TeamUsage,
    ):
        self.instance = instance
        self.ledger = WorkerLedger(instance.capacity)
        self.assignment_by_task: dict[str, Assignment] = {}
        self.ends = AttemptEnds()
        self.fenced = False
        self.view = WorkerView(
            lapse_s=inherited_lapse_s, unresponsive_since_s=clock.now(), reachable=True
        )
        self._link = link
        self._shard = shard
        self._epoch = epoch
        self._lease = lease
        self._may_start = may_start
        self._on_change = on_change
        self._clock = clock
        self._timings = timings
        self._wakeup = Wakeup()
        self._unexpected_attempts: set[AttemptId] = set()
        self._is_unlisted = False
        self._usage = usage
        self.assigned_resources = Resources()
        self.service_count = 0

    def assign(self, assignment: Assignment) -> None:
        """Add a durable assignment. It is started when its resources are free."""
        self._add_assignment(assignment)
        self._wakeup.set()

    def adopt(self, assignment: Assignment) -> None:
        """Add an assignment of an earlier owner.

        Its resources stay committed, because the attempt may run on the worker.
        """
        assignment.state = AssignmentState.UNKNOWN
        self._add_assignment(assignment)
        self.ledger.commit_unchecked(assignment.task, assignment.spec.needs)

    def request_end(self, task: str, kind: CommandKind, reason: str) -> bool:
        """Request that an attempt be checkpointed or stopped.

        A request for STOP replaces one for CHECKPOINT, but not the other way round.

        Parameters
        ----------
        task : str
            Id of the task.
        kind : CommandKind
            CHECKPOINT or STOP.
        reason : str
            Reason that operators are shown.

        Returns
        -------
        bool
            False if the same command or STOP was requested before.
        """
        assignment = self.assignment_by_task[task]
        if assignment.end_command in (kind, CommandKind.STOP):
            return False
        assignment.end_command = kind
        assignment.end_reason = reason
        self._wakeup.set()
        return True

    def throttle(self, task: str, percent: int) -> None:
        """Limit an attempt to ``percent`` of its processors."""
        self.assignment_by_task[task].throttle_percent = percent
        self._wakeup.set()

    def withdraw(self, task: str) -> bool:
        """Remove an assignment that has not been sent to the worker.

        Returns
        -------
        bool
            Whether the assignment was removed; False if it is unknown or was sent.
        """
        assignment = self.assignment_by_task.get(task)
        if assignment is None or assignment.state is not AssignmentState.UNSENT:
            return False
        self._remove_assignment(assignment)
        return True

    def update_instance(self, instance: Instance) -> None:
        """Update the worker's entry from the platform's list."""
        self.instance = instance
        self.ledger.capacity = instance.capacity
        self._is_unlisted = False

    def replace_link(self, link: WorkerLink) -> None:
        """Use another link, as the worker's address has changed or become known."""
        self._link = link
        self._wakeup.set()

    def mark_unlisted(self) -> None:
        """Record that the worker is no longer on the platform's list."""
        self.instance = replace(self.instance, leaving=True)
        self._is_unlisted = True
        self._wakeup.set()

    def is_finished(self) -> bool:
        """Return whether the worker is unlisted and has no assignments."""
        return self._is_unlisted and not self.assignment_by_task

    @property
    def capacity(self) -> Resources:
        """Total resources of the worker."""
        return self.ledger.capacity

    @property
    def free_resources(self) -> Resources:
        """Resources that are not assigned to any task, started or not."""
        return self.ledger.capacity - self.assigned_resources

    @property
    def unsent_count(self) -> int:
        """Number of assignments that have not been sent to the worker."""
        return sum(
            item.state is AssignmentState.UNSENT
            for item in self.assignment_by_task.values()
        )

    def could_replace(self, needs: Resources) -> bool:
        """Return whether the end of one batch task would free enough for another.

        Parameters
        ----------
        needs : Resources
            Resources that the other task needs.
        """
        return any(
            item.spec.kind is JobKind.BATCH and needs.fits_in(item.spec.needs)
            for item in self.assignment_by_task.values()
        )

    async def run(self) -> None:
        """Exchange messages until the lease no longer allows commands.

        Return earlier if the session is fenced or finished.
        """
        while self._lease.may_command() and not self.fenced:
            if self.is_finished():
                return
            message = self._build_message()
            sent_s = self._clock.now()
            try:
                report = await self._link.exchange(message)
            except WorkerUnreachable as error:
                self._record_failure(sent_s, str(error))
                await self._wakeup.wait(self._timings.heartbeat_s)
                continue
            self._process_report(message, report)
            if self._needs_immediate_exchange():
                continue
            await self._wakeup.wait(self._pause_s())

    def _pause_s(self) -> float:
        """Return the seconds until the next exchange, longer for idle workers."""
        if self.assignment_by_task or self.ends.durable:
            return self._timings.heartbeat_s
        return IDLE_HEARTBEAT_FACTOR * self._timings.heartbeat_s

    def _add_assignment(self, assignment: Assignment) -> None:
        if assignment.spec.kind is JobKind.SERVICE:
            self.service_count += 1
        self.assignment_by_task[assignment.task] = assignment
        self.assigned_resources = self.assigned_resources + assignment.spec.needs
        self._usage.add(assignment.spec)

    def _remove_assignment(self, assignment: Assignment) -> None:
        if assignment.spec.kind is JobKind.SERVICE:
            self.service_count -= 1
        del self.assignment_by_task[assignment.task]
        self.assigned_resources = self.assigned_resources - assignment.spec.needs
        self._usage.remove(assignment.spec)

    def _build_message(self) -> WorkerExchange:
        view = self.view
        message = WorkerExchange(self._shard, self._epoch, view.incarnation)
        if not view.incarnation:
            return message
        starts_allowed = self._may_start() and self._has_recent_report()
        start_by_s = view.clock_s + self._timings.start_window_s
        for assignment in self.assignment_by_task.values():
            if not self._prepare_start(assignment, starts_allowed):
                continue
            assignment.start_by_s = start_by_s
            message.commands.append(start_command(assignment))
        for assignment in self.assignment_by_task.values():
            message.commands.extend(pending_commands(assignment))
        for unexpected in self._unexpected_attempts:
            message.commands.append(Command(CommandKind.STOP, *unexpected))
        return WorkerExchange(
            self._shard,
            self._epoch,
            view.incarnation,
            view.clock_s + self._timings.worker_lease_s,
            start_by_s,
            message.commands,
            list(self.ends.durable),
        )

    def _has_recent_report(self) -> bool:
        """Return whether the worker's clock is known well enough to send starts.

        A start is refused by the worker after the start window, which is counted
        from the clock in the last report. If that report is older than half the
        window, the exchange only reads the clock, and the starts follow at once in
        the next exchange.
        """
        age_s = self._clock.now() - self.view.unresponsive_since_s
        return age_s < self._timings.start_window_s / 2

    def _prepare_start(self, assignment: Assignment, allowed: bool) -> bool:
        """Return whether to send START, and commit resources for a first START.

        START is repeated until the worker reports the attempt.
        """
        if not allowed or assignment.end_command is not None:
            return False
        if assignment.state is AssignmentState.SENT:
            return True
        if assignment.state is not AssignmentState.UNSENT:
            return False
        if not assignment.spec.needs.fits_in(self.ledger.free_resources):
            return False
        self.ledger.commit(assignment.task, assignment.spec.needs)
        assignment.state = AssignmentState.SENT
        return True

    def _process_report(self, message: WorkerExchange, report: WorkerReport) -> None:
        now_s = self._clock.now()
        view = self.view
        if report.epoch > self._epoch:
            self.fenced = True
            self._on_change()
            return
        restarted = view.incarnation and report.incarnation != view.incarnation
        view.incarnation = report.incarnation
        view.clock_s = report.clock_s
        view.reachable = True
        view.lapse_s = now_s + worker_lapse_s(self._timings)
        if restarted:
            self._end_sent("worker restarted", presumed=False, restarted=True)
        view.unresponsive_since_s = now_s
        if not report.accepted:
            return
        self.ends.durable.difference_update(message.acknowledged)
        self._unexpected_attempts.clear()
        seen = set()
        for item in report.attempts:
            seen.add(AttemptId(item.task, item.attempt))
            self._process_attempt(item, now_s)
        self._end_unreported(report, seen)

    def _process_attempt(self, item: AttemptReport, now_s: float) -> None:
        identity = AttemptId(item.task, item.attempt)
        assignment = self.assignment_by_task.get(item.task)
        matches = assignment is not None and assignment.attempt == item.attempt
        if item.status is AttemptStatus.RUNNING:
            if not matches:
                self._unexpected_attempts.add(identity)
                return
            if assignment.state is AssignmentState.UNKNOWN:
                assignment.throttle_percent = item.throttle_percent
            if assignment.state is not AssignmentState.RUNNING:
                assignment.state = AssignmentState.RUNNING
                assignment.started_s = now_s
            assignment.report = item
            assignment.reported_throttle_percent = item.throttle_percent
            return
        if not self.ends.is_new(identity):
            return
        if matches:
            detail = item.detail or assignment.end_reason
            self._end(assignment, item.status, item.checkpoint, detail)
            return
        self._report_end(
            AttemptEnd(
                self.instance.name,
                item.task,
                item.attempt,
                item.status,
                item.checkpoint,
                item.detail,
            )
        )

    def _end_unreported(self, report: WorkerReport, seen: set[AttemptId]) -> None:
        """End the sent assignments that are missing from the worker's report.

        A START that can still reach the worker within its start window is kept.
        """
        for assignment in list(self.assignment_by_task.values()):
            if (
                assignment.identity in seen
                or assignment.state is AssignmentState.UNSENT
            ):
                continue
            pending = assignment.start_by_s >= report.clock_s
            if assignment.state is AssignmentState.SENT and pending:
                continue
            self._end(assignment, AttemptStatus.LAPSED, "", "not on the worker")

    def _end_sent(self, detail: str, presumed: bool, restarted: bool = False) -> None:
        """End all sent assignments as lapsed.

        Parameters
        ----------
        detail : str
            Reason that operators are shown.
        presumed : bool
            Whether the worker may later report how the attempts actually ended.
        restarted : bool
            Whether another incarnation of the worker has responded. It is the only
            sure sign of a crash; the worker may be cut off in the other cases.
        """
        for assignment in list(self.assignment_by_task.values()):
            if assignment.state is not AssignmentState.UNSENT:
                if presumed:
                    self.ends.presume_lapsed(assignment.identity)
                crashed = restarted and self._is_new(assignment)
                self._end(assignment, AttemptStatus.LAPSED, "", detail, crashed)

    def _is_new(self, assignment: Assignment) -> bool:
        """Return whether an attempt that was sent started a short time ago, if at all.

        An attempt that crashes its worker at once is never reported as running.
        """
        if assignment.state is AssignmentState.SENT:
            return True
        if assignment.state is not AssignmentState.RUNNING:
            return False
        ran_s = self.view.unresponsive_since_s - assignment.started_s
        return ran_s < CRASH_WINDOW_S

    def _end(
        self,
        assignment: Assignment,
        status: AttemptStatus,
        checkpoint: str,
        detail: str,
        crashed: bool = False,
    ) -> None:
        self._remove_assignment(assignment)
        self.ledger.release(assignment.task)
        ran_s = 0.0
        if assignment.state is AssignmentState.RUNNING:
            ran_s = self._clock.now() - assignment.started_s
        self._report_end(
            AttemptEnd(
                self.instance.name,
                assignment.task,
                assignment.attempt,
                status,
                checkpoint,
                detail,
                ran_s,
                crashed,
            )
        )

    def _report_end(self, end: AttemptEnd) -> None:
        self.ends.record(end)
        self._wakeup.set()
        self._on_change()

    def _record_failure(self, sent_s: float, detail: str) -> None:
        """Record that an exchange failed, and end attempts whose leases lapsed.

        Attempts are presumed lapsed only if the failed exchange was sent after
        their leases had ended: a worker that responds to such an exchange reports
        how the attempts actually ended.

        Parameters
        ----------
        sent_s : float
            Time on the owner's clock, in seconds, when the exchange was sent.
        detail : str
            Reason of the failure.
        """
        if self.view.reachable:
            log.warning("worker_unreachable", worker=self.instance.name, detail=detail)
        self.view.reachable = False
        if sent_s > self.view.lapse_s:
            self._end_sent("worker unreachable beyond its lease", presumed=True)
        self._on_change()

    def _needs_immediate_exchange(self) -> bool:
        if self._unexpected_attempts:
            return True
        if not self._may_start():
            return False
        return any(
            item.state is AssignmentState.UNSENT
            and item.end_command is None
            and item.spec.needs.fits_in(self.ledger.free_resources)
            for item in self.assignment_by_task.values()
        )
