"""Evicts batch work for long-running tasks that are away and find no room."""

from collections.abc import Callable, Sequence

from ..fleet import Runner
from ..jobs import StepRun, TaskId
from ..logs import get_logger
from ..policy import ENOUGH_RUNNERS, EVICT_AFTER_S, LackOfRoom, choose_evictions
from ..resources import Resources
from ._owner_state import OwnerState
from ._promises import Promise, Promises

log = get_logger()

#: Seconds for which resources are promised to a task: a stop takes about one second,
#: and the report of it and the next pass some tenths more.
PROMISE_S = 2.0
#: Longest time in seconds for which a promise lasts beyond that, until the planner
#: comes to its task again and chooses anew.
MAX_PROMISE_EXCESS_S = 2.0
#: Largest number of tasks in a pass for which room is made. Of the 9 s within which a
#: task must run again, 7 s are left beside its wait and the stops. At ten passes a
#: second, 1,120 tasks get room in them: more than run in a zone of 233 runners, a
#: twelfth of a fleet of 2,800, at three or four on each.
MAX_CHOICES_PER_PASS = 16
#: Largest number of choices in a pass that find no room, and so look at all runners.
MAX_FUTILE_CHOICES_PER_PASS = 2


class Evictions:
    """Requests the evictions that a planner needs, and keeps track of them.

    Parameters
    ----------
    owner_state : OwnerState
        Jobs, runners and attempts.
    """

    def __init__(self, owner_state: OwnerState):
        self._owner_state = owner_state
        self._promises = Promises()
        self._lack_of_room = LackOfRoom()
        self._choices_left = 0
        self._futile_choices_left = 0
        self._first_candidate = 0

    def begin_pass(self, now_s: float) -> None:
        """Discard the promises whose task was placed or is not considered any more.

        A promise whose time has passed lasts until its task's turn, as otherwise the
        tasks before it would take what has become free for it so far.
        """
        self._choices_left = MAX_CHOICES_PER_PASS
        self._futile_choices_left = MAX_FUTILE_CHOICES_PER_PASS
        self._lack_of_room.begin_pass(now_s)
        for task, promise in self._promises.items():
            job = self._owner_state.job_by_id.get(task.job)
            step = job and job.run_by_step.get((task.occurrence, task.step))
            excess_s = MAX_PROMISE_EXCESS_S if promise.runner else 0.0
            if (
                now_s < promise.until_s + excess_s
                and step is not None
                and task.index in step.open_indexes
            ):
                continue
            self._promises.discard(task)

    def promised_to_others(self, step: StepRun) -> dict[str, Resources]:
        """Return the resources that are promised to tasks of other steps, by runner.

        Parameters
        ----------
        step : StepRun
            Step of which tasks are to be placed.
        """
        return self._promises.sum_of_others(step)

    def promised_runner(self, task: TaskId) -> str:
        """Return the id of the runner on which room is made for a task, or ""."""
        promise = self._promises.find(task)
        return promise.runner if promise is not None else ""

    def has_promise(self, step: StepRun) -> bool:
        """Return whether resources are promised to a task of a step."""
        return self._promises.has_step(step)

    def record_placed(self, task: TaskId) -> None:
        """Record that a task was placed: nothing is promised to it any more."""
        self._promises.discard(task)

    def make_room(
        self,
        step: StepRun,
        candidates: Sequence[Runner],
        find_others: Callable[[], Sequence[Runner]],
        now_s: float,
    ) -> None:
        """Evict batch for the tasks of an unplaced step that have run before.

        Parameters
        ----------
        step : StepRun
            Step with tasks that found no runner in this pass.
        candidates : sequence of Runner
            Runners that suit the step, without regard to free resources.
        find_others : callable
            Returns the runners to take if no eviction on the candidates makes room.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        if not step.spec.lasting or step.spec.gang or step.unplaced_since_s is None:
            return
        if now_s - step.unplaced_since_s < EVICT_AFTER_S:
            return
        for index in step.placing_order():
            # Those that have run before come first.
            if not self._choices_left or not self._futile_choices_left:
                return
            if not step.tasks.view(index).last_run:
                return
            promise = self._promises.find(step.task_id(index))
            if promise is not None and now_s < promise.until_s:
                continue
            binding = self._owner_state.late_runs.find_binding(step, index)
            if binding is not None:
                bound = [r for r in candidates if r.id == binding.runner]
                self._choices_left -= 1
                self._evict_for(step, index, bound, list, now_s)
                continue
            # What is promised to a task already is no room for others.
            if promise is None and self._lack_of_room.covers(step):
                continue
            self._choices_left -= 1
            if not self._evict_for(step, index, candidates, find_others, now_s):
                self._futile_choices_left -= 1
                self._lack_of_room.add(step, now_s)

    def _evict_for(
        self,
        step: StepRun,
        index: int,
        candidates: Sequence[Runner],
        find_others: Callable[[], Sequence[Runner]],
        now_s: float,
    ) -> bool:
        """Make room for a task; return whether there is some to be made."""
        task = step.task_id(index)
        self._promises.discard(task)
        promised_by_runner = self._promises.sum_by_runner()
        first = self._first_candidate
        self._first_candidate += ENOUGH_RUNNERS
        found = choose_evictions(step, candidates, promised_by_runner, now_s, first)
        if found is None:
            found = choose_evictions(step, find_others(), promised_by_runner, now_s)
        if found is None:
            log.info("no_room_by_eviction", task=str(task), runners=len(candidates))
            # Tried again after the time of a promise.
            self._promises.add(task, Promise("", Resources(), now_s + PROMISE_S))
            return False
        runner, allocations = found
        promise = Promise(runner.id, step.spec.reserved, now_s + PROMISE_S)
        self._promises.add(task, promise)
        log.info(
            "room_made",
            task=str(task),
            runner=runner.id,
            evicted=len(allocations),
            waited_s=round(now_s - step.unplaced_since_s, 2),
        )
        for allocation in allocations:
            self._owner_state.stop_attempt(allocation.attempt, "evicted")
        return True
