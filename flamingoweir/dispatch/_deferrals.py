"""The jobs that are deferred while the load exceeds the fleet, and why."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from ..jobs import Job, JobState, StepRun
from ..logs import get_logger
from ..policy import (
    MAX_VALUABLE_OBJECTIVES,
    DrainRate,
    MeanWork,
    RunRatio,
    SizeClasses,
    StepWork,
    WaitingJob,
    choose_deferred,
    find_open_work,
    job_value,
    list_steps,
    objective_s,
    remaining_work,
    total_work,
)
from ._owner_state import OwnerState

log = get_logger()

#: Seconds between decisions. Tasks run for a second or more, so that little changes
#: earlier.
DECISION_INTERVAL_S = 0.3
#: Seconds between decisions for each job, so that the processor time for decisions is
#: bounded however many jobs wait.
INTERVAL_PER_JOB_S = 0.0003
#: Number of jobs of a service in one decision, those due first. A decision holds the
#: event loop for some 20 us a job; the others aren't deferred.
MAX_CANDIDATES = 500


@dataclass(slots=True)
class _TrackedJob:
    """A batch job of a queue with an objective."""

    job: Job
    work: float
    size_class: int
    deadline_s: float
    steps: list[StepWork]
    #: Whether its end, or that of its objective, was recorded.
    is_counted: bool = False


class _QueueRecord:
    """What is learnt of the jobs of one queue."""

    def __init__(self) -> None:
        self.mean_work = MeanWork()
        self.classes = SizeClasses()
        self.run_ratio = RunRatio()


class Deferrals:
    """Measures the drain rate, and decides every `DECISION_INTERVAL_S` what to defer.

    It covers the batch jobs of queues with an objective, except those with gangs or due
    times. A new owner has no drain rate for the first seconds and defers nothing.

    Parameters
    ----------
    owner_state : OwnerState
        Jobs and ends of tasks.

    Attributes
    ----------
    job_ids : set of str
        Ids of the deferred jobs.
    """

    def __init__(self, owner_state: OwnerState):
        self.job_ids: set[str] = set()
        self._owner_state = owner_state
        self._updated_s = float("-inf")
        self._tracked_by_id: dict[str, _TrackedJob] = {}
        self._record_by_queue: dict[str, _QueueRecord] = {}
        #: Rates on spare and on reserved processors, by service.
        self._rates_by_service: dict[str, tuple[DrainRate, DrainRate]] = {}
        #: Ratios of the queues of services whose load exceeds the fleet.
        self._ratio_by_queue: dict[str, float] = {}

    def order_of(self, job: Job) -> tuple[bool, float]:
        """Return whether a job is deferred, and the factor for its declared run times.

        The factor is 1 unless the load exceeds the fleet.
        """
        job_id = job.spec.id
        if not self._ratio_by_queue or job_id not in self._tracked_by_id:
            return False, 1.0
        ratio = self._ratio_by_queue.get(job.spec.queue, 1.0)
        return job_id in self.job_ids, ratio

    def update(
        self,
        ready: Iterable[StepRun],
        fits_somewhere: Callable[[StepRun], bool],
        now_s: float,
    ) -> None:
        """Decide anew if the last decision is old enough.

        Parameters
        ----------
        ready : iterable of StepRun
            Steps with tasks that may be placed.
        fits_somewhere : callable
            Returns whether an empty runner could hold a task of a step. One that fits
            nowhere doesn't wait for room.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        interval_s = max(
            DECISION_INTERVAL_S, INTERVAL_PER_JOB_S * len(self._tracked_by_id)
        )
        if now_s - self._updated_s < interval_s:
            return
        self._updated_s = now_s
        deferred: set[str] = set()
        self._ratio_by_queue = {}
        with self._owner_state.fault_log.contain("deferral_failed") as containment:
            self._update_rates(ready, fits_somewhere, now_s, interval_s)
            listed_ids = {step.job.spec.id for step in ready}
            self._track_jobs(listed_ids, now_s)
            for service, rates in self._rates_by_service.items():
                per_s = [rate.per_s() for rate in rates]
                if any(rate is not None for rate in per_s):
                    found = self._find_candidates(service, listed_ids, now_s)
                    deferred |= self._decide(found, fits_somewhere, per_s, now_s)
            self._log_changes(deferred, now_s)
        self.job_ids = deferred
        if containment.failed:
            self.job_ids = set()
            self._ratio_by_queue = {}

    def _update_rates(
        self,
        ready: Iterable[StepRun],
        fits_somewhere: Callable[[StepRun], bool],
        now_s: float,
        interval_s: float,
    ) -> None:
        waiting = _find_waiting(ready, fits_somewhere)
        work_by_kind: dict[tuple[str, int], float] = {}
        runs_by_kind: dict[tuple[str, int], list[float]] = {}
        for end in self._owner_state.task_ends.collect():
            if not _is_covered(end.job):
                continue
            kind = end.job.spec.policy.service, 0 if end.spec.uses_spare else 1
            work = end.spec.demand.processors_milli * end.spec.estimate_s / 1000
            work_by_kind[kind] = work_by_kind.get(kind, 0.0) + work
            if end.run_s is not None:
                runs_by_kind.setdefault(kind, []).append(end.run_s)
                record = self._record_of(end.job.spec.queue)
                record.run_ratio.record(end.run_s, end.spec.estimate_s)
        for service, _ in {*waiting, *work_by_kind}:
            if service not in self._rates_by_service:
                self._rates_by_service[service] = (DrainRate(), DrainRate())
        for service, rates in self._rates_by_service.items():
            for number, rate in enumerate(rates):
                kind = service, number
                runs = runs_by_kind.get(kind, ())
                mean_run_s = sum(runs) / len(runs) if runs else 0.0
                ended_work = work_by_kind.get(kind, 0.0)
                rate.update(
                    ended_work,
                    mean_run_s,
                    kind in waiting,
                    now_s,
                    run_count=len(runs),
                    declared_run_s=waiting.get(kind, 0.0),
                    interval_s=interval_s,
                )

    def _track_jobs(self, listed_ids: set[str], now_s: float) -> None:
        """Add new jobs, and record those that have ended or passed their objective."""
        for job_id, job in self._owner_state.job_by_id.items():
            if job_id in self._tracked_by_id or job.is_final or not _is_covered(job):
                continue
            if self._goes_last(job, listed_ids):
                continue
            with self._owner_state.fault_log.contain("deferral_failed", job=job_id):
                self._track(job, now_s)
        for job_id, tracked in list(self._tracked_by_id.items()):
            job = tracked.job
            if self._goes_last(job, listed_ids):
                # Its end says nothing about the order here.
                tracked.is_counted = True
            is_late = tracked.deadline_s < now_s
            if not tracked.is_counted and (is_late or job.state is JobState.DONE):
                classes = self._record_of(job.spec.queue).classes
                classes.record_outcome(tracked.size_class, not is_late)
                tracked.is_counted = True
            if job.is_final or self._owner_state.job_by_id.get(job_id) is not job:
                del self._tracked_by_id[job_id]

    def _track(self, job: Job, now_s: float) -> None:
        record = self._record_of(job.spec.queue)
        work = total_work(job)
        deadline_s = job.accepted_s + objective_s(job)
        record.mean_work.record(work)
        self._tracked_by_id[job.spec.id] = _TrackedJob(
            job,
            work,
            record.classes.classify(work),
            deadline_s,
            list_steps(job),
            # A job that was restored late says nothing about the order here.
            is_counted=deadline_s < now_s,
        )

    def _find_candidates(
        self, service: str, listed_ids: set[str], now_s: float
    ) -> list[_TrackedJob]:
        """Return the jobs of a service among which to decide, those due first.

        Those that are late come after the others, as they can't be deferred. Jobs
        beyond three objectives go after all others, so that they take nothing.
        """
        found = []
        for tracked in self._tracked_by_id.values():
            job = tracked.job
            if job.spec.policy.service != service or self._goes_last(job, listed_ids):
                continue
            if now_s - job.accepted_s <= MAX_VALUABLE_OBJECTIVES * objective_s(job):
                found.append(tracked)
        found.sort(key=lambda tracked: (tracked.deadline_s < now_s, tracked.deadline_s))
        return found[:MAX_CANDIDATES]

    def _goes_last(self, job: Job, listed_ids: set[str]) -> bool:
        """Return whether a job is in excess, or waits for the cap of its customer.

        A step that waits for the cap is ready, but isn't listed.
        """
        spec = job.spec
        if not spec.customer:
            return False
        if self._owner_state.customer_load.is_excess(spec.id):
            return True
        if spec.id in listed_ids:
            return False
        return any(step.open_indexes for step in job.ready_steps())

    def _decide(
        self,
        candidates: list[_TrackedJob],
        fits_somewhere: Callable[[StepRun], bool],
        rates: list[float | None],
        now_s: float,
    ) -> set[str]:
        """Return the ids of the candidates, of one service, to defer."""
        jobs = []
        for tracked in candidates:
            job_id = tracked.job.spec.id
            with self._owner_state.fault_log.contain("deferral_failed", job=job_id):
                steps = [step for step in tracked.steps if fits_somewhere(step.run)]
                jobs.append(self._describe(tracked, steps, now_s))
        deferred = choose_deferred(
            jobs, rates, now_s, self._may_defer, self._record_deferred
        )
        if not deferred and all(job.can_end_in_time for job in jobs):
            # The fleet carries the load, so that the order stays as it is without.
            for tracked in candidates:
                self._ratio_by_queue.pop(tracked.job.spec.queue, None)
        return deferred

    def _describe(
        self, tracked: _TrackedJob, steps: list[StepWork], now_s: float
    ) -> WaitingJob:
        spec = tracked.job.spec
        record = self._record_of(spec.queue)
        ratio = self._ratio_by_queue.get(spec.queue)
        if ratio is None:
            ratio = self._ratio_by_queue[spec.queue] = record.run_ratio.value
            record.classes.begin_decision()
        value = job_value(tracked.work, record.mean_work.mean)
        remaining, open_work = find_open_work(steps, tracked.deadline_s, ratio)
        return WaitingJob(
            spec.id,
            spec.policy.priority,
            value / remaining if remaining else float("inf"),
            open_work,
            # The step that has to start first decides.
            all(part.due_s >= now_s for part in open_work),
            spec.id in self.job_ids,
        )

    def _may_defer(self, job_id: str) -> bool:
        tracked = self._tracked_by_id[job_id]
        classes = self._record_of(tracked.job.spec.queue).classes
        return classes.allows(tracked.size_class)

    def _record_deferred(self, job_id: str) -> None:
        tracked = self._tracked_by_id[job_id]
        classes = self._record_of(tracked.job.spec.queue).classes
        classes.record_deferred(tracked.size_class)

    def _log_changes(self, deferred: set[str], now_s: float) -> None:
        for job_id in deferred ^ self.job_ids:
            tracked = self._tracked_by_id.get(job_id)
            if tracked is None or tracked.deadline_s < now_s:
                continue
            spec = tracked.job.spec
            rates = self._rates_by_service[spec.policy.service]
            mean_work = self._record_of(spec.queue).mean_work.mean
            spare, reserved = remaining_work(tracked.job)
            log.info(
                "job_deferred" if job_id in deferred else "job_taken_back",
                job=job_id,
                queue=spec.queue,
                value=round(job_value(tracked.work, mean_work), 2),
                size_class=tracked.size_class,
                remaining_spare_s=round(spare, 1),
                remaining_reserved_s=round(reserved, 1),
                deadline_in_s=round(tracked.deadline_s - now_s, 2),
                drain_spare=_rounded(rates[0].per_s()),
                drain_reserved=_rounded(rates[1].per_s()),
                drain_age_s=round(min(rate.age_s(now_s) for rate in rates), 1),
            )

    def _record_of(self, queue: str) -> _QueueRecord:
        record = self._record_by_queue.get(queue)
        if record is None:
            record = self._record_by_queue[queue] = _QueueRecord()
        return record


def _is_covered(job: Job) -> bool:
    """Return whether the jobs that may be deferred include a job."""
    spec = job.spec
    if spec.policy.objective_s <= 0 or spec.scheduled:
        return False
    return not any(step.lasting or step.gang for step in spec.steps)


def _find_waiting(
    ready: Iterable[StepRun], fits_somewhere: Callable[[StepRun], bool]
) -> dict[tuple[str, int], float]:
    """Return the mean declared run times of the tasks that wait for room, in seconds.

    They are listed by service and kind of processors.
    """
    waiting: set[tuple[str, int]] = set()
    estimates_by_kind: dict[tuple[str, int], list[float]] = {}
    for step in ready:
        spec = step.spec
        if step.unplaced_since_s is None or not _is_covered(step.job):
            continue
        # A step with a limit of its own may find no room on a fleet that is empty.
        if spec.label or spec.data_rack or spec.max_per_runner:
            continue
        kind = step.job.spec.policy.service, 0 if spec.uses_spare else 1
        estimates_by_kind.setdefault(kind, []).append(spec.estimate_s)
        if kind not in waiting and fits_somewhere(step):
            waiting.add(kind)
    found = {}
    for kind in waiting:
        estimates = estimates_by_kind[kind]
        found[kind] = sum(estimates) / len(estimates)
    return found


def _rounded(rate: float | None) -> float | None:
    return None if rate is None else round(rate, 1)
