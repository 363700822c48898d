"""Which waiting jobs are deferred when not all of them can end in time.

Addresses a load that exceeds the fleet for longer than an objective lasts. In the
order of least slack, jobs go first that in truth no longer can end in time, and each of
them makes the next one late. The decision follows the rule of Moore and Hodgson for the
fewest late jobs: in the order in which they are due, steps are given the capacity that
the drain rate promises; whenever one would start too late, the job with the least value
for its remaining work among those considered so far is deferred, until the rest fits.
A job that may not be deferred and doesn't fit beside what goes first counts as late, as
deferral of others for it would be in vain.
The tasks of a step are due when they must have started for the job to end in time. Work
that may end just before the deadline leaves no time for the steps that follow. A
deferred job goes after those of its priority that are kept; it is neither dropped nor
stopped.
"""

from collections.abc import Callable, Iterable, Sequence
from heapq import heappop, heappush
from itertools import groupby
from operator import attrgetter
from typing import NamedTuple

from ._valuation import OpenWork

#: Factor by which the work of a job that is deferred already counts more. It is taken
#: back only if clearly more room has become free, so that jobs that just fit don't
#: change places with each decision.
TAKE_BACK_FACTOR = 1.25


#: Fraction of the drain rate that is promised. Tasks end unevenly, and a step ends with
#: its slowest task: of jobs that just fit, some end late.
PROMISED_FRACTION = 0.8


class WaitingJob(NamedTuple):
    """A batch job with tasks that have not started.

    Attributes
    ----------
    id : str
        Id of the job.
    priority : int
        Priority of its queue; 0 goes first.
    density : float
        Value if it ends in time, divided by its remaining work.
    open_work : sequence of OpenWork
        Its tasks that have not started, by step.
    can_end_in_time : bool
        Whether its longest chain fits before the deadline. Other jobs are not deferred,
        but those of higher priorities take capacity.
    is_deferred : bool
        Whether the last decision deferred it.
    """

    id: str
    priority: int
    density: float
    open_work: Sequence[OpenWork]
    can_end_in_time: bool = True
    is_deferred: bool = False


def choose_deferred(
    jobs: Iterable[WaitingJob],
    rates: Sequence[float | None],
    now_s: float,
    may_defer: Callable[[str], bool],
    on_deferred: Callable[[str], None] = lambda job_id: None,
) -> set[str]:
    """Return the ids of the jobs of one service to defer.

    Parameters
    ----------
    jobs : iterable of WaitingJob
        The waiting jobs of the service.
    rates : sequence of float or None
        Drain rates on spare and on reserved processors, in processor-seconds per
        second; None: not known, nothing is deferred for lack of it.
    now_s : float
        Time on the owner's clock, in seconds.
    may_defer : callable
        Called with the id of a job; returns whether it may be deferred. The answer may
        change from true to false as jobs are deferred.
    on_deferred : callable
        Called with the id of each job when it is deferred.
    """
    deferred: set[str] = set()
    taken = [0.0] * len(rates)
    by_priority = attrgetter("priority")
    for _, group in groupby(sorted(jobs, key=by_priority), key=by_priority):
        equals = list(group)
        deferred |= _defer_equals(
            equals, rates, list(taken), now_s, may_defer, on_deferred
        )
        # Deferred and late jobs go before those of lower priorities as well.
        for job in equals:
            for part in job.open_work:
                taken[part.kind] += part.work
    return deferred


def _defer_equals(
    jobs: list[WaitingJob],
    rates: Sequence[float | None],
    taken: list[float],
    now_s: float,
    may_defer: Callable[[str], bool],
    on_deferred: Callable[[str], None],
) -> set[str]:
    """Return the ids of the jobs of one priority to defer.

    Parameters
    ----------
    jobs : list of WaitingJob
        The jobs of the priority.
    rates : sequence of float or None
        Drain rates, by kind of processors.
    taken : list of float
        Work that goes first, by kind of processors; it is changed.
    now_s : float
        Time on the owner's clock, in seconds.
    may_defer, on_deferred : callable
        See `choose_deferred`.
    """
    first = list(taken)
    #: Jobs that don't fit whichever others are deferred. They count as late.
    late: set[str] = set()
    parts = []
    for number, job in enumerate(jobs):
        if not job.can_end_in_time:
            continue
        for due_s, kind, work in job.open_work:
            parts.append((due_s, number, kind, work))
    parts.sort()
    deferred: set[str] = set()
    #: Work that was given capacity, by job.
    given_by_job: dict[str, list[float]] = {}
    heaps: list[list[tuple[float, str]]] = [[] for _ in rates]
    for due_s, job_number, kind, work in parts:
        job = jobs[job_number]
        rate = rates[kind]
        if rate is None or work <= 0.0 or job.id in deferred or job.id in late:
            continue
        promised = PROMISED_FRACTION * rate * (due_s - now_s)
        if first[kind] > promised:
            # What goes first needs it all, whichever job of this priority is deferred.
            late.add(job.id)
            _move(given_by_job.get(job.id, ()), taken, -1.0)
            continue
        factor = TAKE_BACK_FACTOR if job.is_deferred else 1.0
        work *= factor
        given = given_by_job.get(job.id)
        if given is None:
            given = given_by_job[job.id] = [0.0] * len(rates)
        given[kind] += work
        taken[kind] += work
        if not may_defer(job.id):
            if first[kind] + given[kind] > promised:
                late.add(job.id)
                _move(given, taken, -1.0)
        elif given[kind] == work:
            heappush(heaps[kind], (job.density / factor, job.id))
        while taken[kind] > promised and heaps[kind]:
            _, least = heappop(heaps[kind])
            if least in deferred or least in late:
                continue
            its_work = given_by_job[least]
            if may_defer(least):
                deferred.add(least)
                on_deferred(least)
                _move(its_work, taken, -1.0)
            elif first[kind] + its_work[kind] > promised:
                late.add(least)
                _move(its_work, taken, -1.0)
    return deferred


def _move(given: Sequence[float], total: list[float], sign: float) -> None:
    """Add the work of a job to a sum, or take it out of it, by kind of processors."""
    for number, work in enumerate(given):
        total[number] += sign * work
