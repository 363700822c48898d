"""Workers that fail what others run: quarantined, then probed with one task."""

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
QUARANTINE_LIMIT_S = 600.0


@dataclass(slots=True)
class WorkerRecord:
    """Recent failures of a worker.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    jobs : set of str
        Jobs that they belong to.
    until_s : float
        End of the quarantine, if there is one.
    rounds : int
        Quarantines since the last success.
    """

    failures: int = 0
    jobs: set[str] = field(default_factory=set)
    until_s: float = float("-inf")
    rounds: int = 0


class WorkerHealth:
    """Tells failing workers from failing jobs."""

    def __init__(self, clock: Clock, metrics: Metrics):
        self._clock = clock
        self._metrics = metrics
        self._by_worker: dict[str, WorkerRecord] = {}
        self._done_by_class: dict[str, set[str]] = {}

    def record_end(self, end: AttemptEnd, spec: JobSpec) -> None:
        """Take the end of an attempt into account."""
        if end.status is AttemptStatus.DONE:
            self._by_worker.pop(end.worker, None)
            workers = self._done_by_class.setdefault(spec.job_class, set())
            if len(workers) < 2:
                workers.add(end.worker)
            return
        if end.status is not AttemptStatus.FAILED:
            return
        record = self._by_worker.setdefault(end.worker, WorkerRecord())
        record.failures += 1
        record.jobs.add(spec.id)
        if record.failures >= self._limit(record) and self._is_to_blame(end, record):
            self._quarantine(end.worker, record)

    def is_quarantined(self, worker: str) -> bool:
        """Return whether nothing is to be started on a worker now."""
        record = self._by_worker.get(worker)
        return record is not None and self._clock.now() < record.until_s

    def is_on_probation(self, worker: str) -> bool:
        """Return whether a worker takes one task at a time, after a quarantine."""
        record = self._by_worker.get(worker)
        return record is not None and record.rounds > 0

    def quarantined(self) -> list[str]:
        """Return the quarantined workers."""
        return [name for name in sorted(self._by_worker) if self.is_quarantined(name)]

    @staticmethod
    def _limit(record: WorkerRecord) -> int:
        return 1 if record.rounds else FAILURES_TO_QUARANTINE

    def _is_to_blame(self, end: AttemptEnd, record: WorkerRecord) -> bool:
        """Return whether several jobs fail there, or others run the same work."""
        if len(record.jobs) > 1 or record.rounds:
            return True
        return any(workers - {end.worker} for workers in self._done_by_class.values())

    def _quarantine(self, worker: str, record: WorkerRecord) -> None:
        length_s = min(QUARANTINE_S * 2**record.rounds, QUARANTINE_LIMIT_S)
        record.until_s = self._clock.now() + length_s
        record.rounds += 1
        record.failures = 0
        self._metrics.incr("workers.quarantined")
        log.warning("worker_quarantined", worker=worker, seconds=length_s)
