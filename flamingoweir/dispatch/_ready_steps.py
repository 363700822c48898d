"""Collects the steps whose tasks may be placed, the most urgent first."""

from collections.abc import Awaitable, Callable, Iterable

from ..fleet import Runner
from ..jobs import MAX_IDLE_STEPS, Job, StepRun
from ..policy import sort_key
from ._context import PermitWithdrawn, TermContext
from ._customer_caps import CustomerCaps
from ._customer_order import CustomerRanking, StepQueue, drop_surplus_excess
from ._deferrals import Deferrals
from ._job_pauses import JobPauses

#: Number of steps in idle occurrences of all scheduled jobs, at most, but for one
#: occurrence of each. Every pass looks at all of them.
MAX_ALL_IDLE_STEPS = 2_000
#: Number of steps of a job after which a pass checks whether it has to give way.
STEPS_PER_CHECK = 50
#: Number of ready steps after whose ranking a pass checks the same.
STEPS_PER_RANKING = 500


class ReadySteps:
    """Opens due occurrences, and lists the ready steps of all jobs.

    Parameters
    ----------
    context : TermContext
        Shared objects of the term.
    pauses : JobPauses
        Jobs that are passed over after an error.
    caps : CustomerCaps
        Holds steps back whose customers are at their caps; they aren't listed.
    deferrals : Deferrals
        Jobs that go after those that can end in time.

    Attributes
    ----------
    job_count, open_tasks : int
        Numbers of jobs and of tasks to be placed in the latest list.
    """

    def __init__(
        self,
        context: TermContext,
        pauses: JobPauses,
        caps: CustomerCaps,
        deferrals: Deferrals,
    ):
        self._context = context
        self._deferrals = deferrals
        self._pauses = pauses
        self._caps = caps
        #: Number of steps in idle occurrences of scheduled jobs.
        self._idle_steps = 0
        self.job_count = 0
        self.open_tasks = 0
        self._key_by_step: dict[StepRun, tuple] = {}

    def make_queue(self, steps: Iterable[StepRun]) -> StepQueue:
        """Return a queue of steps that `find` has returned last, in that order."""
        shares = self._context.owner_state.customer_load.shares_by_service
        return StepQueue(steps, self._key_by_step, shares)

    async def find(
        self,
        read_now_s: Callable[[], float],
        give_way_if_over: Callable[[], Awaitable[None]],
        find_usable: Callable[[], Iterable[Runner]],
    ) -> list[StepRun]:
        """Return the ready steps, the most urgent first.

        Jobs may change while the search gives way, so that a step must be checked
        again before it is placed.

        Parameters
        ----------
        read_now_s : callable
            Returns the time of the pass on the owner's clock, in seconds; it advances
            whenever the pass has given way.
        give_way_if_over : callable
            Lets other coroutines run if the time slice of the pass is over.
        find_usable : callable
            Returns the runners that may be given tasks.

        Raises
        ------
        PermitWithdrawn
            If no task may be started any more.
        """
        ready: list[tuple[tuple, int, StepRun]] = []
        open_tasks = 0
        self._caps.begin_list()
        owner_state = self._context.owner_state
        idle_steps = 0
        wall_ms = self._context.wall_ms()
        for job in list(owner_state.job_by_id.values()):
            await give_way_if_over()
            if self._pauses.is_paused(job.spec.id, read_now_s()):
                continue
            try:
                idle_steps += self._open_due(job, wall_ms)
                if len(job.run_by_step) <= STEPS_PER_CHECK:
                    steps = job.ready_steps()
                    open_tasks += self._add_ready(steps, read_now_s(), wall_ms, ready)
                    continue
                steps = list(job.ready_steps())
                for first in range(0, len(steps), STEPS_PER_CHECK):
                    some = steps[first : first + STEPS_PER_CHECK]
                    open_tasks += self._add_ready(some, read_now_s(), wall_ms, ready)
                    await give_way_if_over()
            except PermitWithdrawn:
                raise
            except Exception as error:
                self._pauses.add(job.spec.id, error, read_now_s())
        self._idle_steps = idle_steps
        self.job_count = len(owner_state.job_by_id)
        self.open_tasks = open_tasks
        owner_state.customer_load.shares_by_service = None
        if owner_state.customer_load.in_force:
            ready = drop_surplus_excess(ready, owner_state)
            ranking = CustomerRanking(owner_state, ready, find_usable())
            for first in range(0, len(ready), STEPS_PER_RANKING):
                some = slice(first, first + STEPS_PER_RANKING)
                ready[some] = ranking.add_ranks(ready[some])
                await give_way_if_over()
        ready.sort()
        self._key_by_step = {}
        if owner_state.customer_load.shares_by_service is not None:
            self._key_by_step = {step: key for key, _, step in ready}
        return [step for _, _, step in ready]

    def _open_due(self, job: Job, wall_ms: float) -> int:
        """Open due occurrences of a job; return its steps in idle ones."""
        if not job.spec.scheduled:
            job.open_due(wall_ms)
            return 0
        idle_steps = job.idle_steps
        left = max(0, MAX_ALL_IDLE_STEPS - self._idle_steps)
        job.open_due(wall_ms, min(MAX_IDLE_STEPS, idle_steps + left))
        opened = job.idle_steps - idle_steps
        self._idle_steps += opened
        return idle_steps + opened

    def _add_ready(
        self,
        steps: Iterable[StepRun],
        now_s: float,
        wall_ms: float,
        ready: list[tuple[tuple, int, StepRun]],
    ) -> int:
        """Add ready steps with their sort keys; return the number of open tasks."""
        open_tasks = 0
        for step in steps:
            open_tasks += len(step.open_indexes)
            if step.ready_since_s is None:
                step.ready_since_s = now_s
            if step.retry_at_s <= now_s and not self._caps.holds(step):
                order = self._deferrals.order_of(step.job)
                key = sort_key(step, now_s, wall_ms, *order)
                ready.append((key, len(ready), step))
        return open_tasks
