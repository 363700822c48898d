"""Detection and quarantine of faulty runners.

A faulty runner can look healthy and yet fail, hang or slow down every task that it
starts. Such a runner is detected by how the tasks on it end.
"""

from dataclasses import dataclass, field

#: Distinct jobs with tasks that failed in a row after which a runner is quarantined.
#: Tasks of a broken job fail on every runner, so a job counts once. Of the tasks of
#: other jobs, one in twenty fails.
QUARANTINE_FAILED_JOBS = 2
#: Length of the first quarantine in seconds; after it, one task probes the runner.
QUARANTINE_S = 3.0
#: Longest quarantine in seconds; each failed probe doubles the length.
MAX_QUARANTINE_S = 12.0


@dataclass(slots=True)
class _HealthRecord:
    failed_jobs: list[str] = field(default_factory=list)
    quarantine_s: float = 0.0
    quarantined_until_s: float = float("-inf")
    probing: bool = False


class RunnerHealth:
    """Quarantine faulty runners.

    A runner is faulty if tasks of several jobs fail on it in a row, if a task on it
    makes no progress, or if it rejects an order as unhealthy.
    """

    def __init__(self) -> None:
        self._record_by_runner: dict[str, _HealthRecord] = {}

    def record_end(self, runner: str, job: str, failed: bool, now_s: float) -> None:
        """Record the end of an attempt that was done or failed.

        Other ends, such as a stop or a lapsed lease, are not recorded here.
        """
        record = self._record_by_runner.setdefault(runner, _HealthRecord())
        if not failed:
            record.failed_jobs.clear()
            record.quarantine_s = 0.0
            record.probing = False
            return
        if job not in record.failed_jobs:
            record.failed_jobs.append(job)
        if record.probing or len(record.failed_jobs) >= QUARANTINE_FAILED_JOBS:
            self._quarantine(record, now_s)

    def record_fault(self, runner: str, now_s: float) -> None:
        """Quarantine a runner at once.

        The runner rejected an order as unhealthy, or a task on it makes no progress.
        """
        self._quarantine(
            self._record_by_runner.setdefault(runner, _HealthRecord()), now_s
        )

    def is_usable(self, runner: str, has_attempts: bool, now_s: float) -> bool:
        """Return whether a runner may get a task now.

        After its quarantine a runner is probed: it may get a task only while it has no
        attempts, until a task succeeds. A call after the quarantine starts the probing.

        Parameters
        ----------
        runner : str
            Id of the runner.
        has_attempts : bool
            Whether attempts use resources of the runner.
        now_s : float
            Time on the owner's clock, in seconds.
        """
        record = self._record_by_runner.get(runner)
        if record is None or not record.quarantine_s:
            return True
        if now_s < record.quarantined_until_s:
            return False
        record.probing = True
        return not has_attempts

    def failed_job_count(self, runner: str) -> int:
        """Return the number of distinct jobs with tasks that failed there in a row."""
        record = self._record_by_runner.get(runner)
        return len(record.failed_jobs) if record else 0

    def remove_runner(self, runner: str) -> None:
        """Discard the state of a runner that was removed."""
        self._record_by_runner.pop(runner, None)

    @staticmethod
    def _quarantine(record: _HealthRecord, now_s: float) -> None:
        if now_s < record.quarantined_until_s:
            return
        record.quarantine_s = min(
            MAX_QUARANTINE_S, max(QUARANTINE_S, 2 * record.quarantine_s)
        )
        record.quarantined_until_s = now_s + record.quarantine_s
        record.probing = False
