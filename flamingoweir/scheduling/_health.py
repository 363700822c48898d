"""Quarantine of faulty workers.

After its quarantine a worker is on probation: it receives one task at a time until
an attempt completes.
"""

from dataclasses import dataclass, field

from ..clock import Clock
from ..logs import get_logger
from ..metrics import Metrics
from ..upstreams import AttemptStatus
from ._assignment import AttemptEnd
from ._job import JobSpec

log = get_logger()

FAILURES_TO_QUARANTINE = 3
QUARANTINE_S = 30.0
MAX_QUARANTINE_S = 600.0


@dataclass(slots=True)
class FailureRecord:
    """Failures of a worker since its last completed attempt.

    Attributes
    ----------
    failures : int
        Failed attempts since the last quarantine.
    failed_jobs : set of str
        Ids of the jobs that the failed attempts belong to.
    quarantined_until_s : float
        Time on the owner's clock, in seconds, when the latest quarantine ends; -inf
        if there was none.
    quarantine_count : int
        Number of quarantines.
    """

    failures: int = 0
    failed_jobs: set[str] = field(default_factory=set)
    quarantined_until_s: float = float("-inf")
    quarantine_count: int = 0


class WorkerHealth:
    """Distinguishes faulty workers from faulty jobs.

    Parameters
    ----------
    clock : Clock
        Clock of the instance.
    metrics : Metrics
        Receives the count of quarantines.
    """

    def __init__(self, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._record_by_worker: dict[str, FailureRecord] = {}
        self._successful_workers_by_class: dict[str, set[str]] = {}

    def record_end(self, end: AttemptEnd, spec: JobSpec) -> None:
        """Record the end of an attempt; quarantine its worker if it is at fault."""
        if end.status is AttemptStatus.DONE:
            self._record_by_worker.pop(end.worker, None)
            workers = self._successful_workers_by_class.setdefault(
                spec.job_class, set()
            )
            if len(workers) < 2:
                workers.add(end.worker)
            return
        if end.status is not AttemptStatus.FAILED:
            return
        record = self._record_by_worker.setdefault(end.worker, FailureRecord())
        record.failures += 1
        record.failed_jobs.add(spec.id)
        if record.failures >= self._failure_limit(record) and self._is_worker_at_fault(
            end, record
        ):
            self._quarantine(end.worker, record)

    def is_quarantined(self, worker: str) -> bool:
        """Return whether a worker is quarantined now: no task is assigned to it."""
        record = self._record_by_worker.get(worker)
        return record is not None and self._clock.now() < record.quarantined_until_s

    def is_on_probation(self, worker: str) -> bool:
        """Return whether a worker has completed no attempt since a quarantine.

        Such a worker receives one task at a time.
        """
        record = self._record_by_worker.get(worker)
        return record is not None and record.quarantine_count > 0

    def quarantined(self) -> list[str]:
        """Return the sorted names of the workers that are quarantined now."""
        return [
            name for name in sorted(self._record_by_worker) if self.is_quarantined(name)
        ]

    @staticmethod
    def _failure_limit(record: FailureRecord) -> int:
        return 1 if record.quarantine_count else FAILURES_TO_QUARANTINE

    def _is_worker_at_fault(self, end: AttemptEnd, record: FailureRecord) -> bool:
        """Return whether the worker, rather than a job, causes the failures.

        This holds if several jobs failed on the worker, if it was quarantined before,
        or if an attempt of any job class completed on another worker.
        """
        if len(record.failed_jobs) > 1 or record.quarantine_count:
            return True
        return any(
            workers - {end.worker}
            for workers in self._successful_workers_by_class.values()
        )

    def _quarantine(self, worker: str, record: FailureRecord) -> None:
        length_s = min(QUARANTINE_S * 2**record.quarantine_count, MAX_QUARANTINE_S)
        record.quarantined_until_s = self._clock.now() + length_s
        record.quarantine_count += 1
        record.failures = 0
        self._metrics.incr("workers.quarantined")
        log.warning("worker_quarantined", worker=worker, seconds=length_s)
