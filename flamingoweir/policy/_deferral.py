"""Which waiting jobs are deferred when not all of them can end in time.

Addresses a load that exceeds the fleet for longer than an objective lasts. In the
order of least slack, jobs go first that in truth no longer can end in time, and each of
them makes the next one late. The decision follows the rule of Moore and Hodgson for the
fewest late jobs: in the order of their deadlines, jobs are given the capacity that the
drain rate promises; whenever one would end late, the job with the least value for its
remaining work among those considered so far is deferred, until the rest fits. A
deferred job goes after those of its priority that are kept; it is neither dropped nor
stopped.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import groupby

#: Factor by which the work of a job that is deferred already counts more. It is taken
#: back only if clearly more room has become free, so that jobs that just fit don't
#: change places with each decision.
TAKE_BACK_FACTOR = 1.25


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """A batch job that has not ended.

    Attributes
    ----------
    id : str
        Id of the job.
    priority : int
        Priority of its queue; 0 goes first.
    deadline_s : float
        End of its objective on the owner's clock, in seconds.
    value : float
        Value if it ends in time; see `job_value`.
    work : tuple of (float, float)
        Remaining work on spare and on reserved processors, in processor-seconds.
    can_end_in_time : bool
        Whether its longest chain fits before the deadline. Other jobs are not deferred,
        but those of higher priorities take capacity.
    is_deferred : bool
        Whether the last decision deferred it.
    """

    id: str
    priority: int
    deadline_s: float
    value: float
    work: tuple[float, float]
    can_end_in_time: bool = True
    is_deferred: bool = False


def choose_deferred(
    jobs: Iterable[WaitingJob],
    rates: Sequence[float | None],
    now_s: float,
    may_defer: Callable[[str], bool],
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
        Called with the id of a job that is to be deferred; returns whether it may be.
        It is asked once per job, and a job that may be deferred is deferred.
    """
    deferred: set[str] = set()
    taken = [0.0] * len(rates)
    ordered = sorted(jobs, key=lambda job: (job.priority, job.deadline_s, job.id))
    for _, group in groupby(ordered, key=lambda job: job.priority):
        equals = list(group)
        _defer_equals(equals, rates, list(taken), now_s, may_defer, deferred)
        # Deferred and late jobs go before those of lower priorities as well.
        for job in equals:
            for kind, work in enumerate(job.work):
                taken[kind] += work
    return deferred


def _defer_equals(
    jobs: list[WaitingJob],
    rates: Sequence[float | None],
    taken: list[float],
    now_s: float,
    may_defer: Callable[[str], bool],
    deferred: set[str],
) -> None:
    """Add the jobs to defer among those of one priority, sorted by deadline."""
    heaps: list[list] = [[] for _ in rates]
    for job in jobs:
        if not job.can_end_in_time:
            continue
        work = _counted_work(job)
        for kind in range(len(rates)):
            if work[kind] > 0.0:
                taken[kind] += work[kind]
                heappush(heaps[kind], (job.value / sum(work), job.id, work))
        for kind, rate in enumerate(rates):
            if rate is None or work[kind] <= 0.0:
                continue
            promised = rate * (job.deadline_s - now_s)
            while taken[kind] > promised and heaps[kind]:
                _, job_id, its_work = heappop(heaps[kind])
                if job_id in deferred or not may_defer(job_id):
                    continue
                deferred.add(job_id)
                for number, part in enumerate(its_work):
                    taken[number] -= part


def _counted_work(job: WaitingJob) -> tuple[float, ...]:
    if not job.is_deferred:
        return job.work
    return tuple(TAKE_BACK_FACTOR * part for part in job.work)
