"""Eviction of batch work to make room for absent long-running tasks.

Answers the load at which batch holds all resources while a long-running task fails or
loses its runner: a runner that is merely kept free waits for batch that may run for
much longer than users bear the absence. Batch is stopped instead, as it can be
repeated; the processor time that is thrown away is kept as small as possible.

At the loss of a zone of a large fleet, hundreds of tasks need room at once. A choice
therefore compares `ENOUGH_RUNNERS` on which it can make room, not the whole fleet.
"""

from collections.abc import Mapping, Sequence

from ..fleet import Allocation, Runner
from ..jobs import AttemptState, StepRun
from ..resources import Resources
from ._placement import count_tasks_by_runner

#: Seconds for which an absent long-running task waits for free resources before batch
#: is evicted for it. Most gaps on a busy runner appear within this time.
EVICT_AFTER_S = 1.0
#: Seconds of processor time that the eviction of a task with checkpoints throws away,
#: for each of its processors: the time to restore it.
RESTORE_S = 0.5
#: Number of runners with evictions that make room, of which a choice takes the best.
ENOUGH_RUNNERS = 64


def choose_evictions(
    step: StepRun,
    candidates: Sequence[Runner],
    promised_by_runner: Mapping[str, Resources],
    now_s: float,
    first: int = 0,
) -> tuple[Runner, list[Allocation]] | None:
    """Return the runner on which to make room for a task, and what to stop there.

    Parameters
    ----------
    step : StepRun
        Step of the absent long-running task.
    candidates : sequence of Runner
        Runners that suit the step, without regard to free resources.
    promised_by_runner : mapping of str to Resources
        Resources that become free for other tasks, by runner id.
    now_s : float
        Time on the owner's clock, in seconds.
    first : int
        Number of candidates that come last, so that one choice after another compares
        other runners of a large fleet.

    Returns
    -------
    tuple of (Runner, list of Allocation) or None
        The list is empty if the attempts that stop already make enough room. The
        result is None if no eviction makes room.
    """
    limit = step.spec.max_per_runner
    count_by_runner = count_tasks_by_runner(step)
    best = None
    best_cost_s = float("inf")
    compared = 0
    if len(candidates) > ENOUGH_RUNNERS:
        first %= len(candidates)
        candidates = [*candidates[first:], *candidates[:first]]
    for runner in candidates:
        if limit and count_by_runner[runner.id] >= limit:
            continue
        if not step.spec.reserved.fits_in(runner.beside_lasting):
            continue
        promised = promised_by_runner.get(runner.id, Resources())
        found = _choose_on_runner(step.spec.reserved, runner, promised, now_s)
        if found is None:
            continue
        cost_s = sum(_thrown_away_s(allocation, now_s) for allocation in found)
        if cost_s < best_cost_s:
            best, best_cost_s = (runner, found), cost_s
        compared += 1
        if not found or compared == ENOUGH_RUNNERS:
            break
    return best


def _choose_on_runner(
    demand: Resources, runner: Runner, promised: Resources, now_s: float
) -> list[Allocation] | None:
    """Return the allocations to evict on a runner, or None if they are too few."""
    free = runner.free_resources - promised
    evictable = []
    for allocation in runner.allocation_by_run.values():
        if allocation.attempt.state is AttemptState.STOPPING:
            free = free + allocation.spec.reserved
            continue
        if allocation.spec.lasting or allocation.spec.gang:
            continue
        if allocation.attempt.state is AttemptState.RUNNING:
            evictable.append(allocation)
    evictable.sort(key=lambda allocation: _thrown_away_s(allocation, now_s))
    chosen = []
    for allocation in evictable:
        if demand.fits_in(free):
            break
        if not _is_short_of(demand - free, allocation.spec.reserved):
            continue
        chosen.append(allocation)
        free = free + allocation.spec.reserved
    if not demand.fits_in(free):
        return None
    # A large task that was added last may make the smaller ones before it needless.
    for allocation in chosen[:-1]:
        if demand.fits_in(free - allocation.spec.reserved):
            chosen.remove(allocation)
            free = free - allocation.spec.reserved
    return chosen


def _is_short_of(missing: Resources, reserved: Resources) -> bool:
    """Return whether an allocation holds any of the resources that are missing."""
    return (
        (missing.processors_milli > 0 and reserved.processors_milli > 0)
        or (missing.memory_mb > 0 and reserved.memory_mb > 0)
        or (missing.accelerators > 0 and reserved.accelerators > 0)
    )


def _thrown_away_s(allocation: Allocation, now_s: float) -> float:
    """Return the processor seconds that are lost when an allocation is evicted."""
    processors = allocation.spec.demand.processors_milli / 1000
    if allocation.spec.checkpoints:
        return processors * RESTORE_S
    return processors * (now_s - allocation.attempt.created_s)
