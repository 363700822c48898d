"""Keeps a task where a late start order of an ended run may start it."""

import dataclasses
from typing import TYPE_CHECKING

from ..clock import Clock
from ..fleet import Allocation, Runner
from ..jobs import Job, StepRun, TaskId
from ..logs import get_logger
from ..ownership import EarlierLeases
from ..policy import MAX_SILENT_WAIT_S, find_bound_until_s
from ._task_bindings import Binding, TaskBindings

if TYPE_CHECKING:
    from ._owner_state import OwnerState

log = get_logger()


class LateRuns:
    """Runs that have ended, and that late start orders may start once more.

    A runner refuses a run that has ended there. Its next incarnation knows nothing of
    that, and starts the run if the order arrives before any call of the owner. So until
    no order can arrive any more, its task runs on that runner only: if that restarts,
    the late run is the only one.

    Parameters
    ----------
    owner_state : OwnerState
        Jobs, runners and attempts.
    earlier_leases : EarlierLeases
        Tells of the tasks that were bound to runners before.
    clock : Clock
        The owner's clock.
    """

    def __init__(
        self, owner_state: "OwnerState", earlier_leases: EarlierLeases, clock: Clock
    ):
        self._owner_state = owner_state
        self._clock = clock
        self._bindings = TaskBindings(earlier_leases.bound_tasks)

    def list_bound(self) -> dict[str, list[tuple[str, float, float]]]:
        """Return `OwnerRecord.bound_tasks` to publish."""
        job_by_id = self._owner_state.job_by_id
        return self._bindings.list_bound(job_by_id, self._clock.now())

    def record_end(
        self, job: Job, runner: Runner, allocation: Allocation, failed: bool
    ) -> None:
        """Bind the task of an attempt that has ended, if an order may arrive late.

        That may be an order of an earlier attempt on the same runner.

        Parameters
        ----------
        job : Job
            The job.
        runner : Runner
            Runner of the attempt.
        allocation : Allocation
            Its allocation, which was released.
        failed : bool
            Whether it has failed.
        """
        task = allocation.attempt.task
        state = job.find(task)
        if state is None or state.done or job.is_final:
            self._bindings.release(task)
            return
        if allocation.spec.speculative:
            return
        now_s = self._clock.now()
        until_s = allocation.find_late_until_s(now_s)
        known = self._bindings.find_on(task, runner.id)
        if known is not None:
            until_s = max(until_s, known.until_s)
        if until_s <= now_s:
            return
        ran_s = _find_last_run_s(allocation)
        if ran_s == float("-inf"):
            ran_s = now_s if known is None else known.ran_s
        failures = failed + (0 if known is None else known.failures)
        binding = Binding(runner.id, runner.entry.address, until_s, ran_s, failures)
        self._bindings.bind(task, binding)
        log.info(
            "task_bound",
            task=str(task),
            run=allocation.attempt.run,
            runner=runner.id,
            order_left_s=round(until_s - now_s, 2),
            unheard_s=round(now_s - ran_s, 2),
        )

    def find_binding(self, step: StepRun, index: int) -> Binding | None:
        """Return the binding that an open task waits for, or None.

        If it waits for several runners, none is safe.
        """
        if not self._bindings or step.spec.speculative:
            return None
        if not step.tasks.view(index).last_run:
            return None
        waited = []
        for binding in self._bindings.find_all(step.task_id(index)):
            if self._is_waited_for(binding, step.spec.lasting):
                waited.append(binding)
        if len(waited) < 2:
            return waited[0] if waited else None
        return dataclasses.replace(waited[0], runner="", address="")

    def _is_waited_for(self, binding: Binding, lasting: bool) -> bool:
        """Return whether a task without an attempt waits for a runner.

        One that drains is left, and orders to a former address can't arrive.
        """
        entry = self._owner_state.find_entry(binding.runner)
        if entry is not None:
            if entry.draining:
                return False
            if binding.address and entry.address != binding.address:
                return False
        runner = self._owner_state.runner_by_id.get(binding.runner)
        responds = runner is not None and runner.responds
        until_s = find_bound_until_s(binding.until_s, binding.ran_s, lasting, responds)
        return self._clock.now() < until_s

    def binds_any(self, step: StepRun) -> bool:
        """Return whether an open task of a step waits for one runner."""
        if not self._bindings:
            return False
        for index, _ in step.tasks.kept():
            if index in step.open_indexes and self.find_binding(step, index):
                return True
        return False

    def binds_all(self, step: StepRun) -> bool:
        """Return whether each open task of a step waits for one runner."""
        if not self._bindings or not step.open_indexes:
            return False
        for index in step.open_indexes:
            if self.find_binding(step, index) is None:
                return False
        return True

    def may_run_unseen(
        self, runner: Runner, allocation: Allocation, now_s: float
    ) -> bool:
        """Return whether an order of an earlier run may have started a task anew.

        That is on an incarnation that has not responded. If the runner's entry tells
        of none, the task waits only as long as users don't notice.

        Parameters
        ----------
        runner : Runner
            Runner whose leases have lapsed.
        allocation : Allocation
            Allocation of the later attempt.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if not self._bindings:
            return False
        attempt = allocation.attempt
        binding = self._bindings.find_on(attempt.task, runner.id)
        if binding is None:
            return False
        entry = self._owner_state.find_entry(runner.id)
        if entry is None or entry.incarnation in (0, attempt.incarnation):
            until_s = runner.last_response_s + MAX_SILENT_WAIT_S
            return now_s < min(until_s, binding.until_s)
        if runner.last_response_s >= binding.until_s:
            # The next incarnation has begun after the last order could arrive.
            return False
        return now_s < runner.find_unseen_until_s(binding.until_s)

    def adopt(self, runner: Runner, task: TaskId, run: int) -> Allocation | None:
        """Go on with a run that a late order has started on a next incarnation.

        Returns
        -------
        Allocation or None
            Its allocation; None if the run must be stopped, as its task is done or
            runs elsewhere, or if no order of it was known to be late.
        """
        owner_state = self._owner_state
        now_s = self._clock.now()
        job = owner_state.job_by_id.get(task.job)
        if job is None or job.is_final:
            return None
        is_late = (task, run) in owner_state.late_orders.find(runner.id, now_s)
        # A former owner's orders are known by the binding alone.
        if not is_late and self._bindings.find_on(task, runner.id) is None:
            return None
        state = job.find(task)
        if state is None or state.done or state.attempt_by_run:
            return None
        step = job.run_by_step[task.occurrence, task.step]
        if step.spec.gang:
            return None
        attempt = job.adopt(step, task.index, run, runner.id, runner.incarnation, now_s)
        allocation = owner_state.restore_allocation(runner, attempt, step)
        log.info("late_run_adopted", task=str(task), run=run, runner=runner.id)
        owner_state.changed_job_ids.add(task.job)
        owner_state.write_wakeup.set()
        return allocation


def _find_last_run_s(allocation: Allocation) -> float:
    """Return when an attempt, or the wait for it, was last known to go on, in seconds.

    Minus infinity for an attempt of an earlier owner that no report has listed.
    """
    if allocation.listed_s > float("-inf"):
        return allocation.listed_s
    if allocation.started_s is None:
        return allocation.attempt.created_s
    return allocation.started_s
